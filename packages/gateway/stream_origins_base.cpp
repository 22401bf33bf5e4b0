/// @file
/// Which software began the streams of callers, shared by all gateways.

#include "gateway/stream_origins_base.h"

#include "base/clock_func.h"
#include "base/hash_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

constexpr const char *Topic = "streams";
/// Records of this time are appended together.
constexpr Millis AppendInterval{50};
constexpr Millis AppendTimeout{1'000};
constexpr Millis AppendRetryPause{200};
/// Limit on the records that wait for the store; the oldest go first.
constexpr size_t MaxWaiting = 8'192;
/// Time after which no caller takes a stream up any more.
constexpr Millis OriginMemory{60'000};
constexpr size_t MaxKnown = 50'000;
/// Time in which the record of a stream reaches the store, unless that is slow.
constexpr Millis LookupTime{700};
constexpr Millis LookupInterval{100};

} // namespace

StreamOrigins::StreamOrigins(Loop &Events, platform::StoreClient &Store,
                             std::string_view Host, int64_t Partitions)
    : Events(Events), Store(Store),
      OwnPartition(static_cast<int64_t>(hashBytes(Host) %
                                        static_cast<uint64_t>(Partitions))),
      NextOffsets(static_cast<size_t>(Partitions), 0) {}

void StreamOrigins::add(const std::string &RequestId, StreamOrigin Origin) {
  if (this->Known.contains(RequestId))
    return;
  wire::StreamOriginRecord Record;
  Record.RequestId = RequestId;
  Record.Service = Origin.Service;
  Record.Software = Origin.Software;
  this->remember(RequestId, std::move(Origin));
  if (this->Waiting.size() >= MaxWaiting)
    this->Waiting.erase(this->Waiting.begin());
  this->Waiting.push_back(encodeStreamOrigin(Record));
  if (this->Waiting.size() == 1)
    this->Events.callAfter(AppendInterval, [this] { this->flush(); });
}

void StreamOrigins::remember(const std::string &RequestId,
                             StreamOrigin Origin) {
  const Millis Now = steadyNow();
  if (this->Known.try_emplace(RequestId, KnownOrigin{std::move(Origin), Now})
          .second)
    this->Order.push_back(RequestId);
  while (!this->Order.empty()) {
    const auto Oldest = this->Known.find(this->Order.front());
    if (this->Known.size() <= MaxKnown &&
        Now - Oldest->second.AddedAt < OriginMemory)
      return;
    this->Known.erase(Oldest);
    this->Order.pop_front();
  }
}

void StreamOrigins::flush() {
  if (this->Appending || this->Waiting.empty())
    return;
  this->Appending = true;
  std::vector<std::string> Sent = std::exchange(this->Waiting, {});
  const std::span<const std::string> Records = Sent;
  this->Store.append(
      PartitionId{Topic, this->OwnPartition}, Records, AppendTimeout,
      [this, Sent = std::move(Sent)](const StoreResult<int64_t> &Offset) {
        this->onAppended(Sent, Offset);
      });
}

void StreamOrigins::onAppended(std::vector<std::string> Sent,
                               const StoreResult<int64_t> &Offset) {
  this->Appending = false;
  if (Offset.has_value()) {
    this->flush();
    return;
  }
  logLine(LogLevel::Info, "origins of streams not acknowledged",
          {{"streams", concat(Sent.size())},
           {"cause", Offset.error().Cause.Message}});
  // A record may be stored twice: the first one stands.
  Sent.insert(Sent.end(), std::make_move_iterator(this->Waiting.begin()),
              std::make_move_iterator(this->Waiting.end()));
  const size_t Excess = Sent.size() - std::min(Sent.size(), MaxWaiting);
  Sent.erase(Sent.begin(), Sent.begin() + static_cast<ptrdiff_t>(Excess));
  this->Waiting = std::move(Sent);
  this->Events.callAfter(AppendRetryPause, [this] { this->flush(); });
}

void StreamOrigins::find(const std::string &RequestId, FindCallback Found) {
  const auto Origin = this->Known.find(RequestId);
  if (Origin != this->Known.end()) {
    Found(&Origin->second.Origin);
    return;
  }
  this->Lookups.push_back(
      Lookup{RequestId, std::move(Found), steadyNow() + LookupTime});
  if (this->Lookups.size() == 1)
    this->beginReading();
}

void StreamOrigins::beginReading() {
  if (this->Reading > 0)
    return;
  this->Reading = this->NextOffsets.size();
  for (size_t Each = 0; Each < this->NextOffsets.size(); ++Each)
    this->read(static_cast<int64_t>(Each));
}

void StreamOrigins::read(int64_t Partition) {
  platform::ReadBounds Bounds;
  Bounds.Wait = Millis{0};
  Bounds.Timeout = LookupTime;
  this->Store.read(PartitionId{Topic, Partition},
                   this->NextOffsets[static_cast<size_t>(Partition)], Bounds,
                   [this, Partition](const StoreResult<ReadPage> &Page) {
                     this->onRead(Partition, Page);
                   });
}

void StreamOrigins::onRead(int64_t Partition,
                           const StoreResult<ReadPage> &Page) {
  int64_t &Next = this->NextOffsets[static_cast<size_t>(Partition)];
  if (!Page.has_value()) {
    if (Page.error().Expired && Page.error().OldestOffset > Next) {
      Next = Page.error().OldestOffset;
      this->read(Partition);
      return;
    }
    this->partitionRead();
    return;
  }
  for (const std::string &Bytes : Page.value().Records) {
    ++Next;
    Result<wire::StreamOriginRecord> Record = decodeStreamOrigin(Bytes);
    if (Record.has_value())
      this->remember(Record.value().RequestId,
                     StreamOrigin{std::move(Record.value().Service),
                                  std::move(Record.value().Software)});
    else
      logLine(
          LogLevel::Warn, "unreadable origin of a stream skipped",
          {{"offset", concat(Next - 1)}, {"cause", Record.error().Message}});
  }
  if (Next < Page.value().EndOffset && !Page.value().Records.empty())
    this->read(Partition);
  else
    this->partitionRead();
}

void StreamOrigins::partitionRead() {
  this->answerLookups();
  if (--this->Reading > 0 || this->Lookups.empty())
    return;
  this->Events.callAfter(LookupInterval, [this] {
    this->answerLookups();
    if (!this->Lookups.empty())
      this->beginReading();
  });
}

void StreamOrigins::answerLookups() {
  const Millis Now = steadyNow();
  std::vector<Lookup> Pending;
  std::vector<std::pair<FindCallback, const StreamOrigin *>> Answers;
  for (Lookup &Each : this->Lookups) {
    const auto Origin = this->Known.find(Each.RequestId);
    if (Origin != this->Known.end())
      Answers.emplace_back(std::move(Each.Found), &Origin->second.Origin);
    else if (Now >= Each.Deadline)
      Answers.emplace_back(std::move(Each.Found), nullptr);
    else
      Pending.push_back(std::move(Each));
  }
  this->Lookups = std::move(Pending);
  for (const auto &[Found, Origin] : Answers)
    Found(Origin);
}

} // namespace camphornotch
