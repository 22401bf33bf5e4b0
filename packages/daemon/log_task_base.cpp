/// @file
/// The entry's task for the log.

#include "daemon/log_task_base.h"

#include "base/clock_func.h"
#include "base/hash_func.h"
#include "base/log_func.h"
#include "core/claims/log_feed_func.h"
#include "net/link_settings_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Offsets remembered for agents that repeat an append.
constexpr size_t MaxRecent = 16'384;
/// How often the age of the snapshot is looked at.
constexpr Millis CarryForwardCheck = seconds(1);
/// Turns among which entries that wait for a snapshot are spread.
constexpr uint64_t CarryForwardTurns = 16;
/// Time between two turns.
constexpr Millis CarryForwardTurn = seconds(2);

} // namespace

LogTask::LogTask(Loop &Events, HttpClient &Http, const CommonSettings &Settings,
                 BootId Boot, Metrics &Counters)
    : Events(Events), Settings(Settings),
      Appender(Events, Http, targetOf(Settings.LogService), Boot,
               appenderSettingsOf(Settings),
               LogAppenderCallbacks{
                   [this](int64_t Sequence, LogOffset Offset) {
                     auto Node = this->Waiting.extract(Sequence);
                     if (!Node.empty() && Node.mapped())
                       Node.mapped()(Offset);
                   },
                   [&Counters](RetryReason Why) { Counters.countRetry(Why); }}),
      Reader(Events, Http, targetOf(Settings.LogService),
             LogReaderCallbacks{
                 [this](LogOffset Offset, const wire::LogRecord &Record) {
                   this->onRecord(Offset, Record);
                 },
                 [this](LogOffset Oldest) { this->Fold.startAt(Oldest); },
                 [this](LogOffset) {
                   this->ReadOnce = true;
                   this->Fold.expireBefore(this->Reader.oldest());
                 },
                 [this](bool Up) {
                   logLine(LogLevel::Warn,
                           Up ? "log answers" : "log does not answer");
                   this->Tell.Status(LogStatus{Up});
                 }}),
      Carry(CarrySettings{Settings.LogRetention, CarryForwardTurn}) {}

void LogTask::start(LogTaskEvents Tell) {
  this->Tell = std::move(Tell);
  this->Reader.start(LogOffset{1});
  this->carryForward();
}

bool LogTask::append(const wire::LogRecord &Record, Committed Done) {
  const auto Sequence = this->Appender.append(Record);
  if (!Sequence) {
    logLine(LogLevel::Error, Sequence.error().Message);
    return false;
  }
  if (Done)
    this->Waiting.emplace(Sequence.value(), std::move(Done));
  return true;
}

void LogTask::onRecord(LogOffset Offset, const wire::LogRecord &Record) {
  const WriterKey Key{Record.WriterBoot, Record.Sequence};
  const std::vector<FoldChange> Changes = this->Fold.apply(Offset, Record);
  const bool Duplicate =
      std::any_of(Changes.begin(), Changes.end(), [](const FoldChange &One) {
        return std::holds_alternative<DuplicateDropped>(One);
      });
  if (recordStands(Changes))
    this->Tell.Committed(RecordCommitted{Offset, Record});
  if (!Duplicate) {
    this->remember(Key, Offset);
    this->Tell.Changed(Changes);
  }
  this->settleAgents(Key, Offset);
  this->Appender.observe(Offset, Record);
}

void LogTask::remember(const WriterKey &Key, LogOffset Offset) {
  if (!this->Recent.emplace(Key, Offset).second)
    return;
  this->RecentOrder.push_back(Key);
  if (this->RecentOrder.size() <= MaxRecent)
    return;
  this->Recent.erase(this->RecentOrder.front());
  this->RecentOrder.pop_front();
}

void LogTask::appendFor(const HostId &Peer,
                        const wire::AppendRequest &Request) {
  const uint64_t Id = ++this->LastAppend;
  AgentAppend &Append = this->AgentAppends[Id];
  Append.Peer = Peer;
  Append.Reply.Id = Request.Id;
  Append.Reply.Committed = true;
  Append.Reply.Offsets.assign(Request.Records.size(), NoOffset.Value);
  Append.Missing = Request.Records.size();
  for (size_t Position = 0; Position < Request.Records.size(); ++Position) {
    const auto Record = decodeRecord(Request.Records[Position]);
    const bool Taken =
        Record && this->Appender.appendEncoded(Request.Records[Position]);
    if (!Taken) {
      Append.Reply.Committed = false;
      this->Tell.Reply(Peer, Append.Reply);
      this->AgentAppends.erase(Id);
      return;
    }
    const WriterKey Key{Record.value().WriterBoot, Record.value().Sequence};
    this->AgentRecords.emplace(Key, std::pair{Id, Position});
  }
  // A repeated append gets the offset of the record that stands.
  for (const std::string &Encoded : Request.Records) {
    const auto Record = decodeRecord(Encoded);
    const WriterKey Key{Record.value().WriterBoot, Record.value().Sequence};
    const auto Known = this->Recent.find(Key);
    if (Known != this->Recent.end())
      this->settleAgents(Key, Known->second);
  }
}

void LogTask::settleAgents(const WriterKey &Key, LogOffset Offset) {
  const auto [First, Last] = this->AgentRecords.equal_range(Key);
  std::vector<std::pair<uint64_t, size_t>> Places;
  for (auto Place = First; Place != Last; ++Place)
    Places.push_back(Place->second);
  this->AgentRecords.erase(First, Last);
  const auto Known = this->Recent.find(Key);
  const LogOffset Standing =
      Known == this->Recent.end() ? Offset : Known->second;
  for (const auto &[Id, Position] : Places)
    this->settleOne(Id, Position, Standing);
}

void LogTask::settleOne(uint64_t Id, size_t Position, LogOffset Offset) {
  const auto Found = this->AgentAppends.find(Id);
  if (Found == this->AgentAppends.end())
    return;
  AgentAppend &Append = Found->second;
  Append.Reply.Offsets[Position] = Offset.Value;
  if (--Append.Missing > 0)
    return;
  const AgentAppend Done = std::move(Append);
  this->AgentAppends.erase(Found);
  this->Tell.Reply(Done.Peer, Done.Reply);
}

void LogTask::carryForward() {
  CarryView View;
  View.Now = steadyNow();
  View.Wall = wallNow();
  View.Rank =
      static_cast<int64_t>(hashBytes(this->Settings.Host) % CarryForwardTurns);
  View.CaughtUp = this->ReadOnce && this->Reader.reachable();
  if (const auto Snapshot = this->Carry.due(this->Fold, View)) {
    wire::LogRecord Record;
    Record.__set_Snapshot(*Snapshot);
    this->append(Record);
  }
  this->Events.callAfter(CarryForwardCheck, [this] { this->carryForward(); });
}

} // namespace camphornotch
