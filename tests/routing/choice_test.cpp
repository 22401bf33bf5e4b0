/// @file
/// Tests of the endpoint table and the choice policies.

#include "routing_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @param Excluded endpoints not to use.
/// @return a rollout of the model "m".
ChoiceRequest rollout(const std::vector<EndpointIndex> *Excluded = nullptr) {
  ChoiceRequest Request;
  Request.Serves = "m";
  Request.Class = wire::WorkClass::Rollout;
  Request.ExpectedTokens = 100;
  Request.Excluded = Excluded;
  return Request;
}

/// Chooses once by the default policy.
/// @param Fixture the table.
/// @param Request what is needed.
/// @return the endpoint.
std::optional<EndpointIndex> probe(RoutingFixture &Fixture,
                                   const ChoiceRequest &Request) {
  ChoicePolicy Policy = ProbingPolicy{};
  RandomSource Random(7);
  return chooseEndpoint(Policy, Fixture.Table, Request, Fixture.Now, Random);
}

} // namespace

Test(probing, slowed_endpoint_is_passed_over) {
  RoutingFixture Fixture;
  Fixture.addEngine("slow", "dc1", 50000);
  const EndpointIndex Fast = Fixture.addEngine("fast", "dc1", 10000);
  cr_assert(probe(Fixture, rollout()) == Fast);
}

Test(probing, equal_endpoint_in_own_data_centre_wins) {
  RoutingFixture Fixture;
  Fixture.addEngine("far", "dc3");
  const EndpointIndex Near = Fixture.addEngine("near", "dc1");
  Fixture.addEngine("middle", "dc2");
  cr_assert(probe(Fixture, rollout()) == Near);
}

Test(probing, spent_region_budget_keeps_other_region_out) {
  RoutingFixture Fixture;
  Fixture.addEngine("far", "dc3");
  ChoiceRequest Request = rollout();
  Request.OtherRegionAllowed = false;
  cr_assert(!probe(Fixture, Request).has_value());
}

Test(probing, leaving_unreachable_and_excluded_are_never_chosen) {
  RoutingFixture Fixture;
  const EndpointIndex Leaving = Fixture.addEngine("leaving");
  Fixture.Table.setLeaving(Leaving, true);
  const EndpointIndex Silent = Fixture.addEngine("silent");
  Fixture.Table.setReachable(Silent, false);
  const std::vector<EndpointIndex> Excluded{Fixture.addEngine("used")};
  cr_assert(!probe(Fixture, rollout(&Excluded)).has_value());
}

Test(probing, failed_endpoint_is_probed_again_after_its_time) {
  RoutingFixture Fixture;
  const EndpointIndex Only = Fixture.addEngine("only");
  Fixture.Table.noteFailure(Only, Fixture.Now);
  cr_assert(!probe(Fixture, rollout()).has_value());
  Fixture.Now += seconds(1);
  cr_assert(probe(Fixture, rollout()) == Only);
}

Test(probing, affinity_key_meets_on_one_endpoint_until_it_is_loaded) {
  RoutingFixture Fixture;
  for (const char *Name : {"a", "b", "c", "d"})
    Fixture.addEngine(Name);
  ChoiceRequest Request = rollout();
  Request.Affinity = "prompt prefix";
  const auto First = probe(Fixture, Request);
  cr_assert(First.has_value());
  cr_assert(probe(Fixture, Request) == First);
  for (int Sent = 0; Sent < 40; ++Sent)
    Fixture.Table.noteSent(*First, 100);
  cr_assert(probe(Fixture, Request) != First);
}

Test(roundRobin, turns_visit_every_endpoint) {
  RoutingFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  ChoicePolicy Policy = RoundRobinPolicy{};
  RandomSource Random(7);
  const auto First =
      chooseEndpoint(Policy, Fixture.Table, rollout(), Fixture.Now, Random);
  const auto Second =
      chooseEndpoint(Policy, Fixture.Table, rollout(), Fixture.Now, Random);
  cr_assert(First != Second);
}

Test(leastOutstanding, busier_endpoint_is_passed_over) {
  RoutingFixture Fixture;
  const EndpointIndex Busy = Fixture.addEngine("busy");
  const EndpointIndex Idle = Fixture.addEngine("idle");
  Fixture.Table.noteSent(Busy, 10);
  ChoicePolicy Policy = LeastOutstandingPolicy{};
  for (uint64_t Seed = 0; Seed < 16; ++Seed) {
    RandomSource Random(Seed);
    cr_assert(chooseEndpoint(Policy, Fixture.Table, rollout(), Fixture.Now,
                             Random) == Idle);
  }
}

Test(parseChoicePolicy, unknown_name_lists_the_known_ones) {
  const auto Parsed = parseChoicePolicy("fastest");
  cr_assert(Parsed.has_error());
  cr_assert(Parsed.error().Remedy.find("probing") != std::string::npos);
}

Test(endpointTable, figure_without_own_queue_keeps_what_is_known) {
  RoutingFixture Fixture;
  const EndpointIndex Only = Fixture.addEngine("only", "dc1", 10000, 1);
  wire::LoadFigure Full;
  Full.Slots = 1;
  Full.Running = 1;
  Full.Queued = 5;
  Full.OwnQueued = 2;
  Fixture.Table.noteLoad(Only, Full, Fixture.Now);
  Full.OwnQueued = -1;
  Fixture.Table.noteLoad(Only, Full, Fixture.Now);
  cr_assert(Fixture.Table.ownWaiting(Only) == 2);
  Full.Queued = 1;
  Fixture.Table.noteLoad(Only, Full, Fixture.Now);
  cr_assert(Fixture.Table.ownWaiting(Only) == 1);
}
