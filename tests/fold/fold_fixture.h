/// @file
/// Builders of log records for the tests of the fold.

#ifndef CAMPHORNOTCH_TESTS_FOLD_FOLD_FIXTURE_H
#define CAMPHORNOTCH_TESTS_FOLD_FOLD_FIXTURE_H

#include "core/fold/log_fold_base.h"

#include <string>
#include <vector>

namespace camphornotch {

/// A rule file with one rule, told apart by a number.
/// @param Number a field's value.
/// @return the file.
inline std::string ruleText(int Number) {
  return "[hosts]\n* = leave_grace_ms=" + std::to_string(Number) +
         " ; asked by Morag\n";
}

/// @param Base the offset it is based on.
/// @param Text the rule file.
/// @param PublishId the publisher's id.
/// @return the record.
inline wire::LogRecord configRecord(int64_t Base, const std::string &Text,
                                    const std::string &PublishId = "p") {
  wire::ConfigRecord Config;
  Config.BaseOffset = Base;
  Config.PublishId = PublishId;
  Config.__set_Text(Text);
  wire::LogRecord Record;
  Record.__set_Config(Config);
  return Record;
}

/// @param Shard the shard.
/// @param Owner the claimant.
/// @param Previous the epoch it means to follow.
/// @return the record.
inline wire::LogRecord claimRecord(const std::string &Shard,
                                   const std::string &Owner, int64_t Previous) {
  wire::ClaimRecord Claim;
  Claim.Shard = Shard;
  Claim.Owner = Owner;
  Claim.PreviousEpoch = Previous;
  wire::LogRecord Record;
  Record.__set_Claim(Claim);
  return Record;
}

/// @param Trainer the trainer.
/// @param Epoch the epoch it is written under.
/// @param Step the step.
/// @param Group the only group.
/// @return the record.
inline wire::LogRecord stepRecord(const std::string &Trainer, int64_t Epoch,
                                  int64_t Step, const std::string &Group) {
  wire::StepRecord Body;
  Body.Trainer = Trainer;
  Body.Epoch = Epoch;
  Body.Step = Step;
  Body.Groups.emplace_back();
  Body.Groups.back().Group = Group;
  Body.Groups.back().Samples = 2;
  wire::LogRecord Record;
  Record.__set_Step(Body);
  return Record;
}

/// @param Trainer the trainer.
/// @param Epoch the epoch it is written under.
/// @param Step the step.
/// @param Slot the one slot delivered.
/// @param Done whether the step is done.
/// @return the record.
inline wire::LogRecord checkpointRecord(const std::string &Trainer,
                                        int64_t Epoch, int64_t Step,
                                        int64_t Slot, bool Done) {
  wire::CheckpointRecord Body;
  Body.Trainer = Trainer;
  Body.Epoch = Epoch;
  Body.Step = Step;
  Body.Batch = Slot;
  Body.Delivered.push_back(Slot);
  Body.StepDone = Done;
  wire::LogRecord Record;
  Record.__set_Checkpoint(Body);
  return Record;
}

/// @param Key the idempotency key.
/// @return the record.
inline wire::LogRecord intentRecord(const std::string &Key) {
  wire::IntentRecord Body;
  Body.Key = Key;
  wire::LogRecord Record;
  Record.__set_Intent(Body);
  return Record;
}

/// @param Endpoint the endpoint.
/// @param Boot the agent's boot.
/// @return the record.
inline wire::LogRecord bootRecord(const std::string &Endpoint, int64_t Boot) {
  wire::BootRecord Body;
  Body.Endpoint = Endpoint;
  Body.Boot = Boot;
  wire::LogRecord Record;
  Record.__set_Boot(Body);
  return Record;
}

/// A log and the fold that read it all.
struct FoldedLog {
  /// The records; the first has offset 1.
  std::vector<wire::LogRecord> Records;
  /// The fold.
  LogFold Fold;
  /// The sequence of the last record.
  int64_t LastSequence = 0;

  /// Appends a record as it is.
  /// @param Record the record.
  /// @return what it changed.
  std::vector<FoldChange> appendAsIs(const wire::LogRecord &Record) {
    this->Records.push_back(Record);
    const LogOffset Offset{static_cast<int64_t>(this->Records.size())};
    return this->Fold.apply(Offset, Record);
  }

  /// Appends a record with a writer and the next sequence.
  /// @param Record the record.
  /// @param Writer the writer's boot.
  /// @return what it changed.
  std::vector<FoldChange> append(wire::LogRecord Record, int64_t Writer = 1) {
    Record.WriterBoot = Writer;
    Record.Sequence = ++this->LastSequence;
    return this->appendAsIs(Record);
  }

  /// Appends the snapshot of the present state.
  /// @return what it changed.
  std::vector<FoldChange> appendSnapshot() {
    wire::LogRecord Record;
    Record.__set_Snapshot(this->Fold.exportSnapshot());
    return this->append(Record);
  }

  /// Reads the log with a new fold.
  /// @param Oldest the oldest offset that the log still keeps.
  /// @return that fold.
  LogFold readFrom(int64_t Oldest) const {
    LogFold Late;
    Late.startAt(LogOffset{Oldest});
    for (size_t Index = Oldest - 1; Index < this->Records.size(); ++Index)
      Late.apply(LogOffset{static_cast<int64_t>(Index + 1)},
                 this->Records[Index]);
    return Late;
  }
};

/// @tparam ChangeT the kind of change.
/// @param Changes changes.
/// @return the only change, which must be of that kind; else null.
template <typename ChangeT>
const ChangeT *onlyChange(const std::vector<FoldChange> &Changes) {
  return Changes.size() == 1 ? std::get_if<ChangeT>(&Changes[0]) : nullptr;
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_FOLD_FOLD_FIXTURE_H
