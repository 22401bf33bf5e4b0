/// @file
/// Appends records to partitions until the store has acknowledged each.

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

/// Most time for the answer to an append: the store refuses what a partition
/// would take up later than in 2 s.
constexpr Millis MostTimeout{2'500};
/// Pause after a failed append.
constexpr Millis RetryPause{80};
/// Most bytes of one call; the platform takes 2 MB.
constexpr size_t MaxCallBytes = size_t{1'500} << 10;

} // namespace

PartitionAppender::PartitionAppender(Loop &Events, platform::StoreClient &Store,
                                     size_t RecordBytes)
    : Events(Events), Store(Store), RecordBytes(RecordBytes) {}

void PartitionAppender::append(const PartitionId &Where,
                               const wire::BatchRecord &Record,
                               AppendPolicy Policy, DoneCall Done) {
  Waiting Added;
  Added.Parts = splitRecord(encodeBatchRecord(Record), this->RecordBytes);
  Added.GiveUpAt = Policy.GiveUpAt;
  Added.Done = std::move(Done);
  this->Queues[Where].Records.push_back(std::move(Added));
  this->pump(Where);
}

size_t PartitionAppender::waiting() const {
  size_t Count = 0;
  for (const auto &[Where, Each] : this->Queues)
    Count += Each.Records.size();
  return Count;
}

void PartitionAppender::pump(const PartitionId &Where) {
  Queue &Each = this->Queues[Where];
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
  this->Store.append(Where, Parts, Each.Timeout,
                     [this, Where](const StoreResult<int64_t> &Outcome) {
                       this->onAnswer(Where, Outcome);
                     });
}

void PartitionAppender::onAnswer(const PartitionId &Where,
                                 const StoreResult<int64_t> &Outcome) {
  Queue &Each = this->Queues[Where];
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
    this->pump(Where);
    return;
  }
  const StoreFailure &Failure = Outcome.error();
  logLine(LogLevel::Warn, "append not acknowledged",
          {{"partition", concat(Where.Number)},
           {"records", concat(Sent)},
           {"not_done", Failure.NotExecuted ? "yes" : "no"},
           {"cause", Failure.Cause.Message}});
  for (size_t Index = 0; Index < Sent; ++Index)
    Each.Records[Index].MaybeDone |= !Failure.NotExecuted;
  // What is given up and appended again lengthens the history.
  if (!Failure.NotExecuted)
    Each.Timeout = std::min(Each.Timeout * 2, MostTimeout);
  Each.Paused = true;
  this->Events.callAfter(RetryPause, [this, Where] {
    this->Queues[Where].Paused = false;
    this->giveUp(Where);
    this->pump(Where);
  });
}

void PartitionAppender::giveUp(const PartitionId &Where) {
  std::deque<Waiting> &Records = this->Queues[Where].Records;
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
