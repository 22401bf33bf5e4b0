/// @file
/// Decides which shards this entry claims, keeps and releases.

#include "core/claims/claim_base.h"

#include "base/hash_func.h"

#include <algorithm>

namespace camphornotch {

std::vector<HostId> rankEntries(const ShardId &Shard,
                                const std::map<HostId, EntryView> &Entries) {
  std::vector<std::pair<uint64_t, HostId>> Weighted;
  for (const auto &[Host, View] : Entries) {
    if (View.Leaving)
      continue;
    Weighted.emplace_back(rendezvousScore(Shard.Value, Host.Value), Host);
  }
  std::sort(Weighted.rbegin(), Weighted.rend());
  std::vector<HostId> Ranked;
  Ranked.reserve(Weighted.size());
  for (auto &[Weight, Host] : Weighted)
    Ranked.push_back(std::move(Host));
  return Ranked;
}

ClaimController::ClaimController(ClaimSettings Settings)
    : Settings(std::move(Settings)) {
  const EntryView Self{this->Settings.Self, this->Settings.Boot, false};
  this->Entries[Self.Host] = Self;
}

std::vector<ClaimAction> ClaimController::handle(const ClaimEvent &Event,
                                                 Millis Now) {
  Actions Out;
  std::visit([&](const auto &Known) { this->on(Known, Now, Out); }, Event);
  return Out;
}

void ClaimController::load(const std::map<ShardId, ShardClaim> &Claims) {
  for (const auto &[Name, Claim] : Claims)
    this->Shards[Name].View =
        ShardView{Claim.Current, Claim.Owner, Claim.OwnerBoot, Claim.Released,
                  Claim.Successor};
}

Millis ClaimController::nextDeadline() const {
  if (!this->LogUp || this->Stopping)
    return Never;
  Millis Next = Never;
  for (const auto &[Name, State] : this->Shards) {
    if (State.OwnerlessSince == Never)
      continue;
    const Millis Delay = this->claimDelay(Name, State.View);
    if (Delay == Never)
      continue;
    Millis Due = State.OwnerlessSince + Delay;
    if (State.ClaimedAt >= Millis{0})
      Due = std::max(Due, State.ClaimedAt + this->Settings.ClaimRetry);
    Next = std::min(Next, Due);
  }
  return Next;
}

const ShardView *ClaimController::find(const ShardId &Shard) const {
  const auto Found = this->Shards.find(Shard);
  return Found == this->Shards.end() ? nullptr : &Found->second.View;
}

bool ClaimController::owns(const ShardId &Shard) const {
  const auto Found = this->Shards.find(Shard);
  return Found != this->Shards.end() && Found->second.Held;
}

HostId ClaimController::ownerOrCandidate(const ShardId &Shard) const {
  const ShardView *View = this->find(Shard);
  if (View && this->hasLiveOwner(*View))
    return View->Owner;
  if (View && View->Released && this->Entries.contains(View->Successor))
    return View->Successor;
  const auto Ranked = rankEntries(Shard, this->Entries);
  return Ranked.empty() ? HostId{} : Ranked.front();
}

void ClaimController::on(const MembersChanged &Event, Millis Now,
                         Actions &Out) {
  const bool Leaving = this->Stopping;
  this->Entries.clear();
  for (const EntryView &View : Event.Entries)
    this->Entries[View.Host] = View;
  // This process knows its own boot better than any list.
  EntryView &Self = this->Entries[this->Settings.Self];
  Self.Host = this->Settings.Self;
  Self.Boot = this->Settings.Boot;
  Self.Leaving = Self.Leaving || Leaving;
  for (const auto &[Name, State] : this->Shards)
    this->review(Name, Now, Out);
}

void ClaimController::on(const ShardNeeded &Event, Millis Now, Actions &Out) {
  this->Shards.try_emplace(Event.Shard);
  this->review(Event.Shard, Now, Out);
}

void ClaimController::on(const EpochSeen &Event, Millis Now, Actions &Out) {
  ShardState &State = this->Shards[Event.Shard];
  if (Event.Seen <= State.View.CurrentEpoch)
    return;
  State.HighestSeen = std::max(State.HighestSeen, Event.Seen);
  drop(Event.Shard, State, Out);
  this->review(Event.Shard, Now, Out);
}

void ClaimController::on(const StopRequested & /*Event*/, Millis /*Now*/,
                         Actions &Out) {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->Entries[this->Settings.Self].Leaving = true;
  for (auto &[Name, State] : this->Shards)
    if (State.Held)
      this->release(Name, State, Out);
  this->checkStopped(Out);
}

void ClaimController::on(const RecordCommitted &Event, Millis Now,
                         Actions &Out) {
  if (Event.Record.__isset.Claim)
    this->foldClaim(Event.Offset, Event.Record.Claim, Now, Out);
  if (Event.Record.__isset.Release)
    this->foldRelease(Event.Record.Release, Now, Out);
}

void ClaimController::on(const LogStatus &Event, Millis Now, Actions &Out) {
  this->LogUp = Event.Up;
  for (const auto &[Name, State] : this->Shards)
    this->review(Name, Now, Out);
}

void ClaimController::on(const Tick & /*Event*/, Millis Now, Actions &Out) {
  for (const auto &[Name, State] : this->Shards)
    this->review(Name, Now, Out);
}

void ClaimController::foldClaim(LogOffset Offset,
                                const wire::ClaimRecord &Claim, Millis Now,
                                Actions &Out) {
  const ShardId Name{Claim.Shard};
  ShardState &State = this->Shards[Name];
  if (!claimStands(State.View.CurrentEpoch, Claim))
    return;
  const bool Mine = Claim.Owner == this->Settings.Self.Value &&
                    Claim.OwnerBoot == this->Settings.Boot.Value;
  if (!Mine)
    drop(Name, State, Out);
  State.View = ShardView{Epoch{Offset.Value}, HostId{Claim.Owner},
                         BootId{Claim.OwnerBoot}, false, HostId{}};
  State.ClaimedAt = Millis{-1};
  State.OwnerlessSince = Never;
  if (Mine) {
    State.Held = true;
    State.Releasing = false;
    Out.emplace_back(ShardGained{Name, State.View.CurrentEpoch});
    if (this->Stopping)
      this->release(Name, State, Out);
  }
  this->review(Name, Now, Out);
  this->checkStopped(Out);
}

void ClaimController::foldRelease(const wire::ReleaseRecord &Release,
                                  Millis Now, Actions &Out) {
  const ShardId Name{Release.Shard};
  ShardState &State = this->Shards[Name];
  if (Release.Epoch != State.View.CurrentEpoch.Value)
    return;
  State.View.Released = true;
  State.View.Successor = HostId{Release.Successor};
  drop(Name, State, Out);
  this->review(Name, Now, Out);
  this->checkStopped(Out);
}

void ClaimController::release(const ShardId &Name, ShardState &State,
                              Actions &Out) {
  if (State.Releasing)
    return;
  State.Releasing = true;
  wire::ReleaseRecord Release;
  Release.Shard = Name.Value;
  Release.Epoch = State.View.CurrentEpoch.Value;
  const auto Ranked = rankEntries(Name, this->Entries);
  if (!Ranked.empty())
    Release.Successor = Ranked.front().Value;
  wire::LogRecord Record;
  Record.__set_Release(Release);
  Out.emplace_back(AppendRecord{std::move(Record)});
}

void ClaimController::review(const ShardId &Name, Millis Now, Actions &Out) {
  ShardState &State = this->Shards[Name];
  // An owner that stepped down before a higher epoch, which it has not read,
  // claims again: the claim is void if there is a higher one.
  const bool SteppedDown =
      !State.Held && State.View.Owner == this->Settings.Self;
  if (this->hasLiveOwner(State.View) && !SteppedDown) {
    State.OwnerlessSince = Never;
    return;
  }
  if (State.OwnerlessSince == Never)
    State.OwnerlessSince = Now;
  if (this->Stopping || !this->LogUp)
    return;
  const Millis Delay = this->claimDelay(Name, State.View);
  if (Delay == Never || Now < State.OwnerlessSince + Delay)
    return;
  const bool Waiting = State.ClaimedAt >= Millis{0};
  if (Waiting && Now < State.ClaimedAt + this->Settings.ClaimRetry)
    return;
  this->claim(Name, State, Now, Out);
}

void ClaimController::claim(const ShardId &Name, ShardState &State, Millis Now,
                            Actions &Out) {
  State.ClaimedAt = Now;
  wire::ClaimRecord Claim;
  Claim.Shard = Name.Value;
  Claim.Owner = this->Settings.Self.Value;
  Claim.OwnerBoot = this->Settings.Boot.Value;
  Claim.PreviousEpoch = State.View.CurrentEpoch.Value;
  wire::LogRecord Record;
  Record.__set_Claim(Claim);
  Out.emplace_back(AppendRecord{std::move(Record)});
#ifdef CAMPHORNOTCH_MUTATION_CLAIM_BEFORE_READ_BACK
  State.Held = true;
  Out.emplace_back(ShardGained{Name, Epoch{State.View.CurrentEpoch.Value + 1}});
#endif
}

void ClaimController::drop(const ShardId &Name, ShardState &State,
                           Actions &Out) {
  if (!State.Held)
    return;
  State.Held = false;
  State.Releasing = false;
  Out.emplace_back(ShardLost{Name, State.View.CurrentEpoch});
}

void ClaimController::checkStopped(Actions &Out) {
  if (!this->Stopping || this->StopTold)
    return;
  const bool Holding =
      std::any_of(this->Shards.begin(), this->Shards.end(),
                  [](const auto &Entry) { return Entry.second.Held; });
  if (Holding)
    return;
  this->StopTold = true;
  Out.emplace_back(StopReady{});
}

bool ClaimController::hasLiveOwner(const ShardView &View) const {
  if (View.CurrentEpoch == Epoch{-1} || View.Released)
    return false;
  const auto Found = this->Entries.find(View.Owner);
  if (Found == this->Entries.end())
    return false;
  const BootId Boot = Found->second.Boot;
  return Boot == BootId{0} || Boot == View.OwnerBoot;
}

Millis ClaimController::claimDelay(const ShardId &Name,
                                   const ShardView &View) const {
  const auto Ranked = rankEntries(Name, this->Entries);
  const auto Place =
      std::find(Ranked.begin(), Ranked.end(), this->Settings.Self);
  if (Place == Ranked.end())
    return Never;
  if (View.Released && View.Successor == this->Settings.Self)
    return Millis{0};
  Millis Delay = this->Settings.RankDelay * (Place - Ranked.begin());
  if (View.Released && this->Entries.contains(View.Successor))
    Delay += this->Settings.RankDelay;
  // A list that misses the owner may be wrong; a new boot on its host is not.
  const bool Missing = View.CurrentEpoch != Epoch{-1} && !View.Released &&
                       !this->Entries.contains(View.Owner);
  if (Missing)
    Delay += this->Settings.OwnerGrace;
  return Delay;
}

bool claimStands(Epoch Current, const wire::ClaimRecord &Claim) {
#ifdef CAMPHORNOTCH_MUTATION_IGNORE_EPOCH
  return Claim.PreviousEpoch <= Current.Value;
#else
  return Claim.PreviousEpoch == Current.Value;
#endif
}

} // namespace camphornotch
