/// @file
/// Decides when to claim and renew a duty, and whether this process may act.

#include "core/duties/duty_lease_base.h"

#include <algorithm>

namespace camphornotch {

bool DutyLease::holds(const DutyFold &Fold) const {
  const DutyClaim *Claim = Fold.claim(this->Duty);
  return Claim != nullptr && !Claim->Released && Claim->Host == this->Host &&
         Claim->Boot == this->Boot;
}

LeaseStep DutyLease::next(const DutyFold &Fold, bool IsCandidate, Millis ReadAt,
                          Millis Now) const {
  if (this->holds(Fold))
    return Now - this->RenewedAt >= this->Times.RenewInterval ? LeaseStep::Renew
                                                              : LeaseStep::None;
  if (!IsCandidate)
    return LeaseStep::None;
  const DutyClaim *Claim = Fold.claim(this->Duty);
  // A claim of an earlier process of this host ended with that process. A read
  // that is old may lack the renewals of another host.
  const bool IsFree = Claim == nullptr || Claim->Released ||
                      Claim->Host == this->Host ||
                      ReadAt - Claim->SeenAt >= this->Times.TakeOver;
  return IsFree ? LeaseStep::Claim : LeaseStep::None;
}

void DutyLease::observe(const DutyFold &Fold, Millis Now) {
  if (!this->holds(Fold))
    return;
  const int64_t Fence = Fold.claim(this->Duty)->FencingNumber;
  if (Fence == this->OwnFence)
    return;
  this->OwnFence = Fence;
  this->ClaimedAt = Now;
}

void DutyLease::stored(Millis SentAt) {
  this->RenewedAt = std::max(this->RenewedAt, SentAt);
}

Millis DutyLease::permissionLeft(const DutyFold &Fold, Millis Now) const {
  if (!this->holds(Fold) || this->RenewedAt == Millis{0})
    return Millis{0};
  const DutyClaim &Claim = *Fold.claim(this->Duty);
  if (Claim.FencingNumber != this->OwnFence)
    return Millis{0};
  const bool IsNewHost =
      !Claim.PreviousHost.empty() && Claim.PreviousHost != this->Host;
  if (IsNewHost && Now < this->ClaimedAt + this->Times.Quiet)
    return Millis{0};
  return std::max(this->RenewedAt + this->Times.Permission - Now, Millis{0});
}

} // namespace camphornotch
