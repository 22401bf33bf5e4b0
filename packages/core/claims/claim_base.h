/// @file
/// Decides which shards this entry claims, keeps and releases.

#ifndef CAMPHORNOTCH_CORE_CLAIMS_CLAIM_BASE_H
#define CAMPHORNOTCH_CORE_CLAIMS_CLAIM_BASE_H

#include "core/claims/claim_type.h"
#include "core/fold/fold_state_type.h"

#include <map>

namespace camphornotch {

/// Claims shards whose owner is gone, in the order of rendezvous hashing over
/// the live entries; the log decides between claimants.
class ClaimController {
public:
  /// @param Settings who this process is, and its delays.
  explicit ClaimController(ClaimSettings Settings);

  /// @param Event what happened.
  /// @param Now the present.
  /// @return what is to be done.
  std::vector<ClaimAction> handle(const ClaimEvent &Event, Millis Now);

  /// Takes the claims over from a fold that was restored from a snapshot.
  /// @param Claims the claims that stand.
  void load(const std::map<ShardId, ShardClaim> &Claims);

  /// @return when handle(Tick{}, Now) is due.
  Millis nextDeadline() const;

  /// @param Shard a shard.
  /// @return its state, or nullptr if neither needed nor claimed.
  const ShardView *find(const ShardId &Shard) const;

  /// @param Shard a shard.
  /// @return whether this process owns it as far as it has read.
  bool owns(const ShardId &Shard) const;

  /// @param Shard a shard.
  /// @return where to forward a request: the owner if it is present, or the
  ///         entry that should claim the shard next; empty if nobody is there.
  HostId ownerOrCandidate(const ShardId &Shard) const;

private:
  /// One shard and this entry's plans for it.
  struct ShardState {
    /// As folded.
    ShardView View;
    /// Whether ShardGained was given and ShardLost not yet.
    bool Held = false;
    /// Whether a release under the present epoch was appended.
    bool Releasing = false;
    /// Since when the shard has lacked a live owner; Never: it has one.
    Millis OwnerlessSince = Never;
    /// When the last claim was appended; -1: none under this epoch.
    Millis ClaimedAt{-1};
    /// The largest epoch ever shown.
    Epoch HighestSeen{-1};
  };

  /// Actions under construction.
  using Actions = std::vector<ClaimAction>;

  /// @name Event handlers
  /// Each takes the event, the present and receives actions.
  /// @{
  void on(const MembersChanged &Event, Millis Now, Actions &Out);
  void on(const ShardNeeded &Event, Millis Now, Actions &Out);
  void on(const EpochSeen &Event, Millis Now, Actions &Out);
  void on(const StopRequested &Event, Millis Now, Actions &Out);
  void on(const RecordCommitted &Event, Millis Now, Actions &Out);
  void on(const LogStatus &Event, Millis Now, Actions &Out);
  void on(const Tick &Event, Millis Now, Actions &Out);
  /// @}

  /// Folds one claim.
  /// @param Offset its offset.
  /// @param Claim the claim.
  /// @param Now the present.
  /// @param Out receives gains and losses.
  void foldClaim(LogOffset Offset, const wire::ClaimRecord &Claim, Millis Now,
                 Actions &Out);
  /// Folds one release.
  /// @param Release the release.
  /// @param Now the present.
  /// @param Out receives losses.
  void foldRelease(const wire::ReleaseRecord &Release, Millis Now,
                   Actions &Out);
  /// Appends the release of a shard.
  /// @param Name the shard.
  /// @param State its state.
  /// @param Out receives the release.
  void release(const ShardId &Name, ShardState &State, Actions &Out);
  /// Appends a claim of a shard.
  /// @param Name the shard.
  /// @param State its state.
  /// @param Now the present.
  /// @param Out receives the claim.
  void claim(const ShardId &Name, ShardState &State, Millis Now, Actions &Out);
  /// Notes whether a shard has a live owner and claims it if it is time.
  /// @param Name the shard.
  /// @param Now the present.
  /// @param Out receives claims.
  void review(const ShardId &Name, Millis Now, Actions &Out);
  /// Ends this process's ownership.
  /// @param Name the shard.
  /// @param State its state.
  /// @param Out receives the loss.
  static void drop(const ShardId &Name, ShardState &State, Actions &Out);
  /// Tells when every release has been read back.
  /// @param Out receives StopReady, once.
  void checkStopped(Actions &Out);
  /// @param View a shard's state.
  /// @return whether the boot that claimed it is present and has not released.
  bool hasLiveOwner(const ShardView &View) const;
  /// @param Name a shard.
  /// @param View its state.
  /// @return how long this entry waits once the shard has no owner; Never if
  ///         it is not a candidate.
  Millis claimDelay(const ShardId &Name, const ShardView &View) const;

  /// Who this process is, and its delays.
  ClaimSettings Settings;
  /// The entries present, by host.
  std::map<HostId, EntryView> Entries;
  /// The shards that are needed or claimed.
  std::map<ShardId, ShardState> Shards;
  /// Whether the log answers.
  bool LogUp = true;
  /// Whether the process is stopping.
  bool Stopping = false;
  /// Whether StopReady has been given.
  bool StopTold = false;
};

/// Ranks entries for a shard by rendezvous hashing.
/// @param Shard the shard.
/// @param Entries the candidates.
/// @return their hosts, the first choice first; leaving entries left out.
std::vector<HostId> rankEntries(const ShardId &Shard,
                                const std::map<HostId, EntryView> &Entries);

/// @param Current the shard's epoch before the record; -1: none seen.
/// @param Claim a claim.
/// @return whether it takes the shard over.
bool claimStands(Epoch Current, const wire::ClaimRecord &Claim);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CLAIMS_CLAIM_BASE_H
