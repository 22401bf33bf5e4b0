/// @file
/// Why a request was refused, and whether it ran.

#ifndef CAMPHORNOTCH_BASE_REFUSAL_TYPE_H
#define CAMPHORNOTCH_BASE_REFUSAL_TYPE_H

#include <cstdint>
#include <string>

namespace camphornotch {

/// What a refusal guarantees about the execution of the work.
enum class RunState : uint8_t {
  NotRun = 1,  ///< The work was never started and will not be.
  Unknown = 2, ///< The work may have run, partly or completely.
};

/// Reasons to refuse a request; table/refusal_reasons.h describes each.
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
  Unauthorized,
  NoMemory,
};

/// A refusal, as it is passed on to the caller.
struct Refusal {
  RefusalReason Reason = RefusalReason::Internal;
  RunState State = RunState::Unknown;
  /// The delay after which a retry may succeed; 0: do not retry.
  int64_t RetryAfterMs = 0;
  /// Details of this refusal; may be empty.
  std::string Detail;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_REFUSAL_TYPE_H
