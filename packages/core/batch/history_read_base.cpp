/// @file
/// Decides which partitions' histories a process reads now, and how much of
/// each at a time.

#include "core/batch/history_read_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// How many times the time of an answered read the next one may take.
constexpr int64_t TimeoutFactor = 4;
/// Part of the time for an answer within which a page was short enough to ask
/// for a longer one.
constexpr int64_t QuickDivisor = 4;
/// Most doublings of the pause.
constexpr int MostDoublings = 8;

} // namespace

HistoryReadPlan::HistoryReadPlan(const HistoryReadLimits &Limits)
    : Limits(Limits), Kilobytes(Limits.MostKilobytes / 2),
      Timeout(Limits.LeastTimeout) {}

void HistoryReadPlan::want(const PartitionId &Where, bool Owned) {
  Reading &Each = this->Readings[Where];
  if (Each.Arrival == 0)
    Each.Arrival = ++this->Arrivals;
  Each.Owned = Owned;
  Each.Waiting = true;
}

void HistoryReadPlan::setOwned(const PartitionId &Where, bool Owned) {
  const auto Found = this->Readings.find(Where);
  if (Found != this->Readings.end())
    Found->second.Owned = Owned;
}

void HistoryReadPlan::done(const PartitionId &Where) {
  this->Readings.erase(Where);
}

size_t HistoryReadPlan::waiting() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->Readings, [](const auto &Each) { return Each.second.Waiting; }));
}

size_t HistoryReadPlan::open() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->Readings, [](const auto &Each) { return Each.second.Open; }));
}

size_t HistoryReadPlan::openOf(bool Owned) const {
  return static_cast<size_t>(
      std::ranges::count_if(this->Readings, [Owned](const auto &Each) {
        return Each.second.Open && Each.second.Owned == Owned;
      }));
}

std::pair<const PartitionId, HistoryReadPlan::Reading> *
HistoryReadPlan::firstWaiting(bool Owned) {
  std::pair<const PartitionId, Reading> *Best = nullptr;
  for (auto &Each : this->Readings) {
    const Reading &Here = Each.second;
    if (Here.Waiting && Here.Owned == Owned &&
        (Best == nullptr || Here.Arrival < Best->second.Arrival))
      Best = &Each;
  }
  return Best;
}

std::optional<HistoryRead> HistoryReadPlan::next(Millis Now) {
  if (Now < this->PausedUntil || this->open() >= this->Limits.MostOpen)
    return std::nullopt;
  const size_t OpenUnowned = this->openOf(false);
  auto *Unowned = OpenUnowned < this->Limits.MostOpenUnowned
                      ? this->firstWaiting(false)
                      : nullptr;
  const size_t Kept = Unowned != nullptr ? this->Limits.MostOpenUnowned : 0;
  const bool OwnedMay =
      this->openOf(true) + std::max(Kept, OpenUnowned) < this->Limits.MostOpen;
  auto *Next = OwnedMay ? this->firstWaiting(true) : nullptr;
  if (Next == nullptr)
    Next = Unowned;
  if (Next == nullptr)
    return std::nullopt;
  Next->second.Waiting = false;
  Next->second.Open = true;
  Next->second.GivenUpAt = Now + this->Timeout;
  return HistoryRead{Next->first, this->Kilobytes, this->Timeout};
}

void HistoryReadPlan::answered(const PartitionId &Where, Millis Took) {
  const auto Found = this->Readings.find(Where);
  if (Found != this->Readings.end())
    Found->second.Open = false;
  this->Failures = 0;
  if (Took * QuickDivisor < this->Timeout)
    this->Kilobytes = std::min(this->Kilobytes * 2, this->Limits.MostKilobytes);
  // Falls slowly, so that one quick answer does not cut the next one off.
  this->Timeout = std::clamp(
      std::max(Took * TimeoutFactor, Millis{this->Timeout.Count * 3 / 4}),
      this->Limits.LeastTimeout, this->Limits.MostTimeout);
}

void HistoryReadPlan::failed(const PartitionId &Where, Millis Now,
                             double Draw) {
  const auto Found = this->Readings.find(Where);
  bool Late = false;
  if (Found != this->Readings.end()) {
    Late = Now >= Found->second.GivenUpAt;
    Found->second.Open = false;
    // Another partition may be readable.
    Found->second.Arrival = ++this->Arrivals;
  }
  if (Late) {
    this->Kilobytes =
        std::max(this->Kilobytes / 2, this->Limits.LeastKilobytes);
    this->Timeout = std::min(this->Timeout * 2, this->Limits.MostTimeout);
  }
  // Reads that were open together fail together.
  if (Now < this->PausedUntil)
    return;
  const int64_t Factor = int64_t{1} << std::min(this->Failures, MostDoublings);
  const Millis Pause =
      std::min(this->Limits.FirstPause * Factor, this->Limits.MostPause);
  ++this->Failures;
  constexpr double LeastPart = 0.5;
  this->PausedUntil =
      Now + Millis{static_cast<int64_t>(static_cast<double>(Pause.Count) *
                                        (LeastPart + Draw))};
}

} // namespace camphornotch
