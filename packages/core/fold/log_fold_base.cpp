/// @file
/// The fold of the log: order of records, dispatch by kind, and queries.

#include "core/fold/log_fold_base.h"

#include <cassert>

namespace camphornotch {

namespace {

/// @param Table a map.
/// @param Key a key.
/// @return its value; null if there is none.
template <typename MapT, typename KeyT>
const typename MapT::mapped_type *findIn(const MapT &Table, const KeyT &Key) {
  const auto Found = Table.find(Key);
  return Found == Table.end() ? nullptr : &Found->second;
}

} // namespace

LogFold::LogFold(FoldLimits Limits) : Limits(Limits), Writers(Limits.Writers) {}

void LogFold::startAt(LogOffset Oldest) {
  assert(Oldest.Value >= 1);
  this->clearState();
  this->Intents.clear();
  this->IntentOrder.clear();
  this->OutcomeOrder.clear();
  this->OutcomeBytes = 0;
  this->IntentFloor = LogOffset{0};
  this->Pending.clear();
  this->PendingBytes = 0;
  this->LastSnapshot = NoOffset;
  this->LastSnapshotWall = Millis{0};
  this->Oldest = Oldest;
  this->Applied = LogOffset{Oldest.Value - 1};
  this->MustCover = this->Applied;
  this->Known = Oldest.Value == 1;
}

std::vector<FoldChange> LogFold::apply(LogOffset Offset,
                                       const wire::LogRecord &Record) {
  Changes Out;
  if (Offset <= this->Applied)
    return Out;
  if (this->Applied == LogOffset{0} && Offset.Value > 1)
    this->startAt(Offset);
  this->Applied = Offset;
  if (Record.__isset.Snapshot)
    this->applySnapshot(Offset, Record.Snapshot, Out);
  else if (Record.__isset.Intent || Record.__isset.Outcome)
    this->applyCall(Offset, Record, Out);
  else if (this->Known)
    this->applyKnown(Offset, Record, Out);
  else
    this->keepPending(Offset, Record);
  return Out;
}

void LogFold::skip(LogOffset Offset) {
  if (Offset <= this->Applied)
    return;
  if (this->Applied == LogOffset{0} && Offset.Value > 1)
    this->startAt(Offset);
  this->Applied = Offset;
}

void LogFold::applyKnown(LogOffset Offset, const wire::LogRecord &Record,
                         Changes &Out) {
  const BootId Writer{Record.WriterBoot};
  if (!this->Writers.firstSight(Writer, Record.Sequence, Offset)) {
    Out.push_back(DuplicateDropped{Offset, Writer, Record.Sequence});
    return;
  }
  this->applyBody(Offset, Record, Out);
}

// The first intent of a key stands whoever wrote it, so the sequences of
// writers do not matter; nor need the rest of the state be known, so calls
// are applied before a snapshot comes and are in none.
void LogFold::applyCall(LogOffset Offset, const wire::LogRecord &Record,
                        Changes &Out) {
  if (Record.__isset.Intent)
    this->applyIntent(Offset, Record.Intent, Out);
  if (Record.__isset.Outcome)
    this->applyOutcome(Record.Outcome, Out);
}

void LogFold::applyBody(LogOffset Offset, const wire::LogRecord &Record,
                        Changes &Out) {
  if (Record.__isset.Config)
    this->applyConfig(Offset, Record.Config, Out);
  if (Record.__isset.Claim)
    this->applyClaim(Offset, Record.Claim, Out);
  if (Record.__isset.Release)
    this->applyRelease(Offset, Record.Release, Out);
  if (Record.__isset.Boot)
    this->applyBoot(Offset, Record.Boot, Out);
  if (Record.__isset.Step)
    this->applyStep(Offset, Record.Step, Out);
  if (Record.__isset.Checkpoint)
    this->applyCheckpoint(Offset, Record.Checkpoint, Out);
  if (Record.__isset.Quarantine)
    this->applyQuarantine(Offset, Record.Quarantine, Out);
  if (Record.__isset.Version)
    this->applyVersion(Offset, Record.Version, Out);
  if (Record.__isset.Drain)
    this->applyDrain(Offset, Record.Drain, Out);
}

const ShardClaim *LogFold::claim(const ShardId &Shard) const {
  return findIn(this->Claims, Shard);
}

const BootStanding *LogFold::boot(const EndpointId &Endpoint) const {
  return findIn(this->Boots, Endpoint);
}

const TrainerState *LogFold::trainer(const TrainerId &Trainer) const {
  return findIn(this->Trainers, Trainer);
}

const IntentState *LogFold::intent(std::string_view Key) const {
  return findIn(this->Intents, std::string(Key));
}

const QuarantineState *LogFold::quarantine(int64_t Digest) const {
  return findIn(this->Quarantined, Digest);
}

const VersionState *LogFold::version(std::string_view Model) const {
  return findIn(this->Versions, Model);
}

} // namespace camphornotch
