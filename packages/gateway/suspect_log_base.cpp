/// @file
/// Keeps what is known of requests that break endpoints in the store.

#include "gateway/suspect_log_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

constexpr Millis ReadWait{2'500};
constexpr Millis AppendTimeout{1'000};
constexpr Millis RetryPause{500};
/// Limit of the states that wait for the store; those of most breaks stay.
constexpr size_t MaxWaiting = 256;
/// Limit of the requests that has() knows.
constexpr size_t MaxRecorded = 4'096;

PartitionId suspectPartition() { return PartitionId{"suspects", 0}; }

} // namespace

SuspectLog::SuspectLog(Loop &Events, platform::StoreClient &Store,
                       std::function<void(const wire::SuspectState &)> OnRead)
    : Events(Events), Store(Store), OnRead(std::move(OnRead)) {}

void SuspectLog::begin() { this->read(); }

void SuspectLog::read() {
  platform::ReadBounds Bounds;
  Bounds.Wait = this->CaughtUp ? ReadWait : Millis{0};
  this->Store.read(
      suspectPartition(), this->NextOffset, Bounds,
      [this](const StoreResult<ReadPage> &Page) { this->onRead(Page); });
}

void SuspectLog::onRead(const StoreResult<ReadPage> &Page) {
  if (!Page.has_value()) {
    if (Page.error().Expired)
      this->NextOffset = std::max(this->NextOffset, Page.error().OldestOffset);
    this->Events.callAfter(RetryPause, [this] { this->read(); });
    return;
  }
  for (const std::string &Bytes : Page.value().Records) {
    ++this->NextOffset;
    Result<wire::SuspectRecord> Record = decodeSuspect(Bytes);
    if (!Record.has_value()) {
      logLine(LogLevel::Warn, "unreadable record of a suspect skipped",
              {{"offset", concat(this->NextOffset - 1)},
               {"cause", Record.error().Message}});
      continue;
    }
    wire::SuspectState &State = Record.value().State;
    if (this->Recorded.size() < MaxRecorded)
      this->Recorded.insert(State.Digest);
    // A record that arrives while the topic is followed is new, whatever the
    // clocks of the two hosts say.
    const int64_t Since =
        this->CaughtUp ? 0
                       : std::max<int64_t>(
                             wallNow().Count - Record.value().AppendedAtMs, 0);
    State.AgeMs += Since;
    State.KeptMs -= Since;
    this->OnRead(State);
  }
  this->CaughtUp = this->CaughtUp || this->NextOffset >= Page.value().EndOffset;
  this->read();
}

void SuspectLog::append(const wire::SuspectState &State) {
  if (this->Recorded.size() < MaxRecorded)
    this->Recorded.insert(State.Digest);
  wire::SuspectRecord Record;
  Record.State = State;
  Record.AppendedAtMs = wallNow().Count;
  this->Waiting.insert_or_assign(State.Digest, std::move(Record));
  if (this->Waiting.size() > MaxWaiting)
    this->Waiting.erase(
        std::ranges::min_element(this->Waiting, {}, [](const auto &Each) {
          return Each.second.State.Breaks;
        }));
  this->flush();
}

void SuspectLog::flush() {
  if (this->Appending || this->Waiting.empty())
    return;
  this->Appending = true;
  std::vector<std::string> Records;
  Records.reserve(this->Waiting.size());
  for (const auto &[Digest, Record] : this->Waiting)
    Records.push_back(encodeSuspect(Record));
  this->Store.append(suspectPartition(), Records, AppendTimeout,
                     [this, Sent = std::exchange(this->Waiting, {})](
                         const StoreResult<int64_t> &Offset) mutable {
                       if (Offset.has_value()) {
                         this->Appending = false;
                         this->flush();
                         return;
                       }
                       logLine(LogLevel::Info,
                               "record of suspects not acknowledged",
                               {{"requests", concat(Sent.size())},
                                {"cause", Offset.error().Cause.Message}});
                       // Later states of a request stay in place of those sent.
                       this->Waiting.merge(Sent);
                       this->Events.callAfter(RetryPause, [this] {
                         this->Appending = false;
                         this->flush();
                       });
                     });
}

} // namespace camphornotch
