/// @file
/// Tracks the owner of each partition and decides where calls about it go.

#include "core/batch/owner_table_base.h"

#include "core/store/member_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Age at which owners are looked up again although nothing suggests a change:
/// a change of owners shows in the generation, and wrong owners refuse.
constexpr Millis MaxEntryAge{10'000};
/// Time between lookups while entries may be outdated or are missing.
constexpr Millis LookupInterval{300};
/// Time in which a member that refused a partition is not asked about it again.
constexpr Millis RefusalPeriod{300};
/// Time in which a member that did not answer is not asked again: the group
/// removes a dead member within it.
constexpr Millis FailurePeriod{2'000};
/// Time in which callers are told to retry while a partition has no owner or
/// its owner is reading it: a new owner is known and has read within it.
constexpr Millis NewOwnerRetryPeriod{3'000};
/// Time in which callers are told to retry while the owner does not answer: a
/// process restarts within it.
constexpr Millis SilentOwnerRetryPeriod{1'000};
/// An owner's failure this long after the last one starts a new outage.
constexpr Millis OutageGap{3'000};

} // namespace

bool OwnerTable::isLookupDue(Millis Now) const {
  if (this->LookupRunning)
    return false;
  if (this->LookupUrgent || !this->LookupStartedAt.has_value())
    return true;
  const Millis Elapsed = Now - *this->LookupStartedAt;
  return Elapsed >= MaxEntryAge ||
         (Elapsed >= LookupInterval &&
          (this->MaybeOutdated || !this->EntriesLookedUpAt));
}

void OwnerTable::lookupStarted(Millis Now) {
  this->LookupRunning = true;
  this->LookupStartedAt = Now;
  this->LookupUrgent = false;
  this->MaybeOutdated = false;
}

void OwnerTable::lookupSucceeded(std::span<const PartitionOwner> Owners,
                                 Millis Now) {
  this->LookupRunning = false;
  this->EntriesLookedUpAt = this->LookupStartedAt.value_or(Now);
  std::map<PartitionId, Entry> Previous = std::exchange(this->Entries, {});
  for (const PartitionOwner &Each : Owners) {
    const Result<Address> PeerAddress = memberAddress(Each.Member);
    if (!PeerAddress.has_value() || Each.Member == this->Self)
      continue;
    Entry Named{{Each.Member, PeerAddress.value()}, {}};
    const auto Old = Previous.find(Each.Partition);
    if (Old != Previous.end() && Old->second.Owner == Named.Owner)
      Named.RefusedAt = Old->second.RefusedAt;
    this->Entries[Each.Partition] = std::move(Named);
  }
  std::erase_if(this->FailedAt, [Now](const auto &Each) {
    return Now - Each.second >= FailurePeriod;
  });
  std::erase_if(this->Outages, [Now](const auto &Each) {
    return Now - Each.second.LastSeenAt >= OutageGap;
  });
}

void OwnerTable::lookupFailed() {
  this->LookupRunning = false;
  this->MaybeOutdated = true;
}

void OwnerTable::noteGeneration(int64_t NewGeneration) {
  if (this->Generation != 0 && this->Generation != NewGeneration)
    this->MaybeOutdated = true;
  this->Generation = NewGeneration;
}

bool OwnerTable::isNewerLookupExpected(Millis NotedAt, Millis Now) const {
  const bool AlreadyNewer = !this->LookupUrgent &&
                            this->EntriesLookedUpAt.has_value() &&
                            *this->EntriesLookedUpAt >= NotedAt;
  return !AlreadyNewer && (this->LookupRunning || this->isLookupDue(Now));
}

Millis OwnerTable::recordOutage(const PartitionId &Partition, Millis StartedAt,
                                Millis Now) {
  const auto [Found, Inserted] =
      this->Outages.try_emplace(Partition, Outage{StartedAt, Now});
  Outage &Each = Found->second;
  if (!Inserted && Now - Each.LastSeenAt >= OutageGap)
    Each.StartedAt = StartedAt;
  Each.LastSeenAt = Now;
  return Each.StartedAt;
}

OwnerDecision OwnerTable::decideWithoutOwner(const PartitionId &Partition,
                                             Millis RetryPeriod,
                                             std::string_view Cause,
                                             Millis Now) {
  this->MaybeOutdated = true;
  const Millis StartedAt = this->recordOutage(Partition, Now, Now);
  return OwnerDecision{Now - StartedAt < RetryPeriod ? OwnerAction::RetryLater
                                                     : OwnerAction::ReadLocally,
                       {},
                       Cause};
}

OwnerDecision OwnerTable::decide(const PartitionId &Partition, Millis Now) {
  if (!this->EntriesLookedUpAt.has_value() &&
      this->isNewerLookupExpected(Now, Now))
    return OwnerDecision{OwnerAction::AwaitLookup, {}, "owners not known"};
  const auto Found = this->Entries.find(Partition);
  if (Found == this->Entries.end())
    return this->decideWithoutOwner(Partition, NewOwnerRetryPeriod,
                                    "no owner known", Now);
  const Entry &Each = Found->second;
  const auto Failed = this->FailedAt.find(Each.Owner.Name);
  if (Failed != this->FailedAt.end() && Now - Failed->second < FailurePeriod) {
    if (this->isNewerLookupExpected(Failed->second, Now))
      return OwnerDecision{
          OwnerAction::AwaitLookup, {}, "owner did not answer"};
    return this->decideWithoutOwner(Partition, SilentOwnerRetryPeriod,
                                    "owner did not answer", Now);
  }
  if (Each.RefusedAt.has_value() && Now - *Each.RefusedAt < RefusalPeriod) {
    if (this->isNewerLookupExpected(*Each.RefusedAt, Now))
      return OwnerDecision{OwnerAction::AwaitLookup, {}, "owner refused"};
    return this->decideWithoutOwner(Partition, NewOwnerRetryPeriod,
                                    "owner refused", Now);
  }
  return OwnerDecision{OwnerAction::AskOwner, Each.Owner, {}};
}

void OwnerTable::ownerAnswered(const PartitionId &Partition,
                               const OwnerMember &Owner) {
  this->Outages.erase(Partition);
  this->FailedAt.erase(Owner.Name);
}

void OwnerTable::ownerRefused(const PartitionId &Partition,
                              const OwnerMember &Owner, Millis Now) {
  this->recordOutage(Partition, Now, Now);
  const auto Found = this->Entries.find(Partition);
  // The store may have named another owner in the meantime.
  if (Found == this->Entries.end() || !(Found->second.Owner == Owner))
    return;
  std::optional<Millis> &RefusedAt = Found->second.RefusedAt;
  if (RefusedAt.has_value() && Now - *RefusedAt < RefusalPeriod)
    return;
  RefusedAt = Now;
  this->LookupUrgent = true;
}

OwnerDecision OwnerTable::ownerCatchingUp(const PartitionId &Partition,
                                          Millis Now) {
  return this->decideWithoutOwner(Partition, NewOwnerRetryPeriod,
                                  "owner is reading", Now);
}

void OwnerTable::ownerFailed(const PartitionId &Partition,
                             const OwnerMember &Owner, Millis SentAt,
                             Millis Now) {
  this->recordOutage(Partition, SentAt, Now);
  const auto [Found, Inserted] = this->FailedAt.try_emplace(Owner.Name, Now);
  if (!Inserted && Now - Found->second < FailurePeriod)
    return;
  Found->second = Now;
  this->LookupUrgent = true;
}

} // namespace camphornotch
