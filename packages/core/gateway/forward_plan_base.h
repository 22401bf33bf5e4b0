/// @file
/// Decides where one caller's request is sent, and how it ends.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H

#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/route_type.h"

#include <set>
#include <string>
#include <variant>

namespace camphornotch {

/// What an endpoint's answer, or its lack, means for the request.
enum class AttemptOutcome : uint8_t {
  NotSent, ///< The endpoint was not reached.
  Refused, ///< The endpoint says that it did not run the request.
  Failed,  ///< It may have run; the endpoint gave no usable answer.
  Errored, ///< It ran; the endpoint answered with a failure of its own.
};

/// The request is to be sent to an endpoint.
struct SendAttempt {
  /// Which.
  EndpointId Endpoint;
};

/// Nothing is to be sent before a time, unless an attempt ends.
struct AwaitAttempt {
  /// When to ask again.
  Millis RecheckAt;
};

/// The endpoint's own failure is the answer.
struct PassFailure {};

/// The request is refused or given up.
struct EndRequest {
  /// The status. 503 only if the request has not run and never will.
  int Status = 0;
  /// Why, for logs and the caller.
  std::string Reason;
  /// When the caller may come again; 0: not said.
  Millis RetryAfter{0};
};

/// What to do next.
using ForwardStep =
    std::variant<SendAttempt, AwaitAttempt, PassFailure, EndRequest>;

/// What a request needs of the plan.
struct ForwardParams {
  /// Its route.
  Route MatchedRoute;
  /// The service drawn for it.
  std::string Service;
  /// The model; empty: any.
  std::string Model;
  /// When it arrived.
  Millis ArrivedAt;
  /// When its caller must have the final answer.
  Millis Deadline;
};

/// The plan of one request; deterministic, without I/O. Answers the load of
/// short requests while endpoints are full, slowed or silent: a request that
/// may run again goes to a second endpoint when the first is late, one that no
/// endpoint takes is refused early enough for its caller to come back in time.
class ForwardPlan {
public:
  /// @param Params what the request needs.
  explicit ForwardPlan(ForwardParams Params);

  /// @param Pool the endpoints.
  /// @param Now the time.
  /// @return what to do next; after SendAttempt, note attemptStarted() and ask
  /// again.
  ForwardStep next(const EndpointPool &Pool, Millis Now);

  /// Notes that an attempt was sent.
  /// @param Endpoint where to.
  /// @param Now the time.
  void attemptStarted(const EndpointId &Endpoint, Millis Now);

  /// Notes how an attempt ended that gave no final answer.
  /// @param Endpoint where.
  /// @param Outcome how.
  void attemptEnded(const EndpointId &Endpoint, AttemptOutcome Outcome);

  /// @return whether the request may have run.
  bool mayHaveRun() const { return this->MayHaveRun; }

  /// @return when the final answer is due.
  Millis deadline() const { return this->Params.Deadline; }

  /// @return what the request needs.
  const ForwardParams &params() const { return this->Params; }

private:
  /// @param Now the time.
  /// @return whether one more endpoint may get the request.
  bool mayStart(Millis Now) const;
  /// @return the end of a request that cannot go on.
  /// @param Now the time.
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
  /// No attempt before this time.
  Millis NotBefore{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_FORWARD_PLAN_BASE_H
