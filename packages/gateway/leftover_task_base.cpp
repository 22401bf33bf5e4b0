/// @file
/// Keeps the texts that ended submissions leave behind in the store.

#include "gateway/leftover_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/store/store_func.h"
#include "wire/codec_func.h"

#include <memory>

namespace camphornotch {

namespace {

/// The topic of leftovers.
constexpr const char *LeftoverTopic = "leftovers";
/// Time for the append of leftovers.
constexpr Millis WriteTimeout{1'000};
/// Longest wait for leftovers before items start without them: a few answers
/// of the store from the other region.
constexpr Millis RefreshMost{250};
/// Age at which texts are forgotten: a few of the sites' steps.
constexpr Millis KeepFor{40'000};

} // namespace

LeftoverTask::LeftoverTask(Loop &Events, platform::StoreClient &Store,
                           HistoryGate &Histories, int64_t Partitions,
                           size_t RecordBytes)
    : Events(Events), Store(Store), Histories(Histories),
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
  const PartitionId Where = this->partitionOf(Route);
  this->Readings[Where].Urgent = true;
  const TimerId Limit =
      this->Events.callAfter(RefreshMost, [this, Where, Finish] {
        this->Readings[Where].Urgent = false;
        this->Histories.setOwned(Where, false);
        Finish();
      });
  this->read(Where, [this, Limit, Finish] {
    this->Events.cancel(Limit);
    Finish();
  });
}

void LeftoverTask::read(const PartitionId &Where, std::function<void()> Done) {
  Reading &Each = this->Readings[Where];
  Each.Waiters.push_back(std::move(Done));
  if (Each.Running)
    return;
  Each.Running = true;
  this->readPage(Where);
}

void LeftoverTask::readPage(const PartitionId &Where) {
  this->Histories.read(
      Where, this->Readings[Where].Urgent,
      [this, Where] { return this->Readings[Where].Next; },
      [this, Where](const StoreResult<ReadPage> &Page, Millis) {
        if (!Page.has_value()) {
          const StoreFailure &Failure = Page.error();
          Reading &Each = this->Readings[Where];
          if (Failure.Expired) {
            Each.Next = Failure.OldestOffset;
            Each.Joiner = RecordJoiner{};
          }
          logLine(LogLevel::Info, "leftovers not read",
                  {{"cause", Failure.Cause.Message}});
          this->finish(Where);
          return;
        }
        this->take(Where, Page.value());
        if (this->Readings[Where].Next < Page.value().EndOffset)
          this->readPage(Where);
        else
          this->finish(Where);
      });
}

void LeftoverTask::finish(const PartitionId &Where) {
  this->Histories.done(Where);
  Reading &Each = this->Readings[Where];
  Each.Running = false;
  for (const std::function<void()> &Done : std::exchange(Each.Waiters, {}))
    Done();
}

void LeftoverTask::take(const PartitionId &Where, const ReadPage &Page) {
  Reading &Each = this->Readings[Where];
  const Millis Now = steadyNow();
  int64_t Offset = Page.FirstOffset;
  for (const std::string &Bytes : Page.Records) {
    if (Offset++ != Each.Next)
      continue;
    ++Each.Next;
    const std::optional<std::string> Whole = Each.Joiner.add(Bytes);
    if (!Whole.has_value())
      continue;
    const Result<void> Taken = this->Table.apply(*Whole, Now);
    if (!Taken.has_value())
      logLine(LogLevel::Warn, "record of leftovers left out",
              {{"cause", Taken.error().Message}});
  }
}

void LeftoverTask::forgetOld() { this->Table.forget(steadyNow() - KeepFor); }

} // namespace camphornotch
