/// @file
/// Follows a keyed topic of the store: the newest record of each key, then each
/// new record.

#include "gateway/keyed_follower_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/store_codec_internal.h"

#include <utility>

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

} // namespace

KeyedFollowerCallbacks
loggingCallbacks(const std::string &What,
                 std::function<void(const KeyedRecord &)> OnRecord) {
  KeyedFollowerCallbacks Callbacks;
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
      Callbacks(std::move(Callbacks)) {}

void KeyedFollower::begin() { this->beginPass(); }

void KeyedFollower::beginPass() {
  this->EarlierKeys.insert(this->Pass.keys().begin(), this->Pass.keys().end());
  this->Pass = KeyedPass{};
  this->NextOffset = -1;
  this->NewestRead = false;
  this->readNewest(std::nullopt);
}

void KeyedFollower::readNewest(const std::optional<std::string> &AfterKey) {
  this->Store.readNewest(this->Topic, AfterKey,
                         [this](const StoreResult<KeyedPage> &Page) {
                           if (Page.has_value())
                             this->onNewestPage(Page.value());
                           else
                             this->onReadFailed(Page.error());
                         });
}

void KeyedFollower::onNewestPage(const KeyedPage &Page) {
  this->onReadAnswered();
  // The pages are no snapshot: records after the first page are read again.
  if (this->NextOffset < 0)
    this->NextOffset = Page.EndOffset;
  if (Page.Skipped > 0)
    logLine(LogLevel::Warn, "unreadable records of a keyed topic skipped",
            {{"topic", this->Topic}, {"records", concat(Page.Skipped)}});
  for (const KeyedRecord &Record : Page.Records)
    this->Callbacks.OnRecord(Record);
  const PassStep Step = this->Pass.onPage(Page);
  if (const auto *End = std::get_if<PassEnd>(&Step)) {
    this->onPassEnd(*End);
    return;
  }
  const auto &Next = std::get<NextPage>(Step);
  if (!Next.Repeated) {
    this->readNewest(Next.AfterKey);
    return;
  }
  logLine(LogLevel::Warn, "a page of a keyed topic did not advance",
          {{"topic", this->Topic}, {"next_after", Next.AfterKey}});
  this->readNewestLater(Next.AfterKey);
}

void KeyedFollower::onPassEnd(const PassEnd &End) {
  this->NewestRead = true;
  std::set<std::string> Present = this->Pass.keys();
  if (End.Incomplete) {
    logLine(LogLevel::Error, "newest records of a keyed topic read in part",
            {{"topic", this->Topic}, {"keys", concat(Present.size())}});
    Present.insert(this->EarlierKeys.begin(), this->EarlierKeys.end());
  } else {
    this->EarlierKeys.clear();
  }
  this->Callbacks.OnComplete(Present);
  this->readNextRecords();
}

void KeyedFollower::readNextRecords() {
  this->Store.read(PartitionId{this->Topic, 0}, this->NextOffset,
                   platform::ReadBounds{ReadWait},
                   [this](const StoreResult<ReadPage> &Page) {
                     if (Page.has_value())
                       this->onRecords(Page.value());
                     else
                       this->onReadFailed(Page.error());
                   });
}

void KeyedFollower::onRecords(const ReadPage &Page) {
  this->onReadAnswered();
  for (const std::string &Bytes : Page.Records) {
    const Result<KeyedRecord> Record =
        platform::decodeKeyedRecord(Bytes, this->NextOffset);
    ++this->NextOffset;
    if (!Record.has_value()) {
      logLine(LogLevel::Warn, "unreadable record of a keyed topic skipped",
              {{"topic", this->Topic}, {"cause", Record.error().Message}});
      continue;
    }
    this->EarlierKeys.insert(Record.value().Key);
    this->Callbacks.OnRecord(Record.value());
  }
  this->ExpiredAgain = false;
  this->readNextRecords();
}

void KeyedFollower::onReadFailed(const StoreFailure &Failure) {
  if (Failure.Expired && this->NewestRead) {
    logLine(
        LogLevel::Info,
        "history of a keyed topic expired; reading the newest records again",
        {{"topic", this->Topic}, {"next", concat(this->NextOffset)}});
    if (std::exchange(this->ExpiredAgain, true))
      this->Events.callAfter(RetryPause, [this] { this->beginPass(); });
    else
      this->beginPass();
    return;
  }
  if (this->Available) {
    this->Available = false;
    this->Callbacks.OnLost(Failure.Cause);
  }
  if (this->NewestRead) {
    this->Events.callAfter(RetryPause, [this] { this->readNextRecords(); });
    return;
  }
  const std::string *Cursor = this->Pass.onFailure();
  if (Cursor == nullptr)
    this->Events.callAfter(RetryPause, [this] { this->beginPass(); });
  else
    this->readNewestLater(*Cursor);
}

void KeyedFollower::readNewestLater(const std::string &AfterKey) {
  this->Events.callAfter(RetryPause,
                         [this, AfterKey] { this->readNewest(AfterKey); });
}

bool KeyedFollower::available(Millis Now) const {
  return this->Available && Now - this->AnsweredAt <= MaxAnswerAge;
}

void KeyedFollower::onReadAnswered() {
  this->AnsweredAt = steadyNow();
  if (this->Available)
    return;
  this->Available = true;
  this->Callbacks.OnAvailable();
}

} // namespace camphornotch
