/// @file
/// The name, HTTP status and remedy of each refusal reason.

#ifndef CAMPHORNOTCH_BASE_TABLE_REFUSAL_REASONS_H
#define CAMPHORNOTCH_BASE_TABLE_REFUSAL_REASONS_H

#include "base/refusal_type.h"

#include <array>
#include <string_view>

namespace camphornotch {

/// The description of one reason.
struct RefusalSpec {
  RefusalReason Reason;
  /// The name in answers, logs and metric labels.
  std::string_view Name;
  int HttpStatus;
  /// What the caller can do.
  std::string_view Remedy;
};

/// One row for each reason, in the order of the enumeration.
inline constexpr std::array RefusalTable{
    RefusalSpec{RefusalReason::BadRequest, "bad_request", 400,
                "correct the request as the detail says"},
    RefusalSpec{RefusalReason::TooLarge, "too_large", 413,
                "send a smaller request"},
    RefusalSpec{RefusalReason::UnknownPath, "unknown_path", 404,
                "use one of the paths in docs/openapi.yaml"},
    RefusalSpec{RefusalReason::UnknownTrainer, "unknown_trainer", 404,
                "submit a step before asking for its samples"},
    RefusalSpec{RefusalReason::BadCursor, "bad_cursor", 400,
                "send the cursor of the last answer, unchanged"},
    RefusalSpec{RefusalReason::NotAllowed, "not_allowed", 403,
                "ask an operator for a rule that allows it"},
    RefusalSpec{RefusalReason::NoEndpoint, "no_endpoint", 503,
                "retry later; no endpoint serves this now"},
    RefusalSpec{RefusalReason::QueueFull, "queue_full", 503,
                "retry after the time given"},
    RefusalSpec{RefusalReason::DeadlineTooShort, "deadline_too_short", 503,
                "retry later or allow more time"},
    RefusalSpec{RefusalReason::RateLimited, "rate_limited", 429,
                "retry after the time given"},
    RefusalSpec{RefusalReason::Leaving, "leaving", 503,
                "retry; another host will take it"},
    RefusalSpec{RefusalReason::Starting, "starting", 503,
                "retry once the host is ready"},
    RefusalSpec{RefusalReason::LogUnavailable, "log_unavailable", 503,
                "retry once the log answers again"},
    RefusalSpec{RefusalReason::OwnerUnavailable, "owner_unavailable", 503,
                "retry; a new owner is being found"},
    RefusalSpec{RefusalReason::WrongOwner, "wrong_owner", 503,
                "retry; the owner has changed"},
    RefusalSpec{RefusalReason::WrongBoot, "wrong_boot", 503,
                "retry with a new key if the state is not_run"},
    RefusalSpec{RefusalReason::KeyReused, "key_reused", 422,
                "use a new Idempotency-Key for a different request"},
    RefusalSpec{RefusalReason::OutcomeUnknown, "outcome_unknown", 502,
                "find out at the service whether the call took effect"},
    RefusalSpec{RefusalReason::Quarantined, "quarantined", 422,
                "do not repeat this request; it crashes endpoints"},
    RefusalSpec{RefusalReason::TooOld, "too_old", 410,
                "submit the group again; its sample is over the age bound"},
    RefusalSpec{RefusalReason::EndpointFailed, "endpoint_failed", 502,
                "retry if the call may be repeated"},
    RefusalSpec{RefusalReason::PeerLost, "peer_lost", 502,
                "retry if the call may be repeated"},
    RefusalSpec{RefusalReason::Cancelled, "cancelled", 499,
                "nothing: the caller went away"},
    RefusalSpec{RefusalReason::Internal, "internal", 500,
                "report the request id to the operators"},
    RefusalSpec{RefusalReason::Preempted, "preempted", 503,
                "retry; the output kept so far is resumed"},
    RefusalSpec{RefusalReason::Unauthorized, "unauthorized", 401,
                "send an API key of a client account"},
    RefusalSpec{RefusalReason::NoMemory, "no_memory", 503,
                "retry after the time given"},
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_TABLE_REFUSAL_REASONS_H
