/// @file
/// Checks the API keys of callers' requests and counts the outcomes.

#ifndef CAMPHORNOTCH_GATEWAY_CALLER_ACCESS_BASE_H
#define CAMPHORNOTCH_GATEWAY_CALLER_ACCESS_BASE_H

#include "core/accounts/access_func.h"
#include "core/gateway/route_type.h"
#include "net/http_type.h"
#include "net/metrics_base.h"

#include <array>

namespace camphornotch {

/// Why a request without access is refused.
struct AccessRefusal {
  int Status = 0;
  RefusalReason Reason = RefusalReason::Unauthorized;
  std::string_view Cause;
  /// Retry-After of the answer; 0: none.
  Millis RetryAfter{0};
};

/// @param Outcome an outcome that does not allow the request.
AccessRefusal accessRefusal(KeyOutcome Outcome);

/// Checks keys against the configuration in force.
class CallerAccess {
public:
  explicit CallerAccess(Metrics &Counts);

  /// @param MatchedRoute the request's route; null: a call about a submission,
  ///   which needs a key.
  /// @param IsCurrent whether this process would know of a newer configuration.
  AccessDecision check(const HttpRequest &Request, const RouteTable &Table,
                       const Route *MatchedRoute, bool IsCurrent);

private:
  /// One counter for each KeyOutcome, in the order of the enumeration.
  std::array<prometheus::Counter *, 6> Outcomes;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_CALLER_ACCESS_BASE_H
