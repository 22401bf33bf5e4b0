/// @file
/// Decides which endpoints get a caller's request and how it ends.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H

#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/route_type.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace camphornotch {

/// How an attempt without a final answer ended.
enum class AttemptOutcome : uint8_t {
  NotSent, ///< No connection to the endpoint.
  Refused, ///< The endpoint said that it did not run the request.
  Failed,  ///< No usable answer; the request may have run.
  Errored, ///< The request ran and the endpoint answered with an error.
};

/// Send the request to an endpoint.
struct SendAttempt {
  EndpointId Endpoint;
  /// When it is expected to end; absent unless the policy forecasts that.
  std::optional<WorkForecast> Forecast;
};

/// Send nothing until an attempt ends or the given time.
struct AwaitAttempt {
  /// When to call ForwardPlan::next() again.
  Millis RecheckAt;
};

/// Relay the endpoint's error to the caller.
struct PassFailure {};

/// EndRequest::Reason if no endpoint can end the request in time.
inline constexpr std::string_view ForecastReason = "forecast";

/// Refuse the request or give it up.
struct EndRequest {
  /// HTTP status; 503 only if the request has not run and never will.
  int Status = 0;
  /// Why, for logs and the caller.
  std::string Reason;
  /// Retry-After for the caller; 0: none.
  Millis RetryAfter{0};
  /// The forecast by which it is refused.
  std::optional<WorkForecast> Forecast{};
};

using ForwardStep =
    std::variant<SendAttempt, AwaitAttempt, PassFailure, EndRequest>;

/// The request as the plan sees it.
struct ForwardParams {
  Route MatchedRoute;
  /// The service drawn from the route's shares.
  std::string Service;
  /// The model; empty: any.
  std::string Model;
  Millis ArrivedAt;
  /// When the caller must have the final answer.
  Millis Deadline;
  /// The work that it is expected to cause.
  ExpectedWork Work{};
  /// The version of software that began the stream which the request goes on
  /// with; absent: it begins anew.
  std::optional<std::string> Software{};
};

/// Attempts of one request; deterministic, without I/O. A request that may be
/// repeated is hedged to a second endpoint when the first is slow or silent. A
/// request that no endpoint accepts is refused early enough for the caller to
/// retry within the objective. Under RemainingWorkChoice, one that no endpoint
/// can end in time is refused before it is sent.
class ForwardPlan {
public:
  explicit ForwardPlan(ForwardParams Params);

  /// @return what to do next; after SendAttempt, note attemptStarted() and ask
  /// again.
  ForwardStep next(const EndpointPool &Pool, Millis Now);

  /// Notes that an attempt was sent.
  void attemptStarted(const EndpointId &Endpoint, Millis Now);

  /// Notes how an attempt ended that gave no final answer.
  void attemptEnded(const EndpointId &Endpoint, AttemptOutcome Outcome);

  /// Notes that the caller has events of a stream: only endpoints of the same
  /// software go on with it.
  /// @param Software the version; absent: not known, so that none goes on.
  void streamBegan(std::optional<std::string> Software);

  /// @return whether the request may have run.
  bool mayHaveRun() const { return this->MayHaveRun; }

  /// @return the end of the request if the process stops now: as not run only
  ///   if no endpoint has it or may have run it.
  EndRequest stop() const;

  /// @return when the final answer is due.
  Millis deadline() const { return this->Params.Deadline; }

  /// @return what the request needs.
  const ForwardParams &params() const { return this->Params; }

private:
  /// @return whether one more endpoint may get the request.
  bool mayStart(Millis Now) const;
  /// @return whether nothing was sent to any endpoint.
  bool isUnsent() const;
  /// @param Nearest where the request would go.
  /// @return the refusal of a request that no endpoint can end in time.
  EndRequest refuseLate(const WorkForecast &Nearest, Millis Now) const;
  /// @return the end of a request that cannot go on.
  ForwardStep giveUp(Millis Now) const;

  /// What the request needs.
  ForwardParams Params;
  /// Endpoints that have it now, with the time it was sent.
  std::map<EndpointId, Millis> Running;
  /// Endpoints that will not get it again.
  std::set<EndpointId> Tried;
  /// Attempts that ran or may have run, those under way included.
  int64_t AttemptCount = 0;
  /// Endpoints that refused, in a row.
  int64_t Refusals = 0;
  /// Whether an ended attempt may have run.
  bool MayHaveRun = false;
  /// Whether an endpoint's own failure is at hand.
  bool HasEndpointFailure = false;
  /// Whether no endpoint can go on with the stream.
  bool Unresumable = false;
  /// No attempt before this time.
  Millis NotBefore{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H
