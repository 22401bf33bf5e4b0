/// @file
/// Follows a keyed topic of the store: the newest record of each key, then each
/// new record.

#include "gateway/keyed_follower_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/store_codec_internal.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

/// Longest wait of a long poll. Shorter than the time within which a change
/// must be in force, since a dead connection is noticed only at the end of a
/// read.
constexpr Millis ReadWait{700};
constexpr Millis RetryPause{150};
/// Longest age of the last answer while reads go on: twice ReadWait. A process
/// that was suspended, or whose connection is dead, has an older one before its
/// read fails.
constexpr Millis MaxAnswerAge{1'400};
/// Pauses before a pass that ended incomplete is repeated. All processes of a
/// deployment may have to repeat it.
constexpr Millis MinPassPause{2'000};
constexpr Millis MaxPassPause{120'000};
/// Records before the end of the history that stand in for pages which could
/// not be read.
constexpr int64_t MaxRecentRecords = 10'000;

} // namespace

KeyedFollowerCallbacks
loggingCallbacks(const std::string &What,
                 std::function<void(const KeyedRecord &)> OnRecord,
                 std::function<void()> OnIncomplete) {
  KeyedFollowerCallbacks Callbacks;
  Callbacks.OnIncomplete = std::move(OnIncomplete);
  Callbacks.OnRecord = std::move(OnRecord);
  Callbacks.OnComplete = [](const std::set<std::string> &) {};
  Callbacks.OnLost = [What](const Error &Cause) {
    logLine(LogLevel::Warn, concat(What, " unavailable"),
            {{"cause", Cause.Message}});
  };
  Callbacks.OnAvailable = [What] {
    logLine(LogLevel::Info, concat(What, " available"));
  };
  return Callbacks;
}

KeyedFollower::KeyedFollower(Loop &Events, platform::StoreClient &Store,
                             std::string Topic,
                             KeyedFollowerCallbacks Callbacks)
    : Events(Events), Store(Store), Topic(std::move(Topic)),
      Callbacks(std::move(Callbacks)), NextPassPause(MinPassPause) {}

void KeyedFollower::begin() { this->beginPass(); }

void KeyedFollower::beginPass() {
  if (this->NextPass.has_value())
    this->Events.cancel(*std::exchange(this->NextPass, std::nullopt));
  this->Pass = KeyedPass{};
  this->PassRuns = true;
  this->NewestRead = false;
  this->readNewest(std::nullopt);
}

void KeyedFollower::readNewest(const std::optional<std::string> &AfterKey) {
  this->Store.readNewest(this->Topic, AfterKey,
                         [this](const StoreResult<KeyedPage> &Page) {
                           if (Page.has_value())
                             this->onNewestPage(Page.value());
                           else
                             this->onNewestFailed(Page.error());
                         });
}

void KeyedFollower::onNewestPage(const KeyedPage &Page) {
  if (!this->Following)
    this->onStoreAnswered();
  if (Page.Skipped > 0)
    logLine(LogLevel::Warn, "unreadable records of a keyed topic skipped",
            {{"topic", this->Topic}, {"records", concat(Page.Skipped)}});
  for (const KeyedRecord &Record : Page.Records)
    this->onRecord(Record);
  this->continuePass(this->Pass.onPage(Page), "no new key");
}

void KeyedFollower::onNewestFailed(const StoreFailure &Failure) {
  // Beside new records that are read, a page that fails is no sign of a store
  // that does not answer.
  if (!this->Following)
    this->onStoreLost(Failure.Cause);
  const PassStep Step = this->Pass.onFailure();
  const auto *Next = std::get_if<NextPage>(&Step);
  // Each further cursor of the page may fail as well, after a timeout.
  if (Next != nullptr && Next->SteppedBack)
    this->followBesidePass();
  this->continuePass(Step, Failure.Cause.Message);
}

void KeyedFollower::continuePass(const PassStep &Step, std::string_view Cause) {
  if (const auto *End = std::get_if<PassEnd>(&Step)) {
    this->onPassEnd(*End);
    return;
  }
  const auto &Next = std::get<NextPage>(Step);
  if (Next.SteppedBack)
    logLine(LogLevel::Warn, "a page of a keyed topic did not advance",
            {{"topic", this->Topic},
             {"next_after", Next.AfterKey.value_or("")},
             {"cause", Cause}});
  if (Next.Later)
    this->Events.callAfter(RetryPause, [this, AfterKey = Next.AfterKey] {
      this->readNewest(AfterKey);
    });
  else
    this->readNewest(Next.AfterKey);
}

void KeyedFollower::onPassEnd(const PassEnd &End) {
  this->PassRuns = false;
  // Records that expired before they were followed may be newer than the pages.
  const bool HasGap =
      this->Following && this->FollowedFrom > this->Pass.firstEnd();
  this->NewestRead = !End.Incomplete && !HasGap;
  std::erase_if(this->Newest, [this](const auto &Each) {
    const auto &[Key, Record] = Each;
    const bool Absent = Record.Offset < this->Pass.firstEnd() &&
                        !this->Pass.keys().contains(Key);
    return Record.Removed || (this->NewestRead && Absent);
  });
  if (this->Pass.firstEnd() >= 0)
    this->reportKeys();
  if (this->NewestRead) {
    this->NextPassPause = MinPassPause;
    // The pages are no snapshot: records after the first page are read again.
    this->follow(this->Pass.firstEnd());
    return;
  }
  logLine(LogLevel::Error, "newest records of a keyed topic read in part",
          {{"topic", this->Topic},
           {"keys", concat(this->Pass.keys().size())},
           {"again_in_ms", concat(this->NextPassPause.Count)}});
  this->repeatPassLater();
  this->followBesidePass();
  if (this->Callbacks.OnIncomplete)
    this->Callbacks.OnIncomplete();
}

void KeyedFollower::repeatPassLater() {
  this->NextPass = this->Events.callAfter(this->NextPassPause,
                                          [this] { this->beginPass(); });
  this->NextPassPause = std::min(this->NextPassPause * 2, MaxPassPause);
}

void KeyedFollower::followBesidePass() {
  this->follow(
      std::max(this->NextOffset, this->Pass.firstEnd() - MaxRecentRecords));
}

void KeyedFollower::follow(int64_t Offset) {
  if (this->Following)
    return;
  this->Following = true;
  this->CaughtUp = this->NewestRead;
  this->skipTo(Offset);
  this->readNextRecords();
}

void KeyedFollower::skipTo(int64_t Offset) {
  this->NextOffset = Offset;
  this->FollowedFrom = Offset;
}

void KeyedFollower::readNextRecords() {
  const Millis Wait = this->CaughtUp ? ReadWait : Millis{0};
  this->Store.read(PartitionId{this->Topic, 0}, this->NextOffset,
                   platform::ReadBounds{Wait},
                   [this](const StoreResult<ReadPage> &Page) {
                     if (Page.has_value())
                       this->onRecords(Page.value());
                     else
                       this->onRecordsFailed(Page.error());
                   });
}

void KeyedFollower::readNextRecordsLater() {
  this->Events.callAfter(RetryPause, [this] { this->readNextRecords(); });
}

std::vector<KeyedRecord> KeyedFollower::decodeRecords(const ReadPage &Page) {
  std::vector<KeyedRecord> Records;
  for (const std::string &Bytes : Page.Records) {
    Result<KeyedRecord> Record =
        platform::decodeKeyedRecord(Bytes, this->NextOffset);
    ++this->NextOffset;
    if (Record.has_value())
      Records.push_back(std::move(Record.value()));
    else
      logLine(LogLevel::Warn, "unreadable record of a keyed topic skipped",
              {{"topic", this->Topic}, {"cause", Record.error().Message}});
  }
  return Records;
}

void KeyedFollower::onRecords(const ReadPage &Page) {
  this->onStoreAnswered();
  this->ExpiredAgain = false;
  const int64_t FirstNeeded = this->NewestRead
                                  ? this->Pass.firstEnd()
                                  : Page.EndOffset - MaxRecentRecords;
  if (!this->CaughtUp && this->NextOffset < FirstNeeded) {
    this->skipTo(FirstNeeded);
    this->readNextRecords();
    return;
  }
  const std::vector<KeyedRecord> Records = this->decodeRecords(Page);
  std::map<std::string_view, int64_t> LastOffsets;
  for (const KeyedRecord &Record : Records)
    LastOffsets[Record.Key] = Record.Offset;
  // Until the process has caught up, a record that another one replaced would
  // take it back to an older state for a moment.
  for (const KeyedRecord &Record : Records)
    if (this->CaughtUp || LastOffsets[Record.Key] == Record.Offset)
      this->onRecord(Record);
  const bool AtEnd = this->NextOffset >= Page.EndOffset;
  if (!this->CaughtUp && AtEnd) {
    this->CaughtUp = true;
    if (!this->NewestRead)
      this->reportKeys();
  }
  if (Page.Records.empty() && !AtEnd)
    this->readNextRecordsLater();
  else
    this->readNextRecords();
}

void KeyedFollower::onRecordsFailed(const StoreFailure &Failure) {
  if (Failure.Expired) {
    this->onExpired(Failure);
    return;
  }
  this->onStoreLost(Failure.Cause);
  this->readNextRecordsLater();
}

void KeyedFollower::onExpired(const StoreFailure &Failure) {
  const bool Again = std::exchange(this->ExpiredAgain, true);
  if (this->NewestRead) {
    logLine(
        LogLevel::Info,
        "history of a keyed topic expired; reading the newest records again",
        {{"topic", this->Topic}, {"next", concat(this->NextOffset)}});
    this->Following = false;
    if (Again)
      this->Events.callAfter(RetryPause, [this] { this->beginPass(); });
    else
      this->beginPass();
    return;
  }
  const int64_t Oldest =
      Failure.OldestOffset >= 0 ? Failure.OldestOffset : this->Pass.firstEnd();
  this->skipTo(std::max(this->NextOffset, Oldest));
  if (Again)
    this->readNextRecordsLater();
  else
    this->readNextRecords();
}

void KeyedFollower::onRecord(const KeyedRecord &Record) {
  const bool Removed = Record.Value.empty();
  const auto [Known, Added] = this->Newest.try_emplace(
      Record.Key, NewestRecord{Record.Offset, Removed});
  if (!Added && Record.Offset < Known->second.Offset)
    return;
  Known->second = NewestRecord{Record.Offset, Removed};
  if (Removed && !this->PassRuns)
    this->Newest.erase(Known);
  this->Callbacks.OnRecord(Record);
}

void KeyedFollower::reportKeys() {
  std::set<std::string> Present = this->Pass.keys();
  for (const auto &[Key, Record] : this->Newest)
    if (!Record.Removed)
      Present.insert(Key);
  this->Callbacks.OnComplete(Present);
}

bool KeyedFollower::available(Millis Now) const {
  return this->Available && Now - this->AnsweredAt <= MaxAnswerAge;
}

void KeyedFollower::onStoreAnswered() {
  this->AnsweredAt = steadyNow();
  if (this->Available)
    return;
  this->Available = true;
  this->Callbacks.OnAvailable();
  // What kept the last pass from its end may be over.
  if (this->NextPass.has_value()) {
    this->NextPassPause = MinPassPause;
    this->beginPass();
  }
}

void KeyedFollower::onStoreLost(const Error &Cause) {
  if (!this->Available)
    return;
  this->Available = false;
  this->Callbacks.OnLost(Cause);
}

} // namespace camphornotch
