/// @file
/// Tests of claims, releases and their order.

#include "core/claims/claim_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The shard that the tests claim.
const ShardId Shard{"trainer/t"};

/// One entry's controller with two members present.
struct ClaimFixture {
  ClaimController Claims{ClaimSettings{HostId{"a"}, BootId{1}}};
  Millis Now{0};

  /// @param Event what happens.
  /// @return the actions of one kind.
  template <typename ActionT>
  std::vector<ActionT> actions(const ClaimEvent &Event) {
    std::vector<ActionT> Found;
    for (const ClaimAction &Action : this->Claims.handle(Event, this->Now))
      if (const auto *Match = std::get_if<ActionT>(&Action))
        Found.push_back(*Match);
    return Found;
  }

  /// @param Hosts the entries present, each with boot 1.
  /// @return what is appended.
  std::vector<AppendRecord> members(const std::vector<std::string> &Hosts) {
    MembersChanged Event;
    for (const std::string &Host : Hosts)
      Event.Entries.push_back(EntryView{HostId{Host}, BootId{1}});
    return this->actions<AppendRecord>(Event);
  }
};

/// @param Offset the record's offset.
/// @param Owner who claims.
/// @param Previous the epoch that it replaces.
/// @return the event.
RecordCommitted claimed(int64_t Offset, const std::string &Owner,
                        int64_t Previous) {
  wire::ClaimRecord Claim;
  Claim.Shard = Shard.Value;
  Claim.Owner = Owner;
  Claim.OwnerBoot = 1;
  Claim.PreviousEpoch = Previous;
  wire::LogRecord Record;
  Record.__set_Claim(Claim);
  return RecordCommitted{LogOffset{Offset}, Record};
}

} // namespace

Test(claim, unowned_shard_is_claimed_and_held_after_read_back) {
  ClaimFixture F;
  const auto Appends = F.actions<AppendRecord>(ShardNeeded{Shard});
  cr_assert(Appends.size() == 1);
  cr_assert(!F.Claims.owns(Shard));
  const auto Gained = F.actions<ShardGained>(claimed(5, "a", -1));
  cr_assert(Gained.size() == 1);
  cr_assert(Gained[0].NewEpoch == Epoch{5});
  cr_assert(F.Claims.owns(Shard));
}

Test(claim, lost_race_is_void) {
  ClaimFixture F;
  F.members({"a", "b"});
  F.actions<ShardGained>(claimed(5, "b", -1));
  cr_assert(F.actions<ShardGained>(claimed(6, "a", -1)).empty());
  cr_assert(F.Claims.find(Shard)->Owner == HostId{"b"});
}

Test(claim, owner_gone_waits_grace_then_claims_on_its_epoch) {
  ClaimFixture F;
  F.members({"a", "b"});
  F.actions<ShardGained>(claimed(5, "b", -1));
  cr_assert(F.members({"a"}).empty());
  F.Now = F.Claims.nextDeadline();
  cr_assert(F.Now == Millis{1000});
  const auto Appends = F.actions<AppendRecord>(Tick{});
  cr_assert(Appends.size() == 1);
  cr_assert(Appends[0].Record.Claim.PreviousEpoch == 5);
}

Test(claim, log_outage_keeps_owner_and_claims_nothing) {
  ClaimFixture F;
  F.members({"a", "b"});
  F.actions<ShardGained>(claimed(5, "b", -1));
  F.actions<AppendRecord>(LogStatus{false});
  F.members({"a"});
  F.Now = seconds(60);
  cr_assert(F.actions<AppendRecord>(Tick{}).empty());
  cr_assert(F.Claims.nextDeadline() == Never);
}

Test(claim, higher_epoch_seen_steps_down) {
  ClaimFixture F;
  F.actions<ShardGained>(claimed(5, "a", -1));
  cr_assert(F.actions<ShardLost>(EpochSeen{Shard, Epoch{9}}).size() == 1);
  cr_assert(!F.Claims.owns(Shard));
}

Test(claim, paused_owner_learns_its_loss_from_the_log) {
  ClaimFixture F;
  F.members({"a", "b"});
  F.actions<ShardGained>(claimed(5, "a", -1));
  cr_assert(F.actions<ShardLost>(claimed(8, "b", 5)).size() == 1);
  cr_assert(F.Claims.ownerOrCandidate(Shard) == HostId{"b"});
}

Test(claim, graceful_stop_releases_to_successor_and_waits_for_read_back) {
  ClaimFixture F;
  F.members({"a", "b"});
  F.actions<ShardGained>(claimed(5, "a", -1));
  const auto Appends = F.actions<AppendRecord>(StopRequested{});
  cr_assert(Appends.size() == 1);
  cr_assert(Appends[0].Record.Release.Successor == "b");
  cr_assert(F.Claims.owns(Shard));
  const RecordCommitted Released{LogOffset{6}, Appends[0].Record};
  cr_assert(F.actions<StopReady>(Released).size() == 1);
}

Test(claim, restarted_owner_claims_its_dead_boot_at_once) {
  ClaimFixture F;
  wire::LogRecord Old = claimed(5, "a", -1).Record;
  Old.Claim.OwnerBoot = 77;
  const auto Appends =
      F.actions<AppendRecord>(RecordCommitted{LogOffset{5}, Old});
  cr_assert(Appends.size() == 1);
  cr_assert(Appends[0].Record.Claim.PreviousEpoch == 5);
}
