/// @file
/// What one record changed in the folded state.

#ifndef CAMPHORNOTCH_CORE_FOLD_FOLD_CHANGE_TYPE_H
#define CAMPHORNOTCH_CORE_FOLD_FOLD_CHANGE_TYPE_H

#include "base/error_type.h"
#include "base/id_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// A published rule file is in force.
struct ConfigAccepted {
  /// Its offset, which is the configuration's number.
  LogOffset Offset;
  /// The hash of its text.
  int64_t Hash = 0;
  /// The publisher's id.
  std::string PublishId;
};

/// A published rule file was refused.
struct ConfigRefused {
  LogOffset Offset;
  std::string PublishId;
  /// The offset that it was based on.
  LogOffset Base;
  /// The offset that was accepted then.
  LogOffset Accepted;
  /// Conflict for a lost race; else the faults of the text.
  std::vector<Error> Faults;
};

/// A claim stands: its offset is the epoch.
struct ClaimWon {
  ShardId Shard;
  HostId Owner;
  BootId OwnerBoot;
  Epoch Won;
  /// The epoch that ended; -1: none.
  Epoch Previous;
};

/// A claim is void, since the shard has another epoch.
struct ClaimLost {
  LogOffset Offset;
  ShardId Shard;
  HostId Loser;
  BootId LoserBoot;
  /// The epoch that stands; -1: none.
  Epoch Standing;
};

/// The owner gave the shard up.
struct ShardReleased {
  ShardId Shard;
  Epoch Ended;
  /// The owner's proposal; any other may claim, too.
  HostId Successor;
};

/// A boot of an agent stands; every earlier one of the endpoint has ended.
struct BootStands {
  EndpointId Endpoint;
  HostId Host;
  BootId Boot;
  /// The fencing number.
  LogOffset Fence;
};

/// A part of a step stands.
struct StepAdded {
  TrainerId Trainer;
  int64_t Step = 0;
  LogOffset Offset;
  /// Groups that the step did not have before.
  std::vector<std::string> NewGroups;
};

/// The trainer holds more for sure.
struct CheckpointAdvanced {
  TrainerId Trainer;
  int64_t Step = 0;
  int64_t Batch = 0;
  bool StepDone = false;
};

/// A record under an epoch that is not the shard's: it counts for nobody.
struct RecordVoid {
  LogOffset Offset;
  ShardId Shard;
  /// The epoch that it was written under.
  Epoch Written;
  /// The epoch that stands; -1: none.
  Epoch Standing;
};

/// The first intent of its key.
struct IntentStands {
  std::string Key;
  LogOffset Offset;
};

/// A later intent of a key: the first one stands.
struct IntentLost {
  std::string Key;
  LogOffset Offset;
  /// The offset of the intent that stands.
  LogOffset Standing;
};

/// The outcome of the intent that stands for a key.
struct OutcomeKnown {
  std::string Key;
  LogOffset IntentOffset;
};

/// A digest was quarantined or released.
struct QuarantineChanged {
  int64_t Digest = 0;
  int64_t UntilWallMs = 0;
  bool Released = false;
  LogOffset Offset;
};

/// A model has a newer version.
struct VersionAnnounced {
  std::string Model;
  WeightVersion Version;
  std::string Location;
  LogOffset Offset;
};

/// An operator ordered a host to leave, or took that back.
struct DrainChanged {
  HostId Host;
  bool Leave = false;
  LogOffset Offset;
};

/// A snapshot was seen. After Restored the whole state is to be read anew
/// from the fold; the changes of buffered records follow in the same list.
struct SnapshotSeen {
  LogOffset Offset;
  LogOffset Covers;
  bool Restored = false;
};

/// A record with a sequence of its writer that was seen before.
struct DuplicateDropped {
  LogOffset Offset;
  BootId Writer;
  int64_t Sequence = 0;
};

/// One change.
using FoldChange =
    std::variant<ConfigAccepted, ConfigRefused, ClaimWon, ClaimLost,
                 ShardReleased, BootStands, StepAdded, CheckpointAdvanced,
                 RecordVoid, IntentStands, IntentLost, OutcomeKnown,
                 QuarantineChanged, VersionAnnounced, DrainChanged,
                 SnapshotSeen, DuplicateDropped>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_FOLD_CHANGE_TYPE_H
