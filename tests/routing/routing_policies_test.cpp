/// @file
/// Tests of the routing rules as the controllers use them.

#include "core/routing/route_controller_base.h"
#include "core/routing/routing_policies_base.h"
#include "routing_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @param Name which models or services.
/// @param Policy the policy for them.
/// @return rules with that one.
std::shared_ptr<const RuleSet> rules(const std::string &Name,
                                     RoutingPolicy Policy) {
  RoutingRule Rule;
  Rule.Source.Name = Name;
  Rule.Policy = Policy;
  RuleSet Set;
  Set.Routing.push_back(Rule);
  return std::make_shared<const RuleSet>(Set);
}

/// Makes two short requests.
/// @param Controller the controller.
/// @param Now the time.
/// @return where they went.
std::vector<EndpointIndex> twoRequests(RouteController &Controller,
                                       Millis Now) {
  std::vector<EndpointIndex> Where;
  for (int64_t Number = 1; Number <= 2; ++Number) {
    RouteSpec Spec;
    Spec.Request.Value = Number;
    Spec.Serves = "m";
    Spec.ExpectedTokens = 10;
    const auto Sent =
        actionsOf<SendRequest>(Controller.handle(RouteRequested{Spec}, Now));
    Where.push_back(Sent.at(0).Endpoint);
    Controller.handle(RouteFinished{Sent.at(0).Work}, Now);
  }
  return Where;
}

} // namespace

Test(routingPolicies, rule_of_a_model_names_its_policy_only) {
  RoutingPolicies Policies{ProbingPolicy{}};
  Policies.change(rules("m", RoutingPolicy::RoundRobin));
  cr_assert(std::holds_alternative<RoundRobinPolicy>(Policies.choice("m")));
  cr_assert(std::holds_alternative<ProbingPolicy>(Policies.choice("other")));
}

Test(routingPolicies, unchanged_policy_keeps_its_turn) {
  RoutingPolicies Policies{ProbingPolicy{}};
  Policies.change(rules("*", RoutingPolicy::RoundRobin));
  std::get<RoundRobinPolicy>(Policies.choice("m")).Turn = 5;
  Policies.change(rules("m", RoutingPolicy::RoundRobin));
  cr_assert(std::get<RoundRobinPolicy>(Policies.choice("m")).Turn == 5);
}

Test(routeController, published_round_robin_overrides_the_default) {
  RoutingFixture Fixture;
  Fixture.addEngine("fast", "dc1", 10000);
  Fixture.addEngine("slow", "dc1", 90000);
  RouteController Controller{RouteSettings{}, Fixture.Table, Fixture.WorkIds,
                             1};
  const auto Before = twoRequests(Controller, Fixture.Now);
  cr_assert(Before[0] == Before[1]);
  Controller.change(rules("*", RoutingPolicy::RoundRobin));
  const auto After = twoRequests(Controller, Fixture.Now);
  cr_assert(After[0] != After[1]);
}
