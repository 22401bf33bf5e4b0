/// @file
/// Reads one partition of batch submissions and folds it.

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

/// Wait of one read for a record; results have to be seen everywhere within a
/// second of being read anywhere.
constexpr Millis PollWait{800};
/// Most kilobytes of a read from the end on: above the longest record with its
/// length. What is more is read through the gate.
constexpr int64_t PollKilobytes = 320;
/// Time for an answer beyond the wait: the slowest seen from a slow store.
constexpr Millis AnswerTime{500};
/// Age of the last answer up to which the state counts as fresh.
constexpr Millis FreshFor = PollWait + AnswerTime;
/// Pause before a failed read for callers is tried again.
constexpr Millis RefreshRetryPause{200};
/// Longest wait of a caller for the end of a partition. Callers come back at
/// other gateways, so they are not kept for long.
constexpr Millis RefreshMost{1'000};

/// @param Wait how long the store may wait for a record.
/// @return the bounds of a read from the end on.
platform::ReadBounds pollBounds(Millis Wait) {
  platform::ReadBounds Bounds;
  Bounds.Wait = Wait;
  Bounds.MaxKilobytes = PollKilobytes;
  return Bounds;
}

} // namespace

PartitionFollower::PartitionFollower(const PartitionFollowerParts &Parts,
                                     PartitionId Where, ChangeCall Changed)
    : Parts(Parts), Where(std::move(Where)), Changed(std::move(Changed)) {}

bool PartitionFollower::wanted() const {
  return this->Owned || steadyNow() < this->KeepUntil;
}

void PartitionFollower::keep(Millis Until) {
  this->KeepUntil = std::max(this->KeepUntil, Until);
  if (this->Following)
    return;
  this->Following = true;
  this->AtEnd = false;
  this->CaughtUp = false;
  this->FollowsSince = steadyNow();
  this->BytesRead = 0;
  this->FailedReads = 0;
  this->readOn();
}

void PartitionFollower::own(bool Owned) {
  this->Owned = Owned;
  this->Parts.Histories.setOwned(this->Where, Owned);
  if (Owned)
    this->keep(steadyNow());
}

bool PartitionFollower::fresh() const {
  return this->Following && this->CaughtUp &&
         bootNow() - this->KnownAt < FreshFor;
}

void PartitionFollower::readOn() {
  if (!this->wanted()) {
    this->Following = false;
    this->Parts.Histories.done(this->Where);
    this->tell(this->LastWaiter, false);
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
  this->Parts.Counts.begun();
  this->Parts.Store.read(
      this->Where, this->Next, pollBounds(PollWait),
      [this, SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
        // Callers that wait have a read of their own.
        constexpr uint64_t Nobody = 0;
        const Millis Now = bootNow();
        const bool Reached = this->ended(Page, Now - SentAt, Nobody);
        // The store answers when there is a record, or after the wait; later,
        // the answer has lain here while this process stood still.
        if (Reached && Now - SentAt < PollWait + AnswerTime)
          this->KnownAt = Now;
        this->readOn();
      });
}

void PartitionFollower::readHistory() {
  const auto Last = std::make_shared<uint64_t>(0);
  this->Parts.Histories.read(
      this->Where, this->Owned,
      [this, Last] {
        this->Parts.Counts.begun();
        *Last = this->LastWaiter;
        return this->Next;
      },
      [this, Last](const StoreResult<ReadPage> &Page, Millis Took) {
        this->ended(Page, Took, *Last);
        if (this->AtEnd)
          this->Parts.Histories.done(this->Where);
        this->readOn();
      });
}

void PartitionFollower::refresh(RefreshCall Done) {
  const uint64_t Number = ++this->LastWaiter;
  const TimerId Limit =
      this->Parts.Events.callAfter(RefreshMost, [this, Number] {
        const auto Found =
            std::ranges::find(this->Waiters, Number, &Waiter::Number);
        if (Found == this->Waiters.end())
          return;
        const RefreshCall Late = std::move(Found->Done);
        this->Waiters.erase(Found);
        Late(false);
      });
  this->Waiters.push_back(Waiter{Number, std::move(Done), Limit});
  if (this->AtEnd)
    this->readNow();
}

void PartitionFollower::readNow() {
  if (this->ReadingNow || this->RetryPlanned)
    return;
  this->ReadingNow = true;
  this->Parts.Counts.begun();
  this->Parts.Store.read(
      this->Where, this->Next, pollBounds(Millis{0}),
      [this, Last = this->LastWaiter,
       SentAt = bootNow()](const StoreResult<ReadPage> &Page) {
        this->ReadingNow = false;
        const bool WasAtEnd = this->AtEnd;
        this->ended(Page, bootNow() - SentAt, Last);
        // A failure here does not end the read that waits at the store.
        if (!Page.has_value())
          this->AtEnd = WasAtEnd;
        this->readNowAgain(Page.has_value() ? Millis{0} : RefreshRetryPause);
      });
}

void PartitionFollower::readNowAgain(Millis Pause) {
  if (this->Waiters.empty() || this->RetryPlanned)
    return;
  this->RetryPlanned = true;
  this->Parts.Events.callAfter(Pause, [this] {
    this->RetryPlanned = false;
    if (this->AtEnd && !this->Waiters.empty())
      this->readNow();
  });
}

bool PartitionFollower::ended(const StoreResult<ReadPage> &Page, Millis Took,
                              uint64_t Last) {
  this->Parts.Counts.ended(Page, Took);
  if (!Page.has_value()) {
    this->failed(Page.error(), Took);
    return false;
  }
  const bool Reached =
      Page.value().From + std::ssize(Page.value().Records) >= Page.value().End;
  // An answer is as old as its read.
  if (Reached)
    this->KnownAt = std::max(this->KnownAt, bootNow() - Took);
  this->take(Page.value());
  if (this->AtEnd)
    this->tell(Last, true);
  return Reached;
}

void PartitionFollower::tell(uint64_t Last, bool Reached) {
  std::vector<Waiter> Told;
  while (!this->Waiters.empty() && this->Waiters.front().Number <= Last) {
    Told.push_back(std::move(this->Waiters.front()));
    this->Waiters.erase(this->Waiters.begin());
  }
  for (const Waiter &Each : Told) {
    this->Parts.Events.cancel(Each.Limit);
    Each.Done(Reached);
  }
}

void PartitionFollower::take(const ReadPage &Page) {
  const Millis Now = steadyNow();
  this->BytesRead += recordBytes(Page);
  std::vector<PartitionChange> Changes;
  int64_t Offset = Page.From;
  for (const std::string &Bytes : Page.Records) {
    const int64_t At = Offset++;
    // Reads overlap when a refresh ran beside the wait.
    if (At != this->Next)
      continue;
    ++this->Next;
    const std::optional<std::string> Whole = this->Joiner.add(Bytes);
    if (!Whole.has_value())
      continue;
    for (PartitionChange &Change : this->Fold.apply(At, *Whole, Now)) {
      if (const auto *Bad = std::get_if<RecordUnreadable>(&Change))
        logLine(LogLevel::Error, "record of a partition left out",
                {{"partition", concat(this->Where.Part)},
                 {"offset", concat(Bad->Offset)},
                 {"cause", Bad->Cause.Message}});
      Changes.push_back(std::move(Change));
    }
  }
  this->AtEnd = this->Next >= Page.End;
  if (this->AtEnd && !this->CaughtUp)
    this->noteCaughtUp();
  this->CaughtUp = this->AtEnd;
  this->Changed(Changes);
}

void PartitionFollower::failed(const StoreFailure &Failure, Millis Took) {
  this->AtEnd = false;
  if (Failure.Expired && Failure.FirstKept > this->Next) {
    this->skipExpired(Failure);
    return;
  }
  const auto Count = static_cast<uint64_t>(++this->FailedReads);
  // Fewer and fewer lines: a partition may stay unread for minutes.
  if (!std::has_single_bit(Count))
    return;
  logLine(LogLevel::Warn, "partition not read",
          {{"partition", concat(this->Where.Part)},
           {"owned", this->Owned ? "yes" : "no"},
           {"next", concat(this->Next)},
           {"failed_reads", concat(Count)},
           {"took_ms", concat(Took.Count)},
           {"cause", Failure.Cause.Message}});
}

void PartitionFollower::skipExpired(const StoreFailure &Failure) {
  logLine(LogLevel::Warn,
          "records of a partition expired before they were read",
          {{"partition", concat(this->Where.Part)},
           {"next", concat(this->Next)},
           {"first_kept", concat(Failure.FirstKept)}});
  this->Next = Failure.FirstKept;
  this->Fold.skipTo(Failure.FirstKept);
  this->Joiner = RecordJoiner{};
}

void PartitionFollower::noteCaughtUp() {
  logLine(LogLevel::Info, "partition read to its end",
          {{"partition", concat(this->Where.Part)},
           {"owned", this->Owned ? "yes" : "no"},
           {"next", concat(this->Next)},
           {"bytes", concat(this->BytesRead)},
           {"failed_reads", concat(this->FailedReads)},
           {"took_ms", concat((steadyNow() - this->FollowsSince).Count)}});
}

} // namespace camphornotch
