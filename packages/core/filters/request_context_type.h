/// @file
/// The data that the filters read and fill in.

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

/// A request as the filter chain processes it.
struct RequestContext {
  /// @name As received
  /// The views must outlive the chain.
  /// @{
  std::string_view Method;
  std::string_view Path;
  std::string_view Query;
  std::string_view Body;
  std::string_view Peer;           ///< The client's IP number.
  std::string_view CallerHeader;   ///< X-Caller.
  std::string_view IdHeader;       ///< X-Request-Id.
  std::string_view KeyHeader;      ///< Idempotency-Key.
  std::string_view FirstUseHeader; ///< X-First-Use.
  std::string_view DeadlineHeader; ///< X-Deadline-Ms.
  std::string_view ContentType;    ///< Content-Type.
  /// @}

  /// Identifies the request in the logs of all processes.
  std::string RequestId;
  /// The caller to whom limits and fairness apply.
  std::string Caller;
  CallerRequest Request;
  wire::WorkClass::type Class = wire::WorkClass::Short;
  /// Time for the whole request.
  Millis Deadline;
  /// The request is refused if its expected wait is longer.
  Millis MaxWait;
  /// Hash of method, path, query and body, for crash attribution.
  int64_t Digest = 0;
  /// For services: the call must run at most once.
  bool NonIdempotent = false;
  /// Counted by the limits; FilterChain::release() must be called at its end.
  bool Counted = false;
};

/// The process state that the filters read.
struct FilterEnvironment {
  const RuleSet &Rules;
  /// Quarantined digests, as folded from the log.
  const std::map<int64_t, QuarantineState> &Quarantined;
  /// Monotonic time.
  Millis Now;
  /// Milliseconds since the Unix epoch.
  Millis WallNow;
  /// Deadline of a request without a deadline header.
  Millis DefaultDeadline;
  size_t MaxBodyBytes = 0;
  size_t MaxOpenRequests = 0;
  size_t OpenRequests = 0;
  /// The request id if the caller gives none.
  std::string_view NewRequestId;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_REQUEST_CONTEXT_TYPE_H
