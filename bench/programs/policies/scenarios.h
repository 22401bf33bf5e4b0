/// @file
/// The scenarios, the policies that are compared, and the bounds.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_SCENARIOS_H
#define CAMPHORNOTCH_BENCH_POLICIES_SCENARIOS_H

#include "scenario_type.h"

#include <vector>

namespace camphornotch::bench {

/// @return all scenarios at the size of today's deployments.
std::vector<Scenario> allScenarios();

/// @return the policies that ship.
PolicySet defaultPolicies();

/// @return the baselines: each endpoint in turn, and the fewest outstanding;
///         both with work sent at once, first come first served, no hedging.
std::vector<PolicySet> baselinePolicies();

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_SCENARIOS_H
