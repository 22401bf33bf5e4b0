/// @file
/// Follows a keyed topic of the store: its newest records, then each new one.

#include "gateway/keyed_follower_base.h"

#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/store_codec_internal.h"

#include <utility>

namespace camphornotch {

namespace {

/// Wait of one read for a record. Shorter than the time in which a change must
/// be in force, since a silent connection shows only at the end of a read.
constexpr Millis ReadWait{700};
/// Pause after a failed read.
constexpr Millis RetryPause{150};

} // namespace

KeyedFollowerEvents
loggedFollowing(const std::string &What,
                std::function<void(const KeyedRecord &)> Record) {
  KeyedFollowerEvents Tell;
  Tell.Record = std::move(Record);
  Tell.Complete = [](const std::set<std::string> &) {};
  Tell.Lost = [What](const Error &Cause) {
    logLine(LogLevel::Warn, concat(What, " lost"), {{"cause", Cause.Message}});
  };
  Tell.Back = [What] { logLine(LogLevel::Info, concat(What, " answers")); };
  return Tell;
}

KeyedFollower::KeyedFollower(Loop &Events, platform::StoreClient &Store,
                             std::string Topic, KeyedFollowerEvents Tell)
    : Events(Events), Store(Store), Topic(std::move(Topic)),
      Tell(std::move(Tell)) {}

void KeyedFollower::begin() { this->readNewest(""); }

void KeyedFollower::readNewest(const std::string &After) {
  if (After.empty()) {
    this->Keys.clear();
    this->Next = -1;
    this->Listed = false;
  }
  this->Store.readNewest(this->Topic, After,
                         [this](const StoreResult<KeyedPage> &Page) {
                           if (Page.has_value())
                             this->takeNewest(Page.value());
                           else
                             this->failed(Page.error());
                         });
}

void KeyedFollower::takeNewest(const KeyedPage &Page) {
  this->answered();
  // Pages are no snapshot: what changed since the first is read again.
  if (this->Next < 0)
    this->Next = Page.End;
  for (const KeyedRecord &Record : Page.Records) {
    this->Keys.insert(Record.Key);
    this->Tell.Record(Record);
  }
  if (Page.More && !Page.Records.empty()) {
    this->readNewest(Page.Records.back().Key);
    return;
  }
  this->Listed = true;
  this->Tell.Complete(this->Keys);
  this->readOn();
}

void KeyedFollower::readOn() {
  this->Store.read(PartitionId{this->Topic, 0}, this->Next,
                   platform::ReadBounds{ReadWait},
                   [this](const StoreResult<ReadPage> &Page) {
                     if (Page.has_value())
                       this->takeRecords(Page.value());
                     else
                       this->failed(Page.error());
                   });
}

void KeyedFollower::takeRecords(const ReadPage &Page) {
  this->answered();
  for (const std::string &Bytes : Page.Records) {
    const Result<KeyedRecord> Record =
        platform::decodeKeyedRecord(Bytes, this->Next);
    ++this->Next;
    if (Record.has_value())
      this->Tell.Record(Record.value());
    else
      logLine(LogLevel::Warn, "record of a keyed topic left out",
              {{"topic", this->Topic}, {"cause", Record.error().Message}});
  }
  this->readOn();
}

void KeyedFollower::failed(const StoreFailure &Failure) {
  if (Failure.Expired) {
    logLine(LogLevel::Info, "history of a keyed topic expired; read anew",
            {{"topic", this->Topic}, {"next", concat(this->Next)}});
    this->readNewest("");
    return;
  }
  if (this->Answers) {
    this->Answers = false;
    this->Tell.Lost(Failure.Cause);
  }
  const bool Resume = this->Listed;
  this->Events.callAfter(RetryPause, [this, Resume] {
    if (Resume)
      this->readOn();
    else
      this->readNewest("");
  });
}

void KeyedFollower::answered() {
  if (this->Answers)
    return;
  this->Answers = true;
  this->Tell.Back();
}

} // namespace camphornotch
