/// @file
/// The pure fold of the log: equal records give equal state in every process.

#ifndef CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H
#define CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H

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
/// cover. Until then known() is false and no query is to be trusted.
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

  void applyKnown(LogOffset Offset, const wire::LogRecord &Record,
                  Changes &Out);
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
  void applyOutcome(LogOffset Offset, const wire::OutcomeRecord &Record,
                    Changes &Out);
  void applyQuarantine(LogOffset Offset, const wire::QuarantineRecord &Record,
                       Changes &Out);
  void applyVersion(LogOffset Offset, const wire::VersionRecord &Record,
                    Changes &Out);
  void applyDrain(LogOffset Offset, const wire::DrainRecord &Record,
                  Changes &Out);
  void applySnapshot(LogOffset Offset, const wire::SnapshotRecord &Record,
                     Changes &Out);
  bool underCurrentEpoch(LogOffset Offset, const ShardId &Shard,
                         int64_t Written, Changes &Out) const;
  void keepPending(LogOffset Offset, const wire::LogRecord &Record);
  void restore(const wire::SnapshotState &State);
  void replayPending(LogOffset Covers, Changes &Out);
  void clearState();

  FoldLimits Limits;
  LogOffset Applied{0};
  LogOffset Oldest{1};
  LogOffset MustCover{0};
  bool Known = true;
  AcceptedConfig Config;
  std::string ConfigPublishId;
  std::map<ShardId, ShardClaim> Claims;
  std::map<EndpointId, BootStanding> Boots;
  std::map<TrainerId, TrainerState> Trainers;
  std::unordered_map<std::string, IntentState> Intents;
  std::deque<std::pair<LogOffset, std::string>> IntentOrder;
  LogOffset IntentFloor{0};
  std::map<int64_t, QuarantineState> Quarantined;
  std::map<std::string, VersionState, std::less<>> Versions;
  std::map<HostId, DrainState> Drains;
  WriterTable Writers;
  LogOffset LastSnapshot = NoOffset;
  std::deque<PendingRecord> Pending;
  size_t PendingBytes = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_LOG_FOLD_BASE_H
