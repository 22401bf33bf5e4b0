/// @file
/// Reads one partition of batch submissions and keeps its state.

#include "gateway/partition_follower_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <utility>

namespace camphornotch {

namespace {

/// Longest wait of a long poll at the store. A result that was read at one
/// gateway must be visible at all of them within a second.
constexpr Millis PollWait{800};
/// Size limit of a read at the end: more than the longest record with its
/// length field. If there is more, it is read through the queue for histories.
constexpr int64_t PollKilobytes = 320;
/// Time for an answer beyond the wait: the slowest that a slow store gave.
constexpr Millis AnswerTime{500};
/// Largest age of the last answer at which the state counts as fresh.
constexpr Millis MaxFreshAge = PollWait + AnswerTime;
/// Pause before the retry of a failed read for callers of refresh().
constexpr Millis RefreshRetryPause{200};
/// Longest wait of a caller of refresh(). It is short because a caller can
/// retry at another gateway.
constexpr Millis MaxRefreshWait{1'000};

/// @return the bounds of a read at the end that waits so long for a record.
platform::ReadBounds pollBounds(Millis Wait) {
  platform::ReadBounds Bounds;
  Bounds.Wait = Wait;
  Bounds.MaxKilobytes = PollKilobytes;
  return Bounds;
}

} // namespace

PartitionFollower::PartitionFollower(
    const PartitionFollowerDependencies &Dependencies, PartitionId Partition,
    ChangeHandler OnChanges)
    : Dependencies(Dependencies), Partition(std::move(Partition)),
      OnChanges(std::move(OnChanges)) {}

bool PartitionFollower::shouldFollow() const {
  return this->Owned || steadyNow() < this->FollowUntil;
}

void PartitionFollower::followUntil(Millis Until) {
  this->FollowUntil = std::max(this->FollowUntil, Until);
  if (this->Following)
    return;
  this->Following = true;
  this->AtEnd = false;
  this->CaughtUp = false;
  this->FollowStartedAt = steadyNow();
  this->BytesRead = 0;
  this->FailedReads = 0;
  this->continueReading();
}

void PartitionFollower::setOwned(bool Owned) {
  this->Owned = Owned;
  this->Dependencies.HistoryReads.setOwned(this->Partition, Owned);
  if (Owned)
    this->followUntil(steadyNow());
}

bool PartitionFollower::fresh() const {
  return this->Following && this->CaughtUp &&
         bootNow() - this->UpToDateAt < MaxFreshAge;
}

void PartitionFollower::continueReading() {
  if (!this->shouldFollow()) {
    this->Following = false;
    this->Dependencies.HistoryReads.remove(this->Partition);
    this->answerWaiters(this->LastWaiterNumber, false);
    return;
  }
  if (!this->AtEnd) {
    this->readHistory();
    return;
  }
  this->poll();
  if (!this->Waiters.empty())
    this->readNow();
}

void PartitionFollower::poll() {
  this->Dependencies.ReadMetrics.readStarted();
  this->Dependencies.Store.read(
      this->Partition, this->NextOffset, pollBounds(PollWait),
      [this, SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
        // Callers of refresh() are answered by reads of their own.
        constexpr uint64_t NoWaiter = 0;
        const Millis Now = bootNow();
        const bool Reached = this->onRead(Page, Now - SentAt, NoWaiter);
        // The store answers when there is a record or after the wait. An answer
        // handled later waited here while this process was suspended.
        if (Reached && Now - SentAt < PollWait + AnswerTime)
          this->UpToDateAt = Now;
        this->continueReading();
      });
}

void PartitionFollower::readHistory() {
  const auto Last = std::make_shared<uint64_t>(0);
  this->Dependencies.HistoryReads.read(
      this->Partition, this->Owned,
      [this, Last] {
        this->Dependencies.ReadMetrics.readStarted();
        *Last = this->LastWaiterNumber;
        return this->NextOffset;
      },
      [this, Last](const StoreResult<ReadPage> &Page, Millis Elapsed) {
        this->onRead(Page, Elapsed, *Last);
        if (this->AtEnd)
          this->Dependencies.HistoryReads.remove(this->Partition);
        this->continueReading();
      });
}

void PartitionFollower::refresh(RefreshHandler Done) {
  const uint64_t Number = ++this->LastWaiterNumber;
  const TimerId Timeout =
      this->Dependencies.Events.callAfter(MaxRefreshWait, [this, Number] {
        const auto Found =
            std::ranges::find(this->Waiters, Number, &Waiter::Number);
        if (Found == this->Waiters.end())
          return;
        const RefreshHandler Handler = std::move(Found->Done);
        this->Waiters.erase(Found);
        Handler(false);
      });
  this->Waiters.push_back(Waiter{Number, std::move(Done), Timeout});
  if (this->AtEnd)
    this->readNow();
}

void PartitionFollower::readNow() {
  if (this->ReadingNow || this->ReadNowScheduled)
    return;
  this->ReadingNow = true;
  this->Dependencies.ReadMetrics.readStarted();
  this->Dependencies.Store.read(
      this->Partition, this->NextOffset, pollBounds(Millis{0}),
      [this, Last = this->LastWaiterNumber,
       SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
        this->ReadingNow = false;
        const bool WasAtEnd = this->AtEnd;
        this->onRead(Page, bootNow() - SentAt, Last);
        // The long poll goes on after a failure of this read.
        if (!Page.has_value())
          this->AtEnd = WasAtEnd;
        this->scheduleReadNow(Page.has_value() ? Millis{0} : RefreshRetryPause);
      });
}

void PartitionFollower::scheduleReadNow(Millis Pause) {
  if (this->Waiters.empty() || this->ReadNowScheduled)
    return;
  this->ReadNowScheduled = true;
  this->Dependencies.Events.callAfter(Pause, [this] {
    this->ReadNowScheduled = false;
    if (this->AtEnd && !this->Waiters.empty())
      this->readNow();
  });
}

bool PartitionFollower::onRead(const StoreResult<ReadPage> &Page,
                               Millis Elapsed, uint64_t Last) {
  this->Dependencies.ReadMetrics.readEnded(Page, Elapsed);
  if (!Page.has_value()) {
    this->onReadFailed(Page.error(), Elapsed);
    return false;
  }
  const bool Reached =
      Page.value().FirstOffset + std::ssize(Page.value().Records) >=
      Page.value().EndOffset;
  // The answer holds the state of the time when the read was sent.
  if (Reached)
    this->UpToDateAt = std::max(this->UpToDateAt, bootNow() - Elapsed);
  this->applyPage(Page.value());
  if (this->AtEnd)
    this->answerWaiters(Last, true);
  return Reached;
}

void PartitionFollower::answerWaiters(uint64_t Last, bool Reached) {
  std::vector<Waiter> Answered;
  while (!this->Waiters.empty() && this->Waiters.front().Number <= Last) {
    Answered.push_back(std::move(this->Waiters.front()));
    this->Waiters.erase(this->Waiters.begin());
  }
  for (const Waiter &Each : Answered) {
    this->Dependencies.Events.cancel(Each.Timeout);
    Each.Done(Reached);
  }
}

void PartitionFollower::applyPage(const ReadPage &Page) {
  const Millis Now = steadyNow();
  this->BytesRead += recordBytes(Page);
  std::vector<PartitionChange> Changes;
  int64_t Offset = Page.FirstOffset;
  for (const std::string &Bytes : Page.Records) {
    const int64_t RecordOffset = Offset++;
    // Reads overlap when a refresh ran during the long poll.
    if (RecordOffset != this->NextOffset)
      continue;
    ++this->NextOffset;
    const std::optional<std::string> Joined = this->Joiner.add(Bytes);
    if (!Joined.has_value())
      continue;
    for (PartitionChange &Change :
         this->Fold.apply(RecordOffset, *Joined, Now)) {
      if (const auto *Unreadable = std::get_if<RecordUnreadable>(&Change))
        logLine(LogLevel::Error, "unreadable record of a partition skipped",
                {{"partition", concat(this->Partition.Number)},
                 {"offset", concat(Unreadable->Offset)},
                 {"cause", Unreadable->Cause.Message}});
      Changes.push_back(std::move(Change));
    }
  }
  this->AtEnd = this->NextOffset >= Page.EndOffset;
  if (this->AtEnd && !this->CaughtUp)
    this->logCaughtUp();
  this->CaughtUp = this->AtEnd;
  this->OnChanges(Changes);
}

void PartitionFollower::onReadFailed(const StoreFailure &Failure,
                                     Millis Elapsed) {
  this->AtEnd = false;
  if (Failure.Expired && Failure.OldestOffset > this->NextOffset) {
    this->skipExpired(Failure);
    return;
  }
  const auto Count = static_cast<uint64_t>(++this->FailedReads);
  // Logs at powers of two only: a partition may stay unread for minutes.
  if (!std::has_single_bit(Count))
    return;
  logLine(LogLevel::Warn, "partition not read",
          {{"partition", concat(this->Partition.Number)},
           {"owned", this->Owned ? "yes" : "no"},
           {"next", concat(this->NextOffset)},
           {"failed_reads", concat(Count)},
           {"took_ms", concat(Elapsed.Count)},
           {"cause", Failure.Cause.Message}});
}

void PartitionFollower::skipExpired(const StoreFailure &Failure) {
  logLine(LogLevel::Warn,
          "records of a partition expired before they were read",
          {{"partition", concat(this->Partition.Number)},
           {"next", concat(this->NextOffset)},
           {"first_kept", concat(Failure.OldestOffset)}});
  this->NextOffset = Failure.OldestOffset;
  this->Fold.skipTo(Failure.OldestOffset);
  this->Joiner = RecordJoiner{};
}

void PartitionFollower::logCaughtUp() {
  logLine(LogLevel::Info, "partition read to its end",
          {{"partition", concat(this->Partition.Number)},
           {"owned", this->Owned ? "yes" : "no"},
           {"next", concat(this->NextOffset)},
           {"bytes", concat(this->BytesRead)},
           {"failed_reads", concat(this->FailedReads)},
           {"took_ms", concat((steadyNow() - this->FollowStartedAt).Count)}});
}

} // namespace camphornotch
