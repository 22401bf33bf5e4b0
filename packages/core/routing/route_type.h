/// @file
/// Settings, events and actions of the route controller.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ROUTE_TYPE_H
#define CAMPHORNOTCH_CORE_ROUTING_ROUTE_TYPE_H

#include "base/refusal_type.h"
#include "base/retry_type.h"
#include "core/routing/choice_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// One caller's request in this process.
using RequestRef = StrongId<struct RequestRefTag, int64_t>;

/// Slow requests are sent a second time, within a budget (default).
struct HedgeSlow {
  /// Second attempts, as a share of requests.
  double Share = 0.05;
  /// A second attempt is made no earlier than this after the first.
  Millis MinDelay{20};
  /// The delay as a multiple of the latency that 95% of requests stay under.
  double DelayFactor = 1.2;
};
/// Baseline: each request is sent once.
struct HedgeNever {};
/// Whether slow requests are sent a second time.
using HedgePolicy = std::variant<HedgeSlow, HedgeNever>;

/// Settings of the route controller.
struct RouteSettings {
  /// How an endpoint is chosen.
  ChoicePolicy Choice = ProbingPolicy{};
  /// Whether slow requests are sent a second time.
  HedgePolicy Hedge = HedgeSlow{};
  /// Attempts of one request, at most.
  int32_t MaxTries = 4;
  /// Retries, as a share of requests that succeed.
  double RetryShare = 0.1;
  /// Retries a second that time alone allows.
  double RetriesPerSecond = 2;
  /// Bytes a second that requests may send over the link between regions.
  double OtherRegionBytesPerSecond = 4e6;
};

/// What a request needs.
struct RouteSpec {
  /// Which request.
  RequestRef Request;
  /// The model or service.
  std::string Serves;
  /// Class of the work.
  wire::WorkClass::type Class = wire::WorkClass::Short;
  /// Tokens that it may generate; 0 for services.
  int64_t ExpectedTokens = 0;
  /// Bytes of request and answer.
  int64_t Bytes = 0;
  /// Key whose work should meet on one endpoint; empty: none.
  std::string Affinity;
  /// By when it must be answered; Never: no deadline.
  Millis Deadline = Never;
  /// Whether it may run twice.
  bool Repeatable = false;
};

/// A caller's request came in.
struct RouteRequested {
  /// What it needs.
  RouteSpec Spec;
};

/// The first part of a streamed answer came.
struct RouteStarted {
  /// The attempt.
  WorkId Work;
};

/// The whole answer came.
struct RouteFinished {
  /// The attempt.
  WorkId Work;
};

/// An attempt was refused or failed.
struct RouteRefused {
  /// The attempt.
  WorkId Work;
  /// Why, and whether it ran.
  Refusal Why;
};

/// An endpoint is gone with all that ran there. Answers that have begun are
/// left alone: the agent may come back with the rest, else RouteRefused comes.
struct RouteEndpointGone {
  /// Which.
  EndpointIndex Endpoint;
};

/// An endpoint has gone silent; what runs there may still be answered.
struct RouteEndpointSilent {
  /// Which.
  EndpointIndex Endpoint;
};

/// The caller went away.
struct RouteCallerGone {
  /// Whose request.
  RequestRef Request;
};

/// The time of nextDeadline() has come.
struct RouteTick {};

/// What the route controller reacts to.
using RouteEvent = std::variant<RouteRequested, RouteStarted, RouteFinished,
                                RouteRefused, RouteEndpointSilent,
                                RouteEndpointGone, RouteCallerGone, RouteTick>;

/// Send an attempt to the agent beside an endpoint.
struct SendRequest {
  /// The attempt.
  WorkId Work;
  /// The request that it is for.
  RequestRef Request;
  /// Where.
  EndpointIndex Endpoint;
  /// How many attempts came before.
  int32_t Attempt = 0;
  /// Time left to answer; Never: no deadline.
  Millis TimeLeft = Never;
};

/// Stop an attempt whose answer is not wanted.
struct StopRequest {
  /// The attempt.
  WorkId Work;
  /// Where it runs.
  EndpointIndex Endpoint;
};

/// The output of this attempt is the answer of the request: pass on what has
/// come and what will come.
struct UseAnswer {
  /// The request.
  RequestRef Request;
  /// The attempt.
  WorkId Work;
};

/// Tell the caller that the request was refused.
struct RefuseRoute {
  /// The request.
  RequestRef Request;
  /// Why, and whether it ran.
  Refusal Why;
};

/// Count a retry.
struct CountRouteRetry {
  /// Why it is made.
  RetryReason Reason = RetryReason::RefusedNotRun;
};

/// What the route controller asks for.
using RouteAction = std::variant<SendRequest, StopRequest, UseAnswer,
                                 RefuseRoute, CountRouteRetry>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ROUTE_TYPE_H
