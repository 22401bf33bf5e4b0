/// @file
/// Compares the policies of endpoint choice on the same engines and items.

#include "placement_simulation.h"

#include <criterion/criterion.h>
#include <iostream>

using namespace camphornotch;

namespace {

/// @return the means over five seeds.
PlacementResult average(PlacementCase Case, const char *Policy) {
  constexpr uint64_t Seeds = 5;
  Case.Choice = parseEndpointChoice(Policy);
  PlacementResult Sum;
  for (Case.Seed = 1; Case.Seed <= Seeds; ++Case.Seed) {
    const PlacementResult Each = PlacementSimulation(Case).run();
    Sum.MeanMs += Each.MeanMs / Seeds;
    Sum.P90Ms += Each.P90Ms / Seeds;
    Sum.LastMs += Each.LastMs / Seeds;
    Sum.Moves += Each.Moves;
    Sum.MostAtOnce = std::max(Sum.MostAtOnce, Each.MostAtOnce);
  }
  return Sum;
}

/// Asserts that items end earlier than under each other policy.
/// @param Share most of the other policies' mean and 90 % times.
void expectEarlier(const PlacementCase &Case, double Share) {
  const PlacementResult New = average(Case, "remaining_work");
  for (const char *Policy :
       {"expected_time", "least_outstanding", "round_robin"}) {
    const PlacementResult Old = average(Case, Policy);
    cr_assert_lt(New.MeanMs, Old.MeanMs * Share, "%s: %f, %f", Policy,
                 New.MeanMs, Old.MeanMs);
    cr_assert_lt(New.P90Ms, Old.P90Ms * Share, "%s: %f, %f", Policy, New.P90Ms,
                 Old.P90Ms);
    cr_assert_lt(New.LastMs, Old.LastMs, "%s: %f, %f", Policy, New.LastMs,
                 Old.LastMs);
  }
}

} // namespace

// Guards against gateways that all choose the same engines by the same old
// reports, while 20 of 37 engines are slowed.
Test(placementPolicy, burstOnOldReports_itemsEndEarlierThanUnderOthers) {
  PlacementCase Case;
  Case.Moves = true;
  expectEarlier(Case, 0.65);
  Case.Moves = false;
  expectEarlier(Case, 0.75);
}

// Guards against the same when items come one after the other, so that the
// other policies have measurements of their own.
Test(placementPolicy, itemsOverTwoSeconds_endEarlierThanUnderOthers) {
  PlacementCase Case;
  Case.Arrivals = seconds(2);
  Case.Moves = true;
  expectEarlier(Case, 0.65);
}

// Guards against a policy that is better only while engines are slowed.
Test(placementPolicy, noSlowedEngine_itemsEndEarlierThanUnderOthers) {
  PlacementCase Case;
  Case.Slowed = 0;
  Case.Moves = true;
  expectEarlier(Case, 0.75);
}

// Guards against a herd: one engine that gets most of the work at once.
Test(placementPolicy, burstOnOldReports_noEngineGetsTwiceAsMuchAsUnderOthers) {
  const PlacementCase Case;
  const size_t New = average(Case, "remaining_work").MostAtOnce;
  cr_assert_lt(New, average(Case, "expected_time").MostAtOnce * 3 / 4);
  cr_assert_lt(New, average(Case, "least_outstanding").MostAtOnce + 1);
}

// Guards against one loader's wrong report, which names an idle and very fast
// engine, costing more than the choice by counts.
Test(placementPolicy, wrongReport_costsTimeOnly) {
  PlacementCase Case;
  Case.Moves = true;
  Case.WrongReports = true;
  expectEarlier(Case, 0.8);
}
