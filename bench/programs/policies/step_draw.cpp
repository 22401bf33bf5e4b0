/// @file
/// The work of a step, and its packing with all lengths known.

#include "step_draw.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace camphornotch::bench {

namespace {

/// Fewest tokens of a sample.
constexpr double FewestTokens = 10;

/// @param Random a generator.
/// @return uniform in (0, 1].
double uniform(std::mt19937_64 &Random) {
  return (static_cast<double>(Random() >> 11) + 1) / 9007199254740992.0;
}

/// @param Random a generator.
/// @return standard normal, by the Box-Muller transform, which is the same
///         with every standard library.
double normal(std::mt19937_64 &Random) {
  const double Radius = std::sqrt(-2 * std::log(uniform(Random)));
  return Radius * std::cos(2 * M_PI * uniform(Random));
}

/// One trainer of the packing.
struct PackedTrainer {
  /// Its step.
  int64_t Step = 0;
  /// When the step was submitted, in ms.
  double Submitted = 0;
  /// Samples not started, the longest last.
  std::vector<int64_t> Waiting;
  /// Samples not finished.
  size_t Open = 0;
  /// Waiting time of all finished steps, in ms.
  double Idle = 0;
  /// Steps finished.
  int64_t Steps = 0;
};

/// Something that happens in the packing.
struct PackedEvent {
  /// When, in ms.
  double At = 0;
  /// To which trainer.
  int Trainer = 0;
  /// Whether a sample finished; else the trainer submits its next step.
  bool Finished = false;
  /// The earlier first.
  bool operator<(const PackedEvent &Other) const { return At > Other.At; }
};

/// Whether the first trainer's next sample starts after the second's.
using PackedOrder =
    std::function<bool(const PackedTrainer &, const PackedTrainer &)>;

/// @param Left a trainer.
/// @param Right another.
/// @return whether the other one's next sample is longer.
bool isShorter(const PackedTrainer &Left, const PackedTrainer &Right) {
  const int64_t LeftTokens = Left.Waiting.empty() ? 0 : Left.Waiting.back();
  const int64_t RightTokens = Right.Waiting.empty() ? 0 : Right.Waiting.back();
  return LeftTokens < RightTokens;
}

/// @param Left a trainer.
/// @param Right another.
/// @return whether the other one submitted earlier and has samples waiting.
bool isLater(const PackedTrainer &Left, const PackedTrainer &Right) {
  if (Left.Waiting.empty() != Right.Waiting.empty())
    return Left.Waiting.empty();
  return Left.Submitted > Right.Submitted;
}

/// Packs all steps, the longest samples of a step first.
/// @param Run the scenario.
/// @param Seed of the run.
/// @param Slots places of all engines.
/// @param TokenMs milliseconds a token.
/// @param GoesAfter which trainer's sample starts next.
/// @return seconds that a trainer waits for a step, on average.
double packedIdle(const Scenario &Run, uint64_t Seed, int Slots, double TokenMs,
                  const PackedOrder &GoesAfter) {
  std::vector<PackedTrainer> Trainers(TrainerCount);
  std::priority_queue<PackedEvent> Events;
  for (int Trainer = 0; Trainer < TrainerCount; ++Trainer)
    Events.push({0, Trainer, false});
  int Free = Slots;
  const auto End = static_cast<double>(Run.End.Count);
  while (!Events.empty() && Events.top().At <= End) {
    const PackedEvent Event = Events.top();
    Events.pop();
    PackedTrainer &Own = Trainers[static_cast<size_t>(Event.Trainer)];
    if (Event.Finished) {
      ++Free;
      if (--Own.Open == 0) {
        Own.Idle += Event.At - Own.Submitted;
        ++Own.Steps;
        const auto Train = static_cast<double>(Run.Trainers.TrainTime.Count);
        Events.push({Event.At + Train, Event.Trainer, false});
      }
    } else {
      Own.Submitted = Event.At;
      Own.Waiting = drawStep(Run.Trainers, Seed, Event.Trainer, Own.Step++);
      std::sort(Own.Waiting.begin(), Own.Waiting.end());
      Own.Open = Own.Waiting.size();
    }
    while (Free > 0) {
      const auto Longest =
          std::max_element(Trainers.begin(), Trainers.end(), GoesAfter);
      if (Longest->Waiting.empty())
        break;
      const double Span =
          static_cast<double>(Longest->Waiting.back()) * TokenMs;
      Longest->Waiting.pop_back();
      --Free;
      Events.push({Event.At + Span,
                   static_cast<int>(Longest - Trainers.begin()), true});
    }
  }
  double Idle = 0;
  int64_t Steps = 0;
  for (const PackedTrainer &Each : Trainers) {
    Idle += Each.Idle;
    Steps += Each.Steps;
  }
  return Steps == 0 ? 0 : Idle / static_cast<double>(Steps) / 1000;
}

} // namespace

std::vector<int64_t> drawStep(const TrainerLoadSpec &Spec, uint64_t Seed,
                              int Trainer, int64_t Step) {
  std::mt19937_64 Random(Seed * 1000003 +
                         static_cast<uint64_t>(Trainer) * 7919 +
                         static_cast<uint64_t>(Step));
  std::vector<int64_t> Tokens;
  const int Samples = Spec.Groups * Spec.GroupSize;
  double GroupMedian = Spec.MedianTokens;
  for (int Sample = 0; Sample < Samples; ++Sample) {
    if (Sample % Spec.GroupSize == 0)
      GroupMedian =
          Spec.MedianTokens * std::exp(Spec.GroupSpread * normal(Random));
    double Length = GroupMedian * std::exp(Spec.MemberSpread * normal(Random));
    if (uniform(Random) <= Spec.LongShare)
      Length = Spec.MedianTokens * Spec.LongFactor;
    Tokens.push_back(static_cast<int64_t>(std::max(FewestTokens, Length)));
  }
  return Tokens;
}

double clairvoyantIdle(const Scenario &Run, uint64_t Seed, int Slots,
                       double TokenMs) {
  return std::min(packedIdle(Run, Seed, Slots, TokenMs, isShorter),
                  packedIdle(Run, Seed, Slots, TokenMs, isLater));
}

} // namespace camphornotch::bench
