/// @file
/// Stores the unfinished texts of ended submissions for later submissions.

#include "gateway/leftover_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/store/store_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <memory>

namespace camphornotch {

namespace {

constexpr const char *LeftoverTopic = "leftovers";
constexpr Millis WriteTimeout{1'000};
/// Longest wait for leftovers before items start without them: a few round
/// trips to a store in the other region.
constexpr Millis MaxRefreshTime{250};
/// Age at which texts are dropped: a few training steps.
constexpr Millis MaxTextAge{40'000};

} // namespace

LeftoverTask::LeftoverTask(Loop &Events, platform::StoreClient &Store,
                           HistoryReadQueue &HistoryReads, int64_t Partitions,
                           size_t RecordBytes)
    : Events(Events), Store(Store), HistoryReads(HistoryReads),
      Partitions(Partitions), RecordBytes(RecordBytes) {}

PartitionId LeftoverTask::partitionOf(std::string_view Route) const {
  return partitionFor(LeftoverTopic, Route, this->Partitions);
}

void LeftoverTask::write(std::string_view Route,
                         const wire::LeftoverRecord &Record) {
  const std::vector<std::string> Parts =
      splitRecord(encodeLeftovers(Record), this->RecordBytes);
  logLine(LogLevel::Info, "leftovers written",
          {{"submission", Record.Submission},
           {"texts", concat(Record.Texts.size())}});
  this->Store.append(
      this->partitionOf(Route), Parts, WriteTimeout,
      [Id = Record.Submission](const StoreResult<int64_t> &Outcome) {
        if (!Outcome.has_value())
          logLine(
              LogLevel::Warn, "leftovers not acknowledged",
              {{"submission", Id}, {"cause", Outcome.error().Cause.Message}});
      });
}

void LeftoverTask::refresh(std::string_view Route, std::function<void()> Done) {
  const auto Once = std::make_shared<std::function<void()>>(std::move(Done));
  const auto Finish = [Once] {
    const std::function<void()> Run = std::exchange(*Once, nullptr);
    if (Run)
      Run();
  };
  const PartitionId Partition = this->partitionOf(Route);
  this->ReadStates[Partition].Urgent = true;
  const TimerId Limit =
      this->Events.callAfter(MaxRefreshTime, [this, Partition, Finish] {
        this->ReadStates[Partition].Urgent = false;
        this->HistoryReads.setOwned(Partition, false);
        Finish();
      });
  this->read(Partition, [this, Limit, Finish] {
    this->Events.cancel(Limit);
    Finish();
  });
}

void LeftoverTask::read(const PartitionId &Partition,
                        std::function<void()> Done) {
  ReadState &State = this->ReadStates[Partition];
  State.Waiters.push_back(std::move(Done));
  if (State.Running)
    return;
  State.Running = true;
  this->readPage(Partition);
}

void LeftoverTask::readPage(const PartitionId &Partition) {
  this->HistoryReads.read(
      Partition, this->ReadStates[Partition].Urgent,
      [this, Partition] { return this->ReadStates[Partition].NextOffset; },
      [this, Partition](const StoreResult<ReadPage> &Page, Millis) {
        if (!Page.has_value()) {
          const StoreFailure &Failure = Page.error();
          ReadState &State = this->ReadStates[Partition];
          if (Failure.Expired) {
            State.NextOffset = std::max(State.NextOffset, Failure.OldestOffset);
            State.Joiner = RecordJoiner{};
          }
          logLine(LogLevel::Info, "leftovers not read",
                  {{"cause", Failure.Cause.Message}});
          this->finish(Partition);
          return;
        }
        this->applyPage(Partition, Page.value());
        if (this->ReadStates[Partition].NextOffset < Page.value().EndOffset)
          this->readPage(Partition);
        else
          this->finish(Partition);
      });
}

void LeftoverTask::finish(const PartitionId &Partition) {
  this->HistoryReads.remove(Partition);
  ReadState &State = this->ReadStates[Partition];
  State.Running = false;
  for (const std::function<void()> &Done : std::exchange(State.Waiters, {}))
    Done();
}

void LeftoverTask::applyPage(const PartitionId &Partition,
                             const ReadPage &Page) {
  ReadState &State = this->ReadStates[Partition];
  const Millis Now = steadyNow();
  int64_t Offset = Page.FirstOffset;
  for (const std::string &Bytes : Page.Records) {
    if (Offset++ != State.NextOffset)
      continue;
    ++State.NextOffset;
    const std::optional<std::string> Joined = State.Joiner.add(Bytes);
    if (!Joined.has_value())
      continue;
    const Result<void> Applied = this->Table.apply(*Joined, Now);
    if (!Applied.has_value())
      logLine(LogLevel::Warn, "unreadable record of leftovers skipped",
              {{"cause", Applied.error().Message}});
  }
}

void LeftoverTask::forgetOld() { this->Table.forget(steadyNow() - MaxTextAge); }

} // namespace camphornotch
