/// @file
/// Gateways that choose endpoints by the remaining work.

#include "whole_gateway_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

// Guards against items that the policy leaves waiting, and against lengths that
// are not learned.
Test(placement, remainingWork_itemsEndAndTheirLengthIsLearned) {
  GatewayFixture Net(1, 2, RemainingWorkChoice{});
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 3)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 3).size(), 3U);
  const std::string Text = Net.Gateways[0]->Counts.text();
  cr_assert(Text.find("item_estimate_ratio_count 3") != std::string::npos);
}

// Guards against items whose engine is lost and that do not go on elsewhere.
Test(placement, remainingWork_itemGoesOnAtAnotherEngine) {
  GatewayFixture Net(1, 2, RemainingWorkChoice{});
  Net.Engine.Hold = true;
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Engine.Held.size() == 1; }));
  FakeEngine Second(Net.Events);
  FakeGateway &Gateway = *Net.Gateways[0];
  EndpointRecord Record = Gateway.Pool.find(EndpointId{"i-llm"})->Record;
  Record.Id = EndpointId{"i-second"};
  Record.ListenAddress = Second.where();
  Gateway.Pool.put(Record);
  Net.Engine.Held.front()->abort();
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
  cr_assert_eq(Second.Runs.size(), 1U);
}

// Guards against estimates under the other policies, whose work is as before.
Test(placement, expectedTime_nothingIsEstimated) {
  GatewayFixture Net(1);
  cr_assert_eq(Net.ask(0, GatewayFixture::submission("s", 1)).Status, 202);
  cr_assert_eq(Net.results(0, "s", 1).size(), 1U);
  const std::string Text = Net.Gateways[0]->Counts.text();
  cr_assert(Text.find("item_estimate_ratio_count 0") != std::string::npos);
}

// Guards against plain requests that get no answer under the policy.
Test(placement, remainingWork_plainRequestsAreAnswered) {
  WholeGateway Net("wanted_groups", "remaining_work");
  Net.configure(R"({"version":1,"routes":[
    {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
     "timeout_ms":60000,"target_latency_ms":200,"attempts":2}],
    "services":[{"name":"s"}]})");
  const FakeEngine Engine(Net.Events);
  Net.addEngine(Engine);
  for (int Count = 0; Count < 5; ++Count)
    cr_assert_eq(Net.ask("GET", "/a/y", {}).Status, 200);
}
