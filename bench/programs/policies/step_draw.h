/// @file
/// The work of a trainer's step, drawn from a seed: equal for every policy.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_STEP_DRAW_H
#define CAMPHORNOTCH_BENCH_POLICIES_STEP_DRAW_H

#include "scenario_type.h"

#include <cstdint>
#include <vector>

namespace camphornotch::bench {

/// Draws how many tokens each sample of a step has.
/// @param Spec the load.
/// @param Seed of the run.
/// @param Trainer which trainer.
/// @param Step which step.
/// @return tokens by sample; members of a group stand together.
std::vector<int64_t> drawStep(const TrainerLoadSpec &Spec, uint64_t Seed,
                              int Trainer, int64_t Step);

/// Packs the same work with all lengths known, on engines that never fail or
/// slow down, without network or prompt reading; the better of two orders:
/// the longest sample first over all trainers, or the oldest step first.
/// @param Run the scenario.
/// @param Seed of the run.
/// @param Slots places of all engines.
/// @param TokenMs milliseconds a token.
/// @return seconds that a trainer waits for a step, on average.
double clairvoyantIdle(const Scenario &Run, uint64_t Seed, int Slots,
                       double TokenMs);

/// Number of trainers in every scenario.
inline constexpr int TrainerCount = 2;

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_STEP_DRAW_H
