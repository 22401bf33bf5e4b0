/// @file
/// Reasons for retries.

#ifndef CAMPHORNOTCH_BASE_RETRY_TYPE_H
#define CAMPHORNOTCH_BASE_RETRY_TYPE_H

#include <cstdint>

namespace camphornotch {

/// Reasons to send work or an order again; table/retry_reasons.h has the name
/// of each.
enum class RetryReason : uint8_t {
  RefusedNotRun,
  EndpointFailed,
  PeerLost,
  Preempted,
  Hedge,
  LabelUnknown,
  TooOld,
  ScorerFailed,
  AppendUnanswered,
  AppendRefused,
  SwapFailed,
  SwapUnanswered,
  LinkReconnect,
  OwnerMoved,
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_RETRY_TYPE_H
