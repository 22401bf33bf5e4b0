/// @file
/// Appends records to partitions and retries until the store acknowledges them.

#include "gateway/partition_appender_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/batch/partition_fold_base.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Upper limit of the time for an answer: the store refuses an append that the
/// partition would start on later than in 2 s.
constexpr Millis MostTimeout{2'500};
constexpr Millis RetryPause{80};
/// Size limit of one call; the platform accepts 2 MB.
constexpr size_t MaxCallBytes = size_t{1'500} << 10;

} // namespace

PartitionAppender::PartitionAppender(Loop &Events, platform::StoreClient &Store,
                                     size_t RecordBytes)
    : Events(Events), Store(Store), RecordBytes(RecordBytes) {}

void PartitionAppender::append(const PartitionId &Partition,
                               const wire::BatchRecord &Record,
                               AppendPolicy Policy, DoneCall Done) {
  Waiting Added;
  Added.Parts = splitRecord(encodeBatchRecord(Record), this->RecordBytes);
  Added.GiveUpAt = Policy.GiveUpAt;
  Added.Done = std::move(Done);
  this->Queues[Partition].Records.push_back(std::move(Added));
  this->pump(Partition);
}

size_t PartitionAppender::waiting() const {
  size_t Count = 0;
  for (const auto &[Partition, Each] : this->Queues)
    Count += Each.Records.size();
  return Count;
}

void PartitionAppender::pump(const PartitionId &Partition) {
  Queue &Each = this->Queues[Partition];
  if (Each.Sent > 0 || Each.Paused || Each.Records.empty())
    return;
  std::vector<std::string> Parts;
  size_t Bytes = 0;
  for (const Waiting &Next : Each.Records) {
    size_t Size = 0;
    for (const std::string &Part : Next.Parts)
      Size += Part.size();
    if (Each.Sent > 0 && Bytes + Size > MaxCallBytes)
      break;
    Bytes += Size;
    ++Each.Sent;
    Parts.insert(Parts.end(), Next.Parts.begin(), Next.Parts.end());
  }
  this->Store.append(Partition, Parts, Each.Timeout,
                     [this, Partition](const StoreResult<int64_t> &Outcome) {
                       this->onAnswer(Partition, Outcome);
                     });
}

void PartitionAppender::onAnswer(const PartitionId &Partition,
                                 const StoreResult<int64_t> &Outcome) {
  Queue &Each = this->Queues[Partition];
  const size_t Sent = std::exchange(Each.Sent, 0);
  if (Outcome.has_value()) {
    Each.Timeout = FirstAppendTimeout;
    std::vector<DoneCall> Calls;
    for (size_t Index = 0; Index < Sent; ++Index) {
      Calls.push_back(std::move(Each.Records.front().Done));
      Each.Records.pop_front();
    }
    for (const DoneCall &Done : Calls)
      Done(AppendEnd::Done);
    this->pump(Partition);
    return;
  }
  const StoreFailure &Failure = Outcome.error();
  logLine(LogLevel::Warn, "append not acknowledged",
          {{"partition", concat(Partition.Part)},
           {"records", concat(Sent)},
           {"not_done", Failure.NotDone ? "yes" : "no"},
           {"cause", Failure.Cause.Message}});
  for (size_t Index = 0; Index < Sent; ++Index)
    Each.Records[Index].MaybeDone |= !Failure.NotDone;
  // A longer timeout avoids duplicates, which lengthen the history.
  if (!Failure.NotDone)
    Each.Timeout = std::min(Each.Timeout * 2, MostTimeout);
  Each.Paused = true;
  this->Events.callAfter(RetryPause, [this, Partition] {
    this->Queues[Partition].Paused = false;
    this->giveUp(Partition);
    this->pump(Partition);
  });
}

void PartitionAppender::giveUp(const PartitionId &Partition) {
  std::deque<Waiting> &Records = this->Queues[Partition].Records;
  const Millis Now = steadyNow();
  std::vector<std::pair<DoneCall, AppendEnd>> Calls;
  std::erase_if(Records, [&](Waiting &Each) {
    if (Now < Each.GiveUpAt)
      return false;
    Calls.emplace_back(std::move(Each.Done), Each.MaybeDone
                                                 ? AppendEnd::Unknown
                                                 : AppendEnd::NotDone);
    return true;
  });
  for (const auto &[Done, End] : Calls)
    Done(End);
}

} // namespace camphornotch
