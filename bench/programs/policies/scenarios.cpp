/// @file
/// The scenarios and the policies that are compared.

#include "scenarios.h"

namespace camphornotch::bench {

namespace {

/// Region budget that never binds, for the baselines.
constexpr double Unlimited = 1e15;

/// @param Name the name in the output.
/// @param Choice how an endpoint is chosen.
/// @return a baseline.
PolicySet baseline(const std::string &Name, const ChoicePolicy &Choice) {
  PolicySet Set;
  Set.Name = Name;
  Set.Rollouts.Choice = Choice;
  Set.Rollouts.Dispatch = EagerDispatch{};
  Set.Rollouts.Tail = LeaveTail{};
  Set.Rollouts.OtherRegionBytesPerSecond = Unlimited;
  Set.Routes.Choice = Choice;
  Set.Routes.Hedge = HedgeNever{};
  Set.Routes.OtherRegionBytesPerSecond = Unlimited;
  Set.Admission = FirstComeFirstServed{};
  Set.Swaps = SwapAllAtOnce{};
  Set.Quarantine = false;
  return Set;
}

/// @param Name the name in the output.
/// @return a scenario without faults.
Scenario plain(const std::string &Name) {
  Scenario Run;
  Run.Name = Name;
  return Run;
}

/// @return desks on the trainers' engines, without trainers.
Scenario sharedIdle() {
  Scenario Run = plain("shared_no_rollouts");
  Run.Desks.SharedEngines = true;
  Run.Trainers.Present = false;
  return Run;
}

/// @return desks on the trainers' engines, which are full of long rollouts.
Scenario sharedSaturated() {
  Scenario Run = plain("shared_saturated");
  Run.Desks.SharedEngines = true;
  Run.Trainers.MedianTokens = 1000;
  Run.Trainers.TrainTime = seconds(2);
  return Run;
}

/// @param Name the name in the output.
/// @param Factor how much slower two engines are.
/// @return short calls on ten engines, two of which are slowed at a time.
Scenario slowed(const std::string &Name, double Factor) {
  Scenario Run = plain(Name);
  Run.Desks.SharedEngines = true;
  Run.Faults.SlowFactor = Factor;
  return Run;
}

/// @param Name the name in the output.
/// @return steps that follow each other closely, for goodput.
Scenario busy(const std::string &Name) {
  Scenario Run = plain(Name);
  Run.Trainers.TrainTime = Millis{500};
  Run.End = seconds(400);
  return Run;
}

} // namespace

std::vector<Scenario> allScenarios() {
  std::vector<Scenario> All;
  All.push_back(plain("steady"));
  All.push_back(plain("heavy_tail"));
  All.back().Trainers.LongShare = 0.01;
  All.push_back(sharedIdle());
  All.push_back(sharedSaturated());
  All.push_back(slowed("short_calls_none_slowed", 1));
  All.push_back(slowed("short_calls_two_slowed", 5));
  All.push_back(plain("two_slowed"));
  All.back().Faults.SlowFactor = 5;
  All.push_back(plain("weights"));
  All.back().Faults.VersionPeriod = seconds(60);
  All.back().Faults.SwapFailures = 0.1;
  All.push_back(plain("crash_a_minute"));
  All.back().Faults.CrashPeriod = seconds(60);
  All.push_back(plain("poison"));
  All.back().Faults.Poison = true;
  All.push_back(plain("leaving"));
  All.back().Faults.LeavePeriod = seconds(30);
  All.push_back(busy("region_cut"));
  All.back().Faults.CutAt = seconds(150);
  All.push_back(busy("centre_lost"));
  All.back().Faults.LossAt = seconds(150);
  return All;
}

PolicySet defaultPolicies() {
  PolicySet Set;
  Set.Name = "default";

  return Set;
}

std::vector<PolicySet> baselinePolicies() {
  return {baseline("round_robin", RoundRobinPolicy{}),
          baseline("least_outstanding", LeastOutstandingPolicy{})};
}

} // namespace camphornotch::bench
