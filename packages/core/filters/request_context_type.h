/// @file
/// What the filters of the chain read and fill in.

#ifndef CAMPHORNOTCH_CORE_FILTERS_REQUEST_CONTEXT_TYPE_H
#define CAMPHORNOTCH_CORE_FILTERS_REQUEST_CONTEXT_TYPE_H

#include "base/millis_type.h"
#include "core/filters/caller_request_type.h"
#include "core/fold/fold_state_type.h"
#include "rules/rule_set_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphornotch {

/// One request on its way through the chain.
struct RequestContext {
  /// @name As received
  /// The views must outlive the chain.
  /// @{
  std::string_view Method;
  std::string_view Path;
  std::string_view Query;
  std::string_view Body;
  std::string_view Peer;         ///< The client's IP number.
  std::string_view CallerHeader; ///< X-Caller.
  std::string_view IdHeader;     ///< X-Request-Id.
  std::string_view KeyHeader;    ///< Idempotency-Key.
  std::string_view FirstUse;     ///< X-First-Use.
  std::string_view DeadlineMs;   ///< X-Deadline-Ms.
  std::string_view ContentType;  ///< Content-Type.
  /// @}

  /// Runs through the logs of all processes.
  std::string RequestId;
  /// Whom limits and fairness are counted for.
  std::string Caller;
  /// What is wanted.
  CallerRequest Request;
  /// The class of its work.
  wire::WorkClass::type Class = wire::WorkClass::Short;
  /// Time for the whole request.
  Millis Deadline;
  /// The longest expected wait at which it is still taken.
  Millis MaxWait;
  /// Hash of what runs at the endpoint, for crash attribution.
  int64_t Digest = 0;
  /// For services: the call may run at most once.
  bool NonIdempotent = false;
  /// Whether the limits count it; whoever ends it calls release().
  bool Counted = false;
};

/// What the filters know of the process.
struct FilterWorld {
  /// The rules in force.
  const RuleSet &Rules;
  /// Quarantined digests, as folded from the log.
  const std::map<int64_t, QuarantineState> &Quarantined;
  /// The present.
  Millis Now;
  /// Milliseconds since the Unix epoch.
  Millis WallNow;
  /// Deadline of a request that names none.
  Millis DefaultDeadline;
  /// Longest body.
  size_t MaxBodyBytes = 0;
  /// Most requests open at once.
  size_t MaxOpenRequests = 0;
  /// Requests open now.
  size_t OpenRequests = 0;
  /// A fresh request id, used if the caller gives none.
  std::string_view FreshId;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_REQUEST_CONTEXT_TYPE_H
