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
constexpr Millis MaxTimeout{2'500};
constexpr Millis RetryPause{80};
/// Size limit of one call; the platform accepts 2 MB.
constexpr size_t MaxCallBytes = size_t{1'500} << 10;

} // namespace

PartitionAppender::PartitionAppender(Loop &Events, platform::StoreClient &Store,
                                     size_t RecordBytes)
    : Events(Events), Store(Store), RecordBytes(RecordBytes) {}

void PartitionAppender::append(const PartitionId &Partition,
                               const wire::BatchRecord &Record,
                               AppendPolicy Policy, OutcomeHandler Done) {
  PendingRecord Added;
  Added.Parts = splitRecord(encodeBatchRecord(Record), this->RecordBytes);
  Added.Deadline = Policy.Deadline;
  Added.Done = std::move(Done);
  this->Queues[Partition].Records.push_back(std::move(Added));
  this->pump(Partition);
}

size_t PartitionAppender::pendingCount() const {
  size_t Count = 0;
  for (const auto &[Partition, Pending] : this->Queues)
    Count += Pending.Records.size();
  return Count;
}

void PartitionAppender::pump(const PartitionId &Partition) {
  Queue &Pending = this->Queues[Partition];
  if (Pending.InFlight > 0 || Pending.Paused || Pending.Records.empty())
    return;
  std::vector<std::string> Parts;
  size_t Bytes = 0;
  for (const PendingRecord &Record : Pending.Records) {
    size_t Size = 0;
    for (const std::string &Part : Record.Parts)
      Size += Part.size();
    if (Pending.InFlight > 0 && Bytes + Size > MaxCallBytes)
      break;
    Bytes += Size;
    ++Pending.InFlight;
    Parts.insert(Parts.end(), Record.Parts.begin(), Record.Parts.end());
  }
  this->Store.append(Partition, Parts, Pending.Timeout,
                     [this, Partition](const StoreResult<int64_t> &Outcome) {
                       this->onAnswer(Partition, Outcome);
                     });
}

void PartitionAppender::onAnswer(const PartitionId &Partition,
                                 const StoreResult<int64_t> &Outcome) {
  Queue &Pending = this->Queues[Partition];
  const size_t InFlight = std::exchange(Pending.InFlight, 0);
  if (Outcome.has_value()) {
    Pending.Timeout = InitialTimeout;
    std::vector<OutcomeHandler> Handlers;
    for (size_t Index = 0; Index < InFlight; ++Index) {
      Handlers.push_back(std::move(Pending.Records.front().Done));
      Pending.Records.pop_front();
    }
    for (const OutcomeHandler &Done : Handlers)
      Done(AppendOutcome::Stored);
    this->pump(Partition);
    return;
  }
  const StoreFailure &Failure = Outcome.error();
  logLine(LogLevel::Warn, "append not acknowledged",
          {{"partition", concat(Partition.Number)},
           {"records", concat(InFlight)},
           {"not_done", Failure.NotExecuted ? "yes" : "no"},
           {"cause", Failure.Cause.Message}});
  for (size_t Index = 0; Index < InFlight; ++Index)
    Pending.Records[Index].MaybeStored |= !Failure.NotExecuted;
  // A longer timeout avoids duplicates, which lengthen the history.
  if (!Failure.NotExecuted)
    Pending.Timeout = std::min(Pending.Timeout * 2, MaxTimeout);
  Pending.Paused = true;
  this->Events.callAfter(RetryPause, [this, Partition] {
    this->Queues[Partition].Paused = false;
    this->dropExpired(Partition);
    this->pump(Partition);
  });
}

void PartitionAppender::dropExpired(const PartitionId &Partition) {
  std::deque<PendingRecord> &Records = this->Queues[Partition].Records;
  const Millis Now = steadyNow();
  std::vector<std::pair<OutcomeHandler, AppendOutcome>> Handlers;
  std::erase_if(Records, [&](PendingRecord &Each) {
    if (Now < Each.Deadline)
      return false;
    Handlers.emplace_back(std::move(Each.Done), Each.MaybeStored
                                                    ? AppendOutcome::Unknown
                                                    : AppendOutcome::NotStored);
    return true;
  });
  for (const auto &[Done, Outcome] : Handlers)
    Done(Outcome);
}

} // namespace camphornotch
