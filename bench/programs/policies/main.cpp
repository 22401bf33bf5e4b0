/// @file
/// Runs the scenarios under the default policies and the baselines, prints
/// JSON lines and a table.

#include "cluster.h"
#include "scenarios.h"
#include "step_draw.h"

#include <algorithm>
#include <cstdio>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

DEFINE_int32(seed, 1, "Seed of all random choices");
DEFINE_string(scenario, "", "Run only this scenario; empty: all");

namespace camphornotch::bench {

namespace {

/// One measure of a run; lower is better.
struct Measure {
  /// Its name in the output.
  const char *Name;
  /// Its unit.
  const char *Unit;
  /// Reads it.
  double (*Read)(const RunFigures &);
};

/// The measures of every scenario.
const Measure Measures[] = {
    {"trainer_idle", "s/step",
     [](const RunFigures &F) { return F.IdlePerStep; }},
    {"desk_p50", "ms", [](const RunFigures &F) { return F.DeskP50; }},
    {"desk_p99", "ms", [](const RunFigures &F) { return F.DeskP99; }},
    {"age_p95", "versions", [](const RunFigures &F) { return F.AgeP95; }},
    {"too_old", "samples",
     [](const RunFigures &F) { return static_cast<double>(F.TooOld); }},
    {"retries", "percent", [](const RunFigures &F) { return F.RetryPercent; }},
    {"hedges", "percent", [](const RunFigures &F) { return F.HedgePercent; }},
    {"extra_tokens", "percent",
     [](const RunFigures &F) { return F.ExtraTokensPercent; }},
    {"region_bytes", "bytes/token",
     [](const RunFigures &F) { return F.RegionBytesPerToken; }},
    {"desk_refused", "calls",
     [](const RunFigures &F) { return static_cast<double>(F.DeskRefused); }},
    {"crashes", "crashes",
     [](const RunFigures &F) { return static_cast<double>(F.Crashes); }},
    {"recovery", "s", [](const RunFigures &F) { return F.RecoverySeconds; }},
};

/// Prints one measure as a JSON line.
/// @param Scenario the scenario's name.
/// @param Each the measure.
/// @param Default the value of the default policies.
/// @param Baseline the best value of the baselines.
void printLine(const std::string &Scenario, const Measure &Each, double Default,
               double Baseline) {
  const nlohmann::json Line{
      {"scenario", Scenario}, {"measure", Each.Name}, {"policy", Default},
      {"baseline", Baseline}, {"value", Default},     {"unit", Each.Unit},
      {"seed", FLAGS_seed},
  };
  std::printf("%s\n", Line.dump().c_str());
}

/// Runs one scenario under all policies and prints its measures.
/// @param Run the scenario.
void runScenario(const Scenario &Run) {
  const auto Seed = static_cast<uint64_t>(FLAGS_seed);
  const RunFigures Default = Cluster(Run, defaultPolicies(), Seed).run();
  std::vector<RunFigures> Baselines;
  for (const PolicySet &Policies : baselinePolicies())
    Baselines.push_back(Cluster(Run, Policies, Seed).run());
  for (const Measure &Each : Measures) {
    double Best = Each.Read(Baselines.front());
    for (const RunFigures &Figures : Baselines)
      Best = std::min(Best, Each.Read(Figures));
    printLine(Run.Name, Each, Each.Read(Default), Best);
  }
  if (!Run.Trainers.Present)
    return;
  const double Ideal =
      clairvoyantIdle(Run, Seed, ModelEngines * EngineSlots, EngineTokenMs);
  const Measure Ratio{"idle_over_clairvoyant", "ratio", nullptr};
  double Best = Baselines.front().IdlePerStep;
  for (const RunFigures &Figures : Baselines)
    Best = std::min(Best, Figures.IdlePerStep);
  printLine(Run.Name, Ratio, Default.IdlePerStep / Ideal, Best / Ideal);
}

} // namespace

} // namespace camphornotch::bench

/// @param Count how many arguments.
/// @param Arguments the arguments.
/// @return the exit code.
int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  for (const auto &Run : camphornotch::bench::allScenarios())
    if (FLAGS_scenario.empty() || FLAGS_scenario == Run.Name)
      camphornotch::bench::runScenario(Run);
  return 0;
}
