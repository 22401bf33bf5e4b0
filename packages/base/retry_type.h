/// @file
/// Why work was tried again.

#ifndef CAMPHORNOTCH_BASE_RETRY_TYPE_H
#define CAMPHORNOTCH_BASE_RETRY_TYPE_H

#include <cstdint>

namespace camphornotch {

/// Every reason to send work or an order once more; table/retry_reasons.h
/// names each.
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
