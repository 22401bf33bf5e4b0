/// @file
/// Schedules this process's reads of partition histories.

#include "core/batch/history_read_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// The next timeout is up to this multiple of the time of an answered read.
constexpr int64_t TimeoutFactor = 4;
/// An answer within this fraction of the timeout allows a larger page.
constexpr int64_t QuickAnswerDivisor = 4;
/// Limits the doublings of the pause.
constexpr int MaxDoublings = 8;

} // namespace

HistoryReadScheduler::HistoryReadScheduler(const HistoryReadLimits &Limits)
    : Limits(Limits), Kilobytes(Limits.MaxKilobytes / 2),
      Timeout(Limits.MinTimeout) {}

void HistoryReadScheduler::enqueue(const PartitionId &Partition, bool Owned) {
  PartitionState &Each = this->Partitions[Partition];
  if (Each.QueuePosition == 0)
    Each.QueuePosition = ++this->LastQueuePosition;
  Each.Owned = Owned;
  Each.Waiting = true;
}

void HistoryReadScheduler::setOwned(const PartitionId &Partition, bool Owned) {
  const auto Found = this->Partitions.find(Partition);
  if (Found != this->Partitions.end())
    Found->second.Owned = Owned;
}

void HistoryReadScheduler::remove(const PartitionId &Partition) {
  this->Partitions.erase(Partition);
}

size_t HistoryReadScheduler::waiting() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->Partitions, [](const auto &Each) { return Each.second.Waiting; }));
}

size_t HistoryReadScheduler::open() const {
  return static_cast<size_t>(std::ranges::count_if(
      this->Partitions, [](const auto &Each) { return Each.second.Open; }));
}

size_t HistoryReadScheduler::openCount(bool Owned) const {
  return static_cast<size_t>(
      std::ranges::count_if(this->Partitions, [Owned](const auto &Each) {
        return Each.second.Open && Each.second.Owned == Owned;
      }));
}

std::pair<const PartitionId, HistoryReadScheduler::PartitionState> *
HistoryReadScheduler::firstWaiting(bool Owned) {
  std::pair<const PartitionId, PartitionState> *Best = nullptr;
  for (auto &Each : this->Partitions) {
    const PartitionState &State = Each.second;
    if (State.Waiting && State.Owned == Owned &&
        (Best == nullptr || State.QueuePosition < Best->second.QueuePosition))
      Best = &Each;
  }
  return Best;
}

std::optional<HistoryRead> HistoryReadScheduler::next(Millis Now) {
  if (Now < this->PausedUntil || this->open() >= this->Limits.MaxOpen)
    return std::nullopt;
  const size_t OpenUnowned = this->openCount(false);
  auto *Unowned = OpenUnowned < this->Limits.MaxOpenUnowned
                      ? this->firstWaiting(false)
                      : nullptr;
  const size_t Reserved = Unowned != nullptr ? this->Limits.MaxOpenUnowned : 0;
  const bool OwnedAllowed =
      this->openCount(true) + std::max(Reserved, OpenUnowned) <
      this->Limits.MaxOpen;
  auto *Next = OwnedAllowed ? this->firstWaiting(true) : nullptr;
  if (Next == nullptr)
    Next = Unowned;
  if (Next == nullptr)
    return std::nullopt;
  Next->second.Waiting = false;
  Next->second.Open = true;
  Next->second.Deadline = Now + this->Timeout;
  return HistoryRead{Next->first, this->Kilobytes, this->Timeout};
}

void HistoryReadScheduler::readSucceeded(const PartitionId &Partition,
                                         Millis Elapsed) {
  const auto Found = this->Partitions.find(Partition);
  if (Found != this->Partitions.end())
    Found->second.Open = false;
  this->Failures = 0;
  if (Elapsed * QuickAnswerDivisor < this->Timeout)
    this->Kilobytes = std::min(this->Kilobytes * 2, this->Limits.MaxKilobytes);
  // Decreases slowly, so that one quick answer does not make the next read time
  // out.
  this->Timeout = std::clamp(
      std::max(Elapsed * TimeoutFactor, Millis{this->Timeout.Count * 3 / 4}),
      this->Limits.MinTimeout, this->Limits.MaxTimeout);
}

void HistoryReadScheduler::readFailed(const PartitionId &Partition, Millis Now,
                                      double Jitter) {
  const auto Found = this->Partitions.find(Partition);
  bool TimedOut = false;
  if (Found != this->Partitions.end()) {
    TimedOut = Now >= Found->second.Deadline;
    Found->second.Open = false;
    // Goes to the end of the queue, as another partition may be readable.
    Found->second.QueuePosition = ++this->LastQueuePosition;
  }
  if (TimedOut) {
    this->Kilobytes = std::max(this->Kilobytes / 2, this->Limits.MinKilobytes);
    this->Timeout = std::min(this->Timeout * 2, this->Limits.MaxTimeout);
  }
  // Concurrent reads that fail together count as one failure.
  if (Now < this->PausedUntil)
    return;
  const int64_t Factor = int64_t{1} << std::min(this->Failures, MaxDoublings);
  const Millis Pause =
      std::min(this->Limits.FirstPause * Factor, this->Limits.MaxPause);
  ++this->Failures;
  constexpr double MinJitterFactor = 0.5;
  this->PausedUntil =
      Now + Millis{static_cast<int64_t>(static_cast<double>(Pause.Count) *
                                        (MinJitterFactor + Jitter))};
}

} // namespace camphornotch
