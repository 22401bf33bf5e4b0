/// @file
/// Who owns each partition, as far as this process knows.

#include "core/batch/owner_table_base.h"

#include "core/store/member_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Age up to which owners are used without asking the store again: a change of
/// owners shows in the generation, and wrong owners refuse.
constexpr Millis MaxAge{10'000};
/// Pause between questions to the store while an owner is missing.
constexpr Millis DoubtPause{300};
/// How long a member that refused a partition is not asked about it again.
constexpr Millis RefusedFor{300};
/// How long a member that did not answer is not asked again: the group drops a
/// dead one within it.
constexpr Millis FailedFor{2'000};
/// How long callers come again while a partition has no owner, or one that is
/// reading it: a new owner is known and has read within it.
constexpr Millis PatienceForNew{3'000};
/// How long callers come again while the owner does not answer: a process
/// starts again within it.
constexpr Millis PatienceForSilent{1'000};
/// Time without trouble after which the next one is a new one.
constexpr Millis TroubleMemory{3'000};

} // namespace

bool OwnerTable::lookUpDue(Millis Now) const {
  if (this->UnderWay)
    return false;
  if (this->Urgent || !this->BegunAt.has_value())
    return true;
  const Millis Since = Now - *this->BegunAt;
  return Since >= MaxAge ||
         (Since >= DoubtPause && (this->Doubtful || !this->KnownFrom));
}

void OwnerTable::lookUpBegun(Millis Now) {
  this->UnderWay = true;
  this->BegunAt = Now;
  this->Urgent = false;
  this->Doubtful = false;
}

void OwnerTable::learnt(std::span<const PartitionOwner> Owners, Millis Now) {
  this->UnderWay = false;
  this->KnownFrom = this->BegunAt.value_or(Now);
  std::map<PartitionId, Entry> Before = std::exchange(this->Entries, {});
  for (const PartitionOwner &Each : Owners) {
    const Result<Address> Where = memberAddress(Each.Member);
    if (!Where.has_value() || Each.Member == this->Self)
      continue;
    Entry Learnt{{Each.Member, Where.value()}, {}};
    const auto Old = Before.find(Each.Partition);
    if (Old != Before.end() && Old->second.Owner == Learnt.Owner)
      Learnt.RefusedAt = Old->second.RefusedAt;
    this->Entries[Each.Partition] = std::move(Learnt);
  }
  std::erase_if(this->FailedAt, [Now](const auto &Each) {
    return Now - Each.second >= FailedFor;
  });
  std::erase_if(this->Troubles, [Now](const auto &Each) {
    return Now - Each.second.Last >= TroubleMemory;
  });
}

void OwnerTable::lookUpFailed() {
  this->UnderWay = false;
  this->Doubtful = true;
}

void OwnerTable::generationSeen(int64_t Seen) {
  if (this->Generation != 0 && this->Generation != Seen)
    this->Doubtful = true;
  this->Generation = Seen;
}

bool OwnerTable::newsComing(Millis MarkedAt, Millis Now) const {
  const bool Told = !this->Urgent && this->KnownFrom.has_value() &&
                    *this->KnownFrom >= MarkedAt;
  return !Told && (this->UnderWay || this->lookUpDue(Now));
}

Millis OwnerTable::noteTrouble(const PartitionId &Where, Millis Since,
                               Millis Now) {
  const auto [At, New] = this->Troubles.try_emplace(Where, Trouble{Since, Now});
  Trouble &Each = At->second;
  if (!New && Now - Each.Last >= TroubleMemory)
    Each.Since = Since;
  Each.Last = Now;
  return Each.Since;
}

OwnerAdvice OwnerTable::withoutOwner(const PartitionId &Where, Millis Patience,
                                     std::string_view Cause, Millis Now) {
  this->Doubtful = true;
  const Millis Since = this->noteTrouble(Where, Now, Now);
  return OwnerAdvice{Now - Since < Patience ? OwnerStep::ComeAgain
                                            : OwnerStep::ReadHere,
                     {},
                     Cause};
}

OwnerAdvice OwnerTable::advise(const PartitionId &Where, Millis Now) {
  if (!this->KnownFrom.has_value() && this->newsComing(Now, Now))
    return OwnerAdvice{OwnerStep::Await, {}, "owners not known"};
  const auto Found = this->Entries.find(Where);
  if (Found == this->Entries.end())
    return this->withoutOwner(Where, PatienceForNew, "no owner known", Now);
  const Entry &Each = Found->second;
  const auto Failed = this->FailedAt.find(Each.Owner.Name);
  if (Failed != this->FailedAt.end() && Now - Failed->second < FailedFor) {
    if (this->newsComing(Failed->second, Now))
      return OwnerAdvice{OwnerStep::Await, {}, "owner did not answer"};
    return this->withoutOwner(Where, PatienceForSilent, "owner did not answer",
                              Now);
  }
  if (Each.RefusedAt.has_value() && Now - *Each.RefusedAt < RefusedFor) {
    if (this->newsComing(*Each.RefusedAt, Now))
      return OwnerAdvice{OwnerStep::Await, {}, "owner refused"};
    return this->withoutOwner(Where, PatienceForNew, "owner refused", Now);
  }
  return OwnerAdvice{OwnerStep::Ask, Each.Owner, {}};
}

void OwnerTable::answered(const PartitionId &Where, const OwnerMember &Owner) {
  this->Troubles.erase(Where);
  this->FailedAt.erase(Owner.Name);
}

void OwnerTable::refused(const PartitionId &Where, const OwnerMember &Owner,
                         Millis Now) {
  this->noteTrouble(Where, Now, Now);
  const auto Found = this->Entries.find(Where);
  // The store may have named another owner meanwhile.
  if (Found == this->Entries.end() || !(Found->second.Owner == Owner))
    return;
  std::optional<Millis> &RefusedAt = Found->second.RefusedAt;
  if (RefusedAt.has_value() && Now - *RefusedAt < RefusedFor)
    return;
  RefusedAt = Now;
  this->Urgent = true;
}

OwnerAdvice OwnerTable::catchingUp(const PartitionId &Where, Millis Now) {
  return this->withoutOwner(Where, PatienceForNew, "owner is reading", Now);
}

void OwnerTable::failed(const PartitionId &Where, const OwnerMember &Owner,
                        Millis SentAt, Millis Now) {
  this->noteTrouble(Where, SentAt, Now);
  const auto [At, New] = this->FailedAt.try_emplace(Owner.Name, Now);
  if (!New && Now - At->second < FailedFor)
    return;
  At->second = Now;
  this->Urgent = true;
}

} // namespace camphornotch
