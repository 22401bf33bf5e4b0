/// @file
/// Reads one partition of batch submissions and folds it.

#include "gateway/partition_follower_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"

#include <bit>
#include <utility>

namespace camphornotch {

namespace {

/// Wait of one read for a record; results have to be seen everywhere within a
/// second of being read anywhere.
constexpr Millis ReadWait{800};
/// Pause after a failed read.
constexpr Millis RetryPause{120};
/// Age of the last answer up to which the state counts as fresh: a read's wait
/// and the slowest answer seen from a slow store.
constexpr Millis FreshFor{1'300};

} // namespace

PartitionFollower::PartitionFollower(Loop &Events, platform::StoreClient &Store,
                                     PartitionReadMetrics &Counts,
                                     PartitionId Where, ChangeCall Changed)
    : Events(Events), Store(Store), Counts(Counts), Where(std::move(Where)),
      Changed(std::move(Changed)) {}

bool PartitionFollower::wanted() const {
  return this->Owned || steadyNow() < this->KeepUntil;
}

void PartitionFollower::keep(Millis Until) {
  this->KeepUntil = std::max(this->KeepUntil, Until);
  if (this->Following)
    return;
  this->Following = true;
  this->CaughtUp = false;
  this->FollowsSince = steadyNow();
  this->BytesRead = 0;
  this->FailedReads = 0;
  this->readOn();
}

void PartitionFollower::own(bool Owned) {
  this->Owned = Owned;
  if (Owned)
    this->keep(steadyNow());
}

bool PartitionFollower::fresh(Millis Now) const {
  return this->Following && this->CaughtUp && Now - this->AnsweredAt < FreshFor;
}

void PartitionFollower::read(Millis Wait, const StoreReply<ReadPage> &Reply) {
  this->Counts.begun();
  this->Store.read(
      this->Where, this->Next, Wait,
      [this, Reply, SentAt = steadyNow()](const StoreResult<ReadPage> &Page) {
        const Millis Took = steadyNow() - SentAt;
        this->Counts.ended(Page, Took);
        if (!Page.has_value())
          this->noteFailed(Page.error(), Took);
        Reply(Page);
      });
}

void PartitionFollower::noteFailed(const StoreFailure &Failure, Millis Took) {
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

void PartitionFollower::noteCaughtUp() {
  logLine(LogLevel::Info, "partition read to its end",
          {{"partition", concat(this->Where.Part)},
           {"owned", this->Owned ? "yes" : "no"},
           {"next", concat(this->Next)},
           {"bytes", concat(this->BytesRead)},
           {"failed_reads", concat(this->FailedReads)},
           {"took_ms", concat((steadyNow() - this->FollowsSince).Count)}});
}

void PartitionFollower::readOn() {
  if (!this->wanted()) {
    this->Following = false;
    return;
  }
  const Millis Wait = this->CaughtUp ? ReadWait : Millis{0};
  this->read(Wait, [this](const StoreResult<ReadPage> &Page) {
    if (!Page.has_value()) {
      this->failed(Page.error());
      return;
    }
    this->take(Page.value());
    this->readOn();
  });
}

void PartitionFollower::take(const ReadPage &Page) {
  const Millis Now = steadyNow();
  this->AnsweredAt = Now;
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
  const bool WasBehind = !this->CaughtUp;
  this->CaughtUp = this->Next >= Page.End;
  if (WasBehind && this->CaughtUp)
    this->noteCaughtUp();
  this->Changed(Changes);
}

void PartitionFollower::failed(const StoreFailure &Failure) {
  if (Failure.Expired && Failure.FirstKept > this->Next) {
    logLine(LogLevel::Warn,
            "records of a partition expired before they were "
            "read",
            {{"partition", concat(this->Where.Part)},
             {"next", concat(this->Next)},
             {"first_kept", concat(Failure.FirstKept)}});
    this->Next = Failure.FirstKept;
    this->Fold.skipTo(Failure.FirstKept);
    this->Joiner = RecordJoiner{};
  }
  this->Events.callAfter(RetryPause, [this] { this->readOn(); });
}

void PartitionFollower::refresh(const std::function<void(bool)> &Done) {
  this->read(Millis{0}, [this, Done](const StoreResult<ReadPage> &Page) {
    if (!Page.has_value()) {
      Done(false);
      return;
    }
    this->take(Page.value());
    if (this->Next >= Page.value().End)
      Done(true);
    else
      this->refresh(Done);
  });
}

} // namespace camphornotch
