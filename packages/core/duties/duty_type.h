/// @file
/// Names and times of duties: work for the operator that one process at a time
/// does for the whole system.

#ifndef CAMPHORNOTCH_CORE_DUTIES_DUTY_TYPE_H
#define CAMPHORNOTCH_CORE_DUTIES_DUTY_TYPE_H

#include "base/millis_type.h"

#include <string_view>

namespace camphornotch {

/// The duty of reporting how many requests of each client account began to run.
inline constexpr std::string_view UsageDuty = "usage";

/// Times of a duty's lease. A holder's permission ends before another process
/// may claim the duty, whatever the delays between them: the holder counts from
/// when it sent a record, the other one from when it read it.
struct LeaseTimes {
  /// Time between two renewals.
  Millis RenewInterval{1'000};
  /// How long a holder may act after it sent its last acknowledged record.
  Millis Permission{2'500};
  /// Time without a record of the holder after which the duty may be claimed.
  Millis TakeOver{4'000};
  /// Time for which a new holder on another host does not act, so that calls of
  /// two hosts never alternate within the operator's bound.
  Millis Quiet{3'000};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_DUTY_TYPE_H
