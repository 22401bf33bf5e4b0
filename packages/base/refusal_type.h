/// @file
/// Why a request was refused, and whether it ran.

#ifndef CAMPHORNOTCH_BASE_REFUSAL_TYPE_H
#define CAMPHORNOTCH_BASE_REFUSAL_TYPE_H

#include <cstdint>
#include <string>

namespace camphornotch {

/// What a refusal says about the work: both are true statements.
enum class RunState : uint8_t {
  NotRun = 1,  ///< The work was never started and will not be.
  Unknown = 2, ///< The work may have run, in part or whole.
};

/// Every reason to refuse a request; table/refusal_reasons.h describes each.
enum class RefusalReason : uint8_t {
  BadRequest,
  TooLarge,
  UnknownPath,
  UnknownTrainer,
  BadCursor,
  NotAllowed,
  NoEndpoint,
  QueueFull,
  DeadlineTooShort,
  RateLimited,
  Leaving,
  Starting,
  LogUnavailable,
  OwnerUnavailable,
  WrongOwner,
  WrongBoot,
  KeyReused,
  OutcomeUnknown,
  Quarantined,
  TooOld,
  EndpointFailed,
  PeerLost,
  Cancelled,
  Internal,
  Preempted,
};

/// One refusal, on its way to the caller.
struct Refusal {
  /// Why.
  RefusalReason Reason = RefusalReason::Internal;
  /// Whether the work ran.
  RunState State = RunState::Unknown;
  /// After how many milliseconds a retry may succeed; 0: do not retry.
  int64_t RetryAfterMs = 0;
  /// What is particular to this refusal; may be empty.
  std::string Detail;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_REFUSAL_TYPE_H
