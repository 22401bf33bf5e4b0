/// @file
/// Routes requests that are answered whole: choice, retries and hedging.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ROUTE_CONTROLLER_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_ROUTE_CONTROLLER_BASE_H

#include "core/routing/choice_func.h"
#include "core/routing/endpoint_table_base.h"
#include "core/routing/quantile_base.h"
#include "core/routing/route_type.h"
#include "core/routing/routing_policies_base.h"
#include "core/routing/token_bucket_base.h"
#include "core/routing/work_id_base.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace camphornotch {

/// Counts of the route controller since the boot.
struct RouteCounts {
  /// Requests taken.
  int64_t Requests = 0;
  /// Attempts sent.
  int64_t Sent = 0;
  /// Attempts after a refusal or failure.
  int64_t Retried = 0;
  /// Second attempts of slow requests.
  int64_t Hedged = 0;
  /// Bytes sent towards another region.
  int64_t OtherRegionBytes = 0;
};

/// The route controller of one entry. Every request ends in exactly one
/// UseAnswer or RefuseRoute, unless its caller goes away.
class RouteController {
public:
  /// @param Settings the settings in force.
  /// @param Table the endpoints; must outlive the controller.
  /// @param WorkIds numbers for attempts; must outlive the controller.
  /// @param Seed of the random choices.
  RouteController(const RouteSettings &Settings, EndpointTable &Table,
                  WorkIdSource &WorkIds, uint64_t Seed);

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<RouteAction> handle(const RouteEvent &Event, Millis Now);

  /// Takes new rules: policies, budgets of retries, of second attempts and of
  /// the link between regions.
  /// @param Rules the rules in force.
  void change(std::shared_ptr<const RuleSet> Rules);

  /// @return when RouteTick is due.
  Millis nextDeadline() const;

  /// @return counts since the boot.
  const RouteCounts &counts() const { return this->Counts; }

  /// @return requests not yet answered.
  size_t open() const { return this->Requests.size(); }

private:
  /// One attempt that is out.
  struct Attempt {
    /// The request that it is for.
    RequestRef Request;
    /// Where it is.
    EndpointIndex Endpoint;
    /// When it was sent.
    Millis SentAt;
    /// Tokens expected of it.
    int64_t Expected = 0;
  };

  /// One request that is not yet answered.
  struct Request {
    /// What it needs.
    RouteSpec Spec;
    /// Attempts that are out.
    std::vector<WorkId> Attempts;
    /// Endpoints that refused it or have it.
    std::vector<EndpointIndex> Used;
    /// Attempts made.
    int32_t Tries = 0;
    /// Whether the caller has its answer from the attempt that is out.
    bool Answered = false;
    /// What the last refusal said.
    Refusal LastRefusal;
    /// Whether any attempt may have run.
    bool MayHaveRun = false;
  };

  /// Actions under construction.
  using Actions = std::vector<RouteAction>;

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const RouteRequested &Event, Millis Now, Actions &Out);
  void on(const RouteStarted &Event, Millis Now, Actions &Out);
  void on(const RouteFinished &Event, Millis Now, Actions &Out);
  void on(const RouteRefused &Event, Millis Now, Actions &Out);
  void on(const RouteEndpointSilent &Event, Millis Now, Actions &Out);
  void on(const RouteEndpointGone &Event, Millis Now, Actions &Out);
  void on(const RouteCallerGone &Event, Millis Now, Actions &Out);
  void on(const RouteTick &Event, Millis Now, Actions &Out);
  /// @}

  /// Sends one attempt, if an endpoint can be had.
  /// @param Ref the request.
  /// @return whether it was sent.
  bool send(RequestRef Ref, Millis Now, Actions &Out);
  /// Plans a second attempt, if the policy wants one.
  /// @param Ref the request.
  void planHedge(RequestRef Ref, Millis Now);
  /// Sends the second attempts that are due.
  void hedgeDue(Millis Now, Actions &Out);
  /// @param Ref a request.
  /// @return whether a second attempt makes sense and is in the budget.
  bool mayHedge(RequestRef Ref, Millis Now);
  /// @param Endpoint an endpoint.
  /// @return the attempts that are out there.
  std::vector<WorkId> attemptsAt(EndpointIndex Endpoint) const;
  /// Takes an attempt off the books.
  /// @param Work the attempt.
  /// @return what it was, if known.
  std::optional<Attempt> settle(WorkId Work);
  /// Stops every attempt of a request but one.
  /// @param Ref the request.
  /// @param Winner the attempt to leave.
  void stopOthers(RequestRef Ref, WorkId Winner, Actions &Out);
  /// Tells the caller that the request was refused, and forgets it.
  /// @param Ref the request.
  /// @param Why the refusal.
  void refuse(RequestRef Ref, Refusal Why, Actions &Out);
  /// Refuses for want of an endpoint.
  /// @param Ref the request.
  void refuseForWant(RequestRef Ref, Actions &Out);
  /// @param Open a request.
  /// @param Why its newest refusal.
  /// @return whether another attempt may be made now.
  bool mayRetry(const Request &Open, const Refusal &Why, Millis Now);
  /// Notes the latency of an answer.
  /// @param Done the attempt.
  void noteLatency(const Attempt &Done, Millis Now);

  /// The settings in force.
  RouteSettings Settings;
  /// How endpoints are chosen.
  RoutingPolicies Policies;
  /// The endpoints.
  EndpointTable &Table;
  /// Numbers for attempts.
  WorkIdSource &WorkIds;
  /// Random choices.
  RandomSource Random;
  /// Requests not yet answered.
  std::map<RequestRef, Request> Requests;
  /// Attempts that are out.
  std::map<WorkId, Attempt> Attempts;
  /// When a second attempt of a request is due.
  std::set<std::pair<Millis, RequestRef>> Hedges;
  /// Latency that 95% of the requests stay under, by model or service.
  std::map<std::string, QuantileEstimate> LatencyOf;
  /// Budget of retries.
  TokenBucket RetryBudget;
  /// Budget of second attempts.
  TokenBucket HedgeBudget;
  /// Budget of the link between regions, in bytes.
  TokenBucket RegionBudget;
  /// Counts since the boot.
  RouteCounts Counts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ROUTE_CONTROLLER_BASE_H
