/// @file
/// Decides when to claim and renew a duty, and whether this process may act.

#ifndef CAMPHORNOTCH_CORE_DUTIES_DUTY_LEASE_BASE_H
#define CAMPHORNOTCH_CORE_DUTIES_DUTY_LEASE_BASE_H

#include "core/duties/duty_fold_base.h"
#include "core/duties/duty_type.h"

namespace camphornotch {

/// What to append to the duties' partition.
enum class LeaseStep : uint8_t { None, Claim, Renew };

/// The lease of one duty as seen by one process. All times are by bootNow(), so
/// that a suspended host finds its permission over when it wakes.
class DutyLease {
public:
  /// @param Host this host.
  /// @param Boot distinguishes this process from earlier ones of the host.
  DutyLease(std::string_view Duty, std::string Host, int64_t Boot,
            LeaseTimes Times = {})
      : Duty(Duty), Host(std::move(Host)), Boot(Boot), Times(Times) {}

  /// @param Fold the state up to the end of the partition, as read at ReadAt.
  /// @param IsCandidate whether this process may claim a free duty.
  /// @return what to append now, on the condition that nothing was appended
  ///   since the read.
  LeaseStep next(const DutyFold &Fold, bool IsCandidate, Millis ReadAt,
                 Millis Now) const;

  /// Notes that a claim or a record of the holder was stored.
  /// @param SentAt when its append was sent.
  void stored(Millis SentAt);

  /// Notes the fold's state after a read, to find out when this process became
  /// the holder.
  void observe(const DutyFold &Fold, Millis Now);

  /// @return whether this process holds the duty, with or without permission.
  bool holds(const DutyFold &Fold) const;

  /// @return how long this process may act from now on; 0: not at all. Asked
  ///   right before each call.
  Millis permissionLeft(const DutyFold &Fold, Millis Now) const;

  /// @return the age of the permission, for metrics.
  Millis permissionAge(Millis Now) const { return Now - this->RenewedAt; }

private:
  std::string Duty;
  std::string Host;
  int64_t Boot;
  LeaseTimes Times;
  /// When the last stored record was sent; 0: none.
  Millis RenewedAt{0};
  /// The fencing number of the last claim of this process that it read.
  int64_t OwnFence = 0;
  /// When it read that claim, which is after it was stored.
  Millis ClaimedAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_DUTY_LEASE_BASE_H
