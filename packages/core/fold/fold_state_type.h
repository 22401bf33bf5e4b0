/// @file
/// The parts of the state that is folded from the log.

#ifndef CAMPHORNOTCH_CORE_FOLD_FOLD_STATE_TYPE_H
#define CAMPHORNOTCH_CORE_FOLD_FOLD_STATE_TYPE_H

#include "base/id_type.h"
#include "camphornotch_types.h"
#include "rules/rule_set_type.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphornotch {

/// The configuration in force.
struct AcceptedConfig {
  /// The offset of its record; NoOffset: nothing was published yet.
  LogOffset Offset = NoOffset;
  /// The hash of the text.
  int64_t Hash = 0;
  /// The whole rule file.
  std::string Text;
  /// The parsed rules; never null.
  std::shared_ptr<const RuleSet> Rules = std::make_shared<RuleSet>();
};

/// Who owns a shard.
struct ShardClaim {
  HostId Owner;
  BootId OwnerBoot;
  /// The offset of the claim that stands.
  Epoch Current{-1};
  /// The owner gave it up: anybody may claim with this epoch as previous.
  bool Released = false;
  /// Whom the owner proposed.
  HostId Successor;
};

/// The standing boot of an endpoint's agent.
struct BootStanding {
  HostId Host;
  BootId Boot;
  /// The offset of the boot record: the fencing number.
  LogOffset Fence = NoOffset;
  /// Earlier boots, the newest last; their records never stand again.
  std::vector<int64_t> Earlier;
};

/// A submitted step.
struct StepState {
  std::string Model;
  /// The groups, in the order of the log. A sample's slot number is its
  /// place in the sequence of all samples of all groups.
  std::vector<wire::GroupSpec> Groups;
  /// The offset of the step's newest record.
  LogOffset Offset = NoOffset;
  /// Batches up to this one are acknowledged; -1: none.
  int64_t Batch = -1;
  /// Slot numbers that the trainer holds for sure.
  std::set<int64_t> Delivered;
};

/// What is known of a trainer.
struct TrainerState {
  /// The steps that are not done, by number.
  std::map<int64_t, StepState> Steps;
  /// The highest step that is done; -1: none.
  int64_t HighestDone = -1;
};

/// A call that may run at most once.
struct IntentState {
  /// The offset of the intent that stands.
  LogOffset Offset = NoOffset;
  wire::IntentRecord Intent;
  /// The outcome, once known.
  std::optional<wire::OutcomeRecord> Outcome;
};

/// A digest that must not run.
struct QuarantineState {
  int64_t UntilWallMs = 0;
  std::string Evidence;
  bool Released = false;
  LogOffset Offset = NoOffset;
};

/// The newest version of a model.
struct VersionState {
  WeightVersion Version{-1};
  std::string Location;
  LogOffset Offset = NoOffset;
};

/// An operator's order to a host.
struct DrainState {
  bool Leave = false;
  std::string Author;
  LogOffset Offset = NoOffset;
};

/// Bounds of the fold's memory.
struct FoldLimits {
  /// Writers whose sequences are remembered.
  size_t Writers = 16384;
  /// Keys of calls that may run at most once.
  size_t Intents = 100000;
  /// Bodies of recorded answers; older ones are left out beyond this.
  size_t OutcomeBytes = size_t{32} << 20;
  /// Digests.
  size_t Quarantined = 10000;
  /// Hosts with a drain order.
  size_t Drains = 10000;
  /// Steps of one trainer that are not done.
  size_t StepsPerTrainer = 16;
  /// Records kept while the state is not known yet.
  size_t PendingBytes = size_t{64} << 20;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_FOLD_STATE_TYPE_H
