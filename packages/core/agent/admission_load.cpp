/// @file
/// Figures of the admission controller: load, speed and expected waits.

#include "core/agent/admission_base.h"
#include "core/agent/wait_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Tokens after which half of the average speed is new, about.
constexpr double SpeedMemoryTokens = 256;
/// Largest weight of one measurement of speed.
constexpr double MaxSpeedWeight = 0.5;
/// Tokens' time that a preempted run takes to stop, about.
constexpr int64_t PreemptTokens = 2;
/// Microseconds in a millisecond.
constexpr int64_t MicrosPerMilli = 1000;

} // namespace

int64_t AdmissionController::tokensOf(const wire::StartWork &Work) const {
  if (Work.Kind != wire::WorkKind::Completion)
    return 1;
  if (Work.ExpectedTokens > 0)
    return Work.ExpectedTokens;
  return this->Settings.DefaultTokens;
}

void AdmissionController::learnSpeed(Millis Took, int64_t Tokens) {
  const auto Count = static_cast<double>(Tokens);
  const double Micros = static_cast<double>(Took.Count * MicrosPerMilli);
  // A call of a service is one token, and each tells much.
  const double Weight =
      Tokens == 1 ? 0.1 : std::min(MaxSpeedWeight, Count / SpeedMemoryTokens);
  this->MicrosPerToken += Weight * (Micros / Count - this->MicrosPerToken);
}

int64_t AdmissionController::tokenMicros(Millis Now) const {
  const auto Average = static_cast<int64_t>(this->MicrosPerToken);
  Millis Latest{-1};
  for (const auto &[Id, Each] : this->Runs) {
    if (Each.Produced > 0)
      Latest = std::max(Latest, Each.LastProgress);
  }
  if (Latest < Millis{0})
    return std::max(Average, int64_t{1});
  const int64_t Stalled = (Now - Latest).Count * MicrosPerMilli;
  return std::max({Average, Stalled / this->LargestChunk, int64_t{1}});
}

std::vector<int64_t> AdmissionController::placesFor(QueueIndex Index) const {
  const ClassedAdmission *Classes = this->classes();
  const bool Short = this->isShort(Index);
  std::vector<int64_t> Places;
  int LongKept = 0;
  int ShortRuns = 0;
  for (const auto &[Id, Each] : this->Runs) {
    const bool Long = Each.Class != wire::WorkClass::Short;
    ShortRuns += Long ? 0 : 1;
    // Short work within the reserve takes no place from long work.
    if (!Short && !Long && ShortRuns <= this->reserve())
      continue;
    const bool Yields =
        Short && Long && Classes->Preempt && ++LongKept > this->longFloor();
    Places.push_back(Yields ? std::min(PreemptTokens, Each.remaining())
                            : Each.remaining());
  }
  const int Usable = this->Settings.Slots - (Short ? 0 : this->reserve());
  while (static_cast<int>(Places.size()) < Usable)
    Places.push_back(0);
  return Places;
}

int64_t AdmissionController::queuedBefore(QueueIndex Index) const {
  if (this->isShort(Index))
    return this->Queues[ShortQueue].tokens();
  if (Index == UrgentQueue)
    return this->Queues[UrgentQueue].tokens();
  return this->Queues[UrgentQueue].tokens() +
         this->Queues[RolloutQueue].tokens();
}

int64_t AdmissionController::tokensAhead(QueueIndex Index) const {
  std::vector<int64_t> Places = this->placesFor(Index);
  return tokensUntilStart(Places, this->queuedBefore(Index));
}

Millis AdmissionController::expectedWait(const wire::StartWork &Work,
                                         Millis Now) const {
  const QueueIndex Index = this->queueOf(Work);
  if (!this->Held && this->Queues[Index].empty() && this->hasPlace(Index))
    return Millis{0};
  const int64_t Tokens = this->tokensAhead(Index);
  return Millis{Tokens * this->tokenMicros(Now) / MicrosPerMilli};
}

wire::LoadFigure AdmissionController::load(Millis Now) const {
  wire::LoadFigure Figure;
  Figure.Slots = this->Settings.Slots;
  Figure.Running = static_cast<int32_t>(this->Runs.size());
  Figure.Queued = static_cast<int32_t>(this->Waiting.size());
  for (const FairQueue &Queue : this->Queues)
    Figure.QueuedTokens += Queue.tokens();
  for (const auto &[Id, Each] : this->Runs)
    Figure.QueuedTokens += Each.remaining();
  Figure.TokenMicros = this->tokenMicros(Now);
  wire::StartWork Probe;
  Probe.Class = wire::WorkClass::Rollout;
  Figure.ExpectedWaitMs = this->expectedWait(Probe, Now).Count;
  Probe.Class = wire::WorkClass::Short;
  Figure.ShortWaitMs = this->expectedWait(Probe, Now).Count;
  const int ShortRuns = Figure.Running - this->longRuns();
  Figure.ShortReserve = std::clamp(this->reserve() - ShortRuns, 0,
                                   std::max(0, this->freePlaces()));
  Figure.Version = -1;
  Figure.OwnQueued = -1;
  return Figure;
}

int32_t AdmissionController::queuedFrom(BootId Sender) const {
  return static_cast<int32_t>(std::count_if(
      this->Waiting.begin(), this->Waiting.end(),
      [&](const auto &Each) { return Each.first.Sender == Sender; }));
}

} // namespace camphornotch
