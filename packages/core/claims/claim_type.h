/// @file
/// Events and actions of the claim controller.

#ifndef CAMPHORNOTCH_CORE_CLAIMS_CLAIM_TYPE_H
#define CAMPHORNOTCH_CORE_CLAIMS_CLAIM_TYPE_H

#include "base/millis_type.h"
#include "core/claims/log_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// One entry as membership sees it.
struct EntryView {
  /// Its host.
  HostId Host;
  /// The boot that answers there; 0: not known yet.
  BootId Boot;
  /// Whether it is going away: it keeps its shards but claims no new ones.
  bool Leaving = false;
};

/// Who owns a shard, as folded from the log.
struct ShardView {
  /// The claim's offset; -1: never claimed.
  Epoch CurrentEpoch{-1};
  /// The owner's host.
  HostId Owner;
  /// The owner's boot.
  BootId OwnerBoot;
  /// Whether the owner has released it.
  bool Released = false;
  /// Whom the owner named when it released it; may be empty.
  HostId Successor;
};

/// Settings of the claim controller.
struct ClaimSettings {
  /// This process's host.
  HostId Self;
  /// This process's boot.
  BootId Boot;
  /// How long an owner is missing before the first-ranked entry claims.
  Millis OwnerGrace{1000};
  /// How much longer each lower-ranked entry waits.
  Millis RankDelay{500};
  /// After this long an unanswered claim is made anew.
  Millis ClaimRetry{2000};
};

/// Event: the entries now believed present.
struct MembersChanged {
  /// All of them, this one included.
  std::vector<EntryView> Entries;
};

/// Event: somebody wants this shard owned.
struct ShardNeeded {
  /// The shard.
  ShardId Shard;
};

/// Event: a cursor or a peer showed an epoch; stale owners learn from it.
struct EpochSeen {
  /// The shard.
  ShardId Shard;
  /// The epoch shown.
  Epoch Seen{-1};
};

/// Event: the process stops gracefully; release everything.
struct StopRequested {};

/// Action: this process owns the shard from now on.
struct ShardGained {
  /// The shard.
  ShardId Shard;
  /// The epoch to write records under.
  Epoch NewEpoch{-1};
};

/// Action: this process owns the shard no longer.
struct ShardLost {
  /// The shard.
  ShardId Shard;
  /// The epoch that ended.
  Epoch OldEpoch{-1};
};

/// Action: all releases are read back; the process may exit.
struct StopReady {};

/// What the claim controller is told.
using ClaimEvent =
    std::variant<MembersChanged, ShardNeeded, EpochSeen, StopRequested,
                 RecordCommitted, LogStatus, Tick>;
/// What the claim controller asks for.
using ClaimAction =
    std::variant<AppendRecord, ShardGained, ShardLost, StopReady>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CLAIMS_CLAIM_TYPE_H
