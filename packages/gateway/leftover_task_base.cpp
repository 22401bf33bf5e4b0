/// @file
/// Stores the unfinished texts of ended submissions for later submissions.

#include "gateway/leftover_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/store/store_func.h"
#include "wire/codec_func.h"

#include <memory>

namespace camphornotch {

namespace {

constexpr const char *LeftoverTopic = "leftovers";
constexpr Millis WriteTimeout{1'000};
/// Longest wait for leftovers before items start without them: a few round
/// trips to a store in the other region.
constexpr Millis RefreshMost{250};
/// Age at which texts are dropped: a few training steps.
constexpr Millis KeepFor{40'000};

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
  this->Readings[Partition].Urgent = true;
  const TimerId Limit =
      this->Events.callAfter(RefreshMost, [this, Partition, Finish] {
        this->Readings[Partition].Urgent = false;
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
  Reading &Each = this->Readings[Partition];
  Each.Waiters.push_back(std::move(Done));
  if (Each.Running)
    return;
  Each.Running = true;
  this->readPage(Partition);
}

void LeftoverTask::readPage(const PartitionId &Partition) {
  this->HistoryReads.read(
      Partition, this->Readings[Partition].Urgent,
      [this, Partition] { return this->Readings[Partition].Next; },
      [this, Partition](const StoreResult<ReadPage> &Page, Millis) {
        if (!Page.has_value()) {
          const StoreFailure &Failure = Page.error();
          Reading &Each = this->Readings[Partition];
          if (Failure.Expired) {
            Each.Next = Failure.FirstKept;
            Each.Joiner = RecordJoiner{};
          }
          logLine(LogLevel::Info, "leftovers not read",
                  {{"cause", Failure.Cause.Message}});
          this->finish(Partition);
          return;
        }
        this->take(Partition, Page.value());
        if (this->Readings[Partition].Next < Page.value().End)
          this->readPage(Partition);
        else
          this->finish(Partition);
      });
}

void LeftoverTask::finish(const PartitionId &Partition) {
  this->HistoryReads.remove(Partition);
  Reading &Each = this->Readings[Partition];
  Each.Running = false;
  for (const std::function<void()> &Done : std::exchange(Each.Waiters, {}))
    Done();
}

void LeftoverTask::take(const PartitionId &Partition, const ReadPage &Page) {
  Reading &Each = this->Readings[Partition];
  const Millis Now = steadyNow();
  int64_t Offset = Page.From;
  for (const std::string &Bytes : Page.Records) {
    if (Offset++ != Each.Next)
      continue;
    ++Each.Next;
    const std::optional<std::string> Whole = Each.Joiner.add(Bytes);
    if (!Whole.has_value())
      continue;
    const Result<void> Taken = this->Table.apply(*Whole, Now);
    if (!Taken.has_value())
      logLine(LogLevel::Warn, "unreadable record of leftovers skipped",
              {{"cause", Taken.error().Message}});
  }
}

void LeftoverTask::forgetOld() { this->Table.forget(steadyNow() - KeepFor); }

} // namespace camphornotch
