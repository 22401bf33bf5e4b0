/// @file
/// The pure fold of the log: equal records give equal state in every process.

#ifndef CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H
#define CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H

#include "base/millis_type.h"
#include "core/fold/fold_change_type.h"
#include "core/fold/fold_state_type.h"
#include "core/fold/writer_table_base.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphornotch {

/// Folds the records of the log in the order of their offsets.
///
/// A fold that starts behind the first record of the log does not know the
/// state yet: it keeps records until a snapshot that covers all it missed,
/// restores that and applies the kept records that the snapshot does not
/// cover. Until then known() is false and no query is to be trusted. Only
/// intents and outcomes are applied at once: the log itself, and no snapshot,
/// remembers them, for as long as it keeps their records.
class LogFold {
public:
  /// @param Limits bounds of memory; equal in all processes.
  explicit LogFold(FoldLimits Limits = {});

  /// Starts again at the oldest record that the log still keeps: called
  /// before the first record if that is not offset 1, and whenever the log
  /// has dropped records that were not read yet.
  /// @param Oldest the offset of the oldest kept record.
  void startAt(LogOffset Oldest);

  /// Applies one record.
  /// @param Offset its offset.
  /// @param Record the record.
  /// @return what changed, in order. Empty for offsets already applied.
  /// @pre no record between applied() and Offset exists (the log may skip
  ///      numbers, but the caller may not).
  std::vector<FoldChange> apply(LogOffset Offset,
                                const wire::LogRecord &Record);

  /// Steps over a record that could not be decoded.
  /// @param Offset its offset.
  void skip(LogOffset Offset);

  /// Forgets the calls whose intents the log no longer keeps.
  /// @param Oldest the offset of the oldest kept record.
  void expireBefore(LogOffset Oldest);

  /// @return the offset of the last record applied; 0 before the first.
  LogOffset applied() const { return this->Applied; }

  /// @return whether the state is whole, so that queries may be trusted.
  bool known() const { return this->Known; }

  /// @return the configuration in force.
  const AcceptedConfig &config() const { return this->Config; }

  /// @param Shard a shard.
  /// @return its claim; nothing if it was never claimed.
  const ShardClaim *claim(const ShardId &Shard) const;

  /// @return all claims, by shard.
  const std::map<ShardId, ShardClaim> &claims() const { return this->Claims; }

  /// @param Endpoint an endpoint.
  /// @return the boot of its agent that stands; nothing if none.
  const BootStanding *boot(const EndpointId &Endpoint) const;

  /// @return all standing boots, by endpoint.
  const std::map<EndpointId, BootStanding> &boots() const {
    return this->Boots;
  }

  /// @param Trainer a trainer.
  /// @return its steps; nothing if it submitted none.
  const TrainerState *trainer(const TrainerId &Trainer) const;

  /// @param Key an idempotency key.
  /// @return the call that stands for it; nothing if none.
  const IntentState *intent(std::string_view Key) const;

  /// @return the calls known, by key.
  const std::unordered_map<std::string, IntentState> &intents() const {
    return this->Intents;
  }

  /// @return the highest offset of an intent that was forgotten; 0: none.
  LogOffset forgottenIntents() const { return this->IntentFloor; }

  /// @param Digest the digest of a request.
  /// @return its quarantine, which may have been released or run out.
  const QuarantineState *quarantine(int64_t Digest) const;

  /// @return all digests with a quarantine record.
  const std::map<int64_t, QuarantineState> &quarantined() const {
    return this->Quarantined;
  }

  /// @param Model a model.
  /// @return its newest version; nothing if none was announced.
  const VersionState *version(std::string_view Model) const;

  /// @return the newest version of each model.
  const std::map<std::string, VersionState, std::less<>> &versions() const {
    return this->Versions;
  }

  /// @return the drain orders, by host.
  const std::map<HostId, DrainState> &drains() const { return this->Drains; }

  /// @return the offset of the newest snapshot record; NoOffset: none.
  LogOffset lastSnapshot() const { return this->LastSnapshot; }

  /// @return the wall clock of the newest snapshot's writer; 0: none.
  Millis lastSnapshotWall() const { return this->LastSnapshotWall; }

  /// The record that carries the whole state forward.
  /// @return a snapshot that covers everything applied.
  /// @pre known()
  wire::SnapshotRecord exportSnapshot() const;

  /// The record that starts anew when every snapshot has expired. It stands
  /// only if no record comes between and none of those kept is a snapshot.
  /// @return a snapshot of the state of the kept records alone.
  /// @pre !known()
  wire::SnapshotRecord exportReset() const;

private:
  /// A record kept until the state is known.
  struct PendingRecord {
    LogOffset Offset;
    wire::LogRecord Record;
    size_t Bytes = 0;
  };

  /// The list that the changes of one record are put into.
  using Changes = std::vector<FoldChange>;

  // Each apply function takes the record's offset, the record, and the list
  // that takes the changes.
  void applyKnown(LogOffset Offset, const wire::LogRecord &Record,
                  Changes &Out);
  void applyCall(LogOffset Offset, const wire::LogRecord &Record, Changes &Out);
  void applyBody(LogOffset Offset, const wire::LogRecord &Record, Changes &Out);
  void applyConfig(LogOffset Offset, const wire::ConfigRecord &Record,
                   Changes &Out);
  void applyClaim(LogOffset Offset, const wire::ClaimRecord &Record,
                  Changes &Out);
  void applyRelease(LogOffset Offset, const wire::ReleaseRecord &Record,
                    Changes &Out);
  void applyBoot(LogOffset Offset, const wire::BootRecord &Record,
                 Changes &Out);
  void applyStep(LogOffset Offset, const wire::StepRecord &Record,
                 Changes &Out);
  void applyCheckpoint(LogOffset Offset, const wire::CheckpointRecord &Record,
                       Changes &Out);
  void applyIntent(LogOffset Offset, const wire::IntentRecord &Record,
                   Changes &Out);
  void applyOutcome(const wire::OutcomeRecord &Record, Changes &Out);
  void applyQuarantine(LogOffset Offset, const wire::QuarantineRecord &Record,
                       Changes &Out);
  void applyVersion(LogOffset Offset, const wire::VersionRecord &Record,
                    Changes &Out);
  void applyDrain(LogOffset Offset, const wire::DrainRecord &Record,
                  Changes &Out);
  void applySnapshot(LogOffset Offset, const wire::SnapshotRecord &Record,
                     Changes &Out);

  // The same without the checks, for records that are known to stand.
  void standConfig(LogOffset Offset, std::string_view PublishId,
                   std::string Text, RuleSet Rules);
  void standBoot(LogOffset Offset, const wire::BootRecord &Record);
  std::vector<std::string> standStep(LogOffset Offset,
                                     const wire::StepRecord &Record);
  bool standCheckpoint(const wire::CheckpointRecord &Record);
  void standCarried(LogOffset Offset, const wire::LogRecord &Record);

  /// @param Record a configuration based on the accepted one.
  /// @return its whole text.
  Result<std::string> wholeText(const wire::ConfigRecord &Record) const;

  /// @param Offset a record's offset.
  /// @param Shard its shard.
  /// @param Written the epoch it was written under.
  /// @param Out takes RecordVoid if it is void.
  /// @return whether the epoch is the shard's.
  bool underCurrentEpoch(LogOffset Offset, const ShardId &Shard,
                         int64_t Written, Changes &Out) const;

  /// @param Offset the offset of a reset snapshot.
  /// @param Record the snapshot.
  /// @return whether every reader that judges by the log takes it.
  bool resetStands(LogOffset Offset, const wire::SnapshotRecord &Record) const;

  /// Forgets the oldest intent.
  void forgetIntent();
  /// Leaves out bodies of old answers while they are over their bound.
  void boundOutcomes();
  /// Keeps a record until the state is known.
  void keepPending(LogOffset Offset, const wire::LogRecord &Record);
  /// Replaces the state by a snapshot's.
  void restore(const wire::SnapshotState &State);
  /// Applies the kept records.
  /// @param Covers what the snapshot covers.
  /// @param Out takes the changes.
  void replayPending(LogOffset Covers, Changes &Out);
  /// Forgets everything but the calls.
  void clearState();

  /// Appends a trainer's steps to a snapshot.
  /// @param Trainer the trainer.
  /// @param State its steps.
  /// @param Out the snapshot.
  static void exportTrainer(const TrainerId &Trainer, const TrainerState &State,
                            wire::SnapshotState &Out);
  /// Appends claims and boots to a snapshot.
  /// @param Out the snapshot.
  void exportOwners(wire::SnapshotState &Out) const;
  /// Appends configuration, quarantine, versions and drains to a snapshot.
  /// @param Out the snapshot.
  void exportTables(wire::SnapshotState &Out) const;

  /// Bounds of memory.
  FoldLimits Limits;
  /// The offset of the last record applied.
  LogOffset Applied{0};
  /// Where this fold started.
  LogOffset Oldest{1};
  /// A snapshot that restores the state covers at least this.
  LogOffset MustCover{0};
  /// Whether the state is whole.
  bool Known = true;
  /// The configuration in force.
  AcceptedConfig Config;
  /// Its publisher's id.
  std::string ConfigPublishId;
  /// The owner of each shard.
  std::map<ShardId, ShardClaim> Claims;
  /// The standing boot of each endpoint.
  std::map<EndpointId, BootStanding> Boots;
  /// The steps of each trainer.
  std::map<TrainerId, TrainerState> Trainers;
  /// Calls that may run at most once, by key.
  std::unordered_map<std::string, IntentState> Intents;
  /// Their keys, the oldest first.
  std::deque<std::pair<LogOffset, std::string>> IntentOrder;
  /// The highest offset of a forgotten intent.
  LogOffset IntentFloor{0};
  /// Keys whose recorded answer has a body, the oldest first.
  std::deque<std::string> OutcomeOrder;
  /// The size of those bodies.
  size_t OutcomeBytes = 0;
  /// Digests that must not run.
  std::map<int64_t, QuarantineState> Quarantined;
  /// The newest version of each model.
  std::map<std::string, VersionState, std::less<>> Versions;
  /// Drain orders, by host.
  std::map<HostId, DrainState> Drains;
  /// Sequences seen.
  WriterTable Writers;
  /// The newest snapshot record.
  LogOffset LastSnapshot = NoOffset;
  /// When its writer wrote it.
  Millis LastSnapshotWall{0};
  /// Records kept until the state is known.
  std::deque<PendingRecord> Pending;
  /// Their size.
  size_t PendingBytes = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H
