/// @file
/// Decides which partitions' histories a process reads now, and how much of
/// each at a time.

#include "core/batch/history_read_base.h"

#include <algorithm>
#include <tuple>

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

std::optional<HistoryRead> HistoryReadPlan::next(Millis Now) {
  const size_t Open = this->open();
  if (Now < this->PausedUntil || Open >= this->Limits.MostOpen)
    return std::nullopt;
  const auto Unowned = static_cast<size_t>(
      std::ranges::count_if(this->Readings, [](const auto &Each) {
        return Each.second.Open && !Each.second.Owned;
      }));
  const bool OnlyOwned = Unowned >= this->Limits.MostOpenUnowned;
  auto Best = this->Readings.end();
  const auto Rank = [](const Reading &Each) {
    return std::tuple(!Each.Owned, Each.Arrival);
  };
  for (auto Each = this->Readings.begin(); Each != this->Readings.end();
       ++Each) {
    if (!Each->second.Waiting || (OnlyOwned && !Each->second.Owned))
      continue;
    if (Best == this->Readings.end() || Rank(Each->second) < Rank(Best->second))
      Best = Each;
  }
  if (Best == this->Readings.end())
    return std::nullopt;
  Best->second.Waiting = false;
  Best->second.Open = true;
  return HistoryRead{Best->first, this->Kilobytes, this->Timeout};
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
  if (Found != this->Readings.end()) {
    Found->second.Open = false;
    // Another partition may be readable.
    Found->second.Arrival = ++this->Arrivals;
  }
  const int64_t Factor = int64_t{1} << std::min(this->Failures, MostDoublings);
  const Millis Pause =
      std::min(this->Limits.FirstPause * Factor, this->Limits.MostPause);
  ++this->Failures;
  constexpr double LeastPart = 0.5;
  this->PausedUntil =
      Now + Millis{static_cast<int64_t>(static_cast<double>(Pause.Count) *
                                        (LeastPart + Draw))};
  this->Kilobytes = std::max(this->Kilobytes / 2, this->Limits.LeastKilobytes);
  this->Timeout = std::min(this->Timeout * 2, this->Limits.MostTimeout);
}

} // namespace camphornotch
