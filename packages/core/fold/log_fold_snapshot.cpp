/// @file
/// The fold of the log: snapshots, and records kept until the state is known.

#include "core/fold/log_fold_base.h"

#include "rules/parse_func.h"
#include "wire/codec_func.h"

#include <cassert>

namespace camphornotch {

namespace {

/// The scope of snapshots of the whole state.
constexpr const char *WholeScope = "fold";

/// Appends a record that stands.
/// @param Out the snapshot.
/// @param Offset the record's own offset.
/// @return the record, to be filled.
wire::LogRecord &carry(wire::SnapshotState &Out, LogOffset Offset) {
  wire::CarriedRecord &Carried = Out.Records.emplace_back();
  Carried.Offset = Offset.Value;
  return Carried.Record;
}

/// @param Endpoint an endpoint.
/// @param Host its agent's host.
/// @param Boot a boot of that agent.
/// @return the boot's record.
wire::BootRecord bootRecord(const EndpointId &Endpoint, const HostId &Host,
                            int64_t Boot) {
  wire::BootRecord Record;
  Record.Endpoint = Endpoint.Value;
  Record.Host = Host.Value;
  Record.Boot = Boot;
  return Record;
}

/// @param Trainer a trainer.
/// @param Number a step that is done.
/// @return the record that says so.
wire::CheckpointRecord doneRecord(const TrainerId &Trainer, int64_t Number) {
  wire::CheckpointRecord Record;
  Record.Trainer = Trainer.Value;
  Record.Step = Number;
  Record.StepDone = true;
  return Record;
}

/// @param Trainer a trainer.
/// @param Number a step.
/// @param Step its state.
/// @return the record that says what the trainer holds of it.
wire::CheckpointRecord heldRecord(const TrainerId &Trainer, int64_t Number,
                                  const StepState &Step) {
  wire::CheckpointRecord Record;
  Record.Trainer = Trainer.Value;
  Record.Step = Number;
  Record.Batch = Step.Batch;
  Record.Delivered.assign(Step.Delivered.begin(), Step.Delivered.end());
  return Record;
}

/// @param Offset the offset of a snapshot.
/// @param Record the snapshot.
/// @return whether no record stands between it and what it covers.
bool coversAllBefore(LogOffset Offset, const wire::SnapshotRecord &Record) {
  return Record.CoversOffset == Offset.Value - 1;
}

} // namespace

void LogFold::clearState() {
  this->Config = AcceptedConfig{};
  this->ConfigPublishId.clear();
  this->Claims.clear();
  this->Boots.clear();
  this->Trainers.clear();
  this->Quarantined.clear();
  this->Versions.clear();
  this->Drains.clear();
  this->Writers = WriterTable(this->Limits.Writers);
}

void LogFold::keepPending(LogOffset Offset, const wire::LogRecord &Record) {
  const size_t Bytes = encodeRecord(Record).size();
  this->Pending.push_back(PendingRecord{Offset, Record, Bytes});
  this->PendingBytes += Bytes;
  while (this->PendingBytes > this->Limits.PendingBytes) {
    this->MustCover = this->Pending.front().Offset;
    this->PendingBytes -= this->Pending.front().Bytes;
    this->Pending.pop_front();
  }
}

bool LogFold::resetStands(LogOffset Offset,
                          const wire::SnapshotRecord &Record) const {
  const LogOffset WriterOldest{Record.OldestOffset};
  if (!coversAllBefore(Offset, Record))
    return false;
  return this->Oldest <= WriterOldest && this->LastSnapshot < WriterOldest;
}

void LogFold::applySnapshot(LogOffset Offset,
                            const wire::SnapshotRecord &Record, Changes &Out) {
  const LogOffset Covers{Record.CoversOffset};
  SnapshotSeen Seen{Offset, Covers, false};
  const Result<wire::SnapshotState> State = decodeSnapshotState(Record.State);
  if (Record.Scope != WholeScope || !State.has_value() || Covers >= Offset) {
    Out.push_back(Seen);
    return;
  }
  const bool Stands = Record.Reset ? this->resetStands(Offset, Record)
                                   : !this->Known && Covers >= this->MustCover;
  // Whether a reset counts must not depend on whether it stands here, since
  // a reader that started late cannot judge that.
  if (!Record.Reset || coversAllBefore(Offset, Record)) {
    this->LastSnapshot = Offset;
    this->LastSnapshotWall = Millis{Record.WrittenWallMs};
  }
  Seen.Restored = Stands;
  Out.push_back(Seen);
  if (!Stands)
    return;
  this->restore(State.value());
  this->replayPending(Covers, Out);
}

void LogFold::restore(const wire::SnapshotState &State) {
  this->clearState();
  for (const wire::CarriedRecord &Carried : State.Records)
    this->standCarried(LogOffset{Carried.Offset}, Carried.Record);
  this->Writers.restoreWindows(State.Writers);
  this->Known = true;
}

void LogFold::standCarried(LogOffset Offset, const wire::LogRecord &Record) {
  Changes Unused;
  if (Record.__isset.Config) {
    RuleResult Rules = parseRules("rules", Record.Config.Text);
    if (Rules.has_value())
      this->standConfig(Offset, Record.Config.PublishId, Record.Config.Text,
                        std::move(Rules.value()));
  }
  if (Record.__isset.Claim)
    this->Claims[ShardId{Record.Claim.Shard}] =
        ShardClaim{HostId{Record.Claim.Owner}, BootId{Record.Claim.OwnerBoot},
                   Epoch{Offset.Value}, false, HostId{}};
  if (Record.__isset.Release)
    this->applyRelease(Offset, Record.Release, Unused);
  if (Record.__isset.Boot)
    this->standBoot(Offset, Record.Boot);
  if (Record.__isset.Step)
    this->standStep(Offset, Record.Step);
  if (Record.__isset.Checkpoint)
    this->standCheckpoint(Record.Checkpoint);
  if (Record.__isset.Quarantine)
    this->applyQuarantine(Offset, Record.Quarantine, Unused);
  if (Record.__isset.Version)
    this->applyVersion(Offset, Record.Version, Unused);
  if (Record.__isset.Drain)
    this->applyDrain(Offset, Record.Drain, Unused);
}

void LogFold::replayPending(LogOffset Covers, Changes &Out) {
  std::deque<PendingRecord> Kept = std::move(this->Pending);
  this->Pending.clear();
  this->PendingBytes = 0;
  for (const PendingRecord &Entry : Kept)
    if (Entry.Offset > Covers)
      this->applyKnown(Entry.Offset, Entry.Record, Out);
}

void LogFold::exportTrainer(const TrainerId &Trainer, const TrainerState &State,
                            wire::SnapshotState &Out) {
  for (const auto &[Number, Step] : State.Steps) {
    wire::StepRecord Submitted;
    Submitted.Trainer = Trainer.Value;
    Submitted.Step = Number;
    Submitted.Model = Step.Model;
    Submitted.Groups = Step.Groups;
    carry(Out, Step.Offset).__set_Step(Submitted);
    carry(Out, Step.Offset).__set_Checkpoint(heldRecord(Trainer, Number, Step));
  }
  if (State.HighestDone >= 0)
    carry(Out, LogOffset{0})
        .__set_Checkpoint(doneRecord(Trainer, State.HighestDone));
}

void LogFold::exportOwners(wire::SnapshotState &Out) const {
  for (const auto &[Shard, Standing] : this->Claims) {
    wire::ClaimRecord Claim;
    Claim.Shard = Shard.Value;
    Claim.Owner = Standing.Owner.Value;
    Claim.OwnerBoot = Standing.OwnerBoot.Value;
    carry(Out, LogOffset{Standing.Current.Value}).__set_Claim(Claim);
    if (!Standing.Released)
      continue;
    wire::ReleaseRecord Release;
    Release.Shard = Shard.Value;
    Release.Epoch = Standing.Current.Value;
    Release.Successor = Standing.Successor.Value;
    carry(Out, LogOffset{Standing.Current.Value}).__set_Release(Release);
  }
  for (const auto &[Endpoint, Standing] : this->Boots) {
    for (const int64_t Boot : Standing.Earlier)
      carry(Out, LogOffset{0})
          .__set_Boot(bootRecord(Endpoint, Standing.Host, Boot));
    carry(Out, Standing.Fence)
        .__set_Boot(bootRecord(Endpoint, Standing.Host, Standing.Boot.Value));
  }
}

void LogFold::exportTables(wire::SnapshotState &Out) const {
  if (this->Config.Offset != NoOffset) {
    wire::ConfigRecord Config;
    Config.PublishId = this->ConfigPublishId;
    Config.__set_Text(this->Config.Text);
    carry(Out, this->Config.Offset).__set_Config(Config);
  }
  for (const auto &[Digest, State] : this->Quarantined) {
    wire::QuarantineRecord Record;
    Record.Digest = Digest;
    Record.UntilWallMs = State.UntilWallMs;
    Record.Evidence = State.Evidence;
    Record.Released = State.Released;
    carry(Out, State.Offset).__set_Quarantine(Record);
  }
  for (const auto &[Model, State] : this->Versions) {
    wire::VersionRecord Record;
    Record.Model = Model;
    Record.Version = State.Version.Value;
    Record.Location = State.Location;
    carry(Out, State.Offset).__set_Version(Record);
  }
  for (const auto &[Host, State] : this->Drains) {
    wire::DrainRecord Record;
    Record.Host = Host.Value;
    Record.Leave = State.Leave;
    Record.Author = State.Author;
    carry(Out, State.Offset).__set_Drain(Record);
  }
}

wire::SnapshotRecord LogFold::exportSnapshot() const {
  assert(this->Known);
  wire::SnapshotState State;
  this->exportTables(State);
  this->exportOwners(State);
  for (const auto &[Trainer, Steps] : this->Trainers)
    LogFold::exportTrainer(Trainer, Steps, State);
  State.Writers = this->Writers.exportWindows();
  wire::SnapshotRecord Record;
  Record.CoversOffset = this->Applied.Value;
  Record.Scope = WholeScope;
  Record.State = encodeSnapshotState(State);
  return Record;
}

wire::SnapshotRecord LogFold::exportReset() const {
  assert(!this->Known);
  LogFold Fresh(this->Limits);
  Changes Unused;
  for (const PendingRecord &Entry : this->Pending)
    Fresh.applyKnown(Entry.Offset, Entry.Record, Unused);
  wire::SnapshotRecord Record = Fresh.exportSnapshot();
  Record.CoversOffset = this->Applied.Value;
  Record.Reset = true;
  Record.OldestOffset = this->Oldest.Value;
  return Record;
}

} // namespace camphornotch
