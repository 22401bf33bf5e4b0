/// @file
/// Checks the API keys of callers' requests and counts the outcomes.

#include "gateway/caller_access_base.h"

#include "base/http_status_type.h"
#include "platform/caller_func.h"

#include <cassert>

namespace camphornotch {

namespace {

/// Retry-After when a newer configuration may hold the key: the caller's next
/// attempt reaches another gateway, which may have read it.
constexpr Millis StaleRetryAfter{200};

/// Labels of the counters, in the order of KeyOutcome.
constexpr std::array<const char *, 6> OutcomeNames{
    "unrestricted", "known", "public", "unknown", "missing", "stale"};

} // namespace

AccessRefusal accessRefusal(KeyOutcome Outcome) {
  assert(!(AccessDecision{Outcome, nullptr}.isAllowed()));
  if (Outcome == KeyOutcome::Stale)
    return AccessRefusal{StatusUnavailable, RefusalReason::Starting,
                         "unknown key and a configuration that may be old",
                         StaleRetryAfter};
  return AccessRefusal{
      StatusUnauthorized, RefusalReason::Unauthorized,
      Outcome == KeyOutcome::Missing ? "no key" : "unknown key", Millis{0}};
}

CallerAccess::CallerAccess(Metrics &Counts) {
  for (size_t Index = 0; Index < OutcomeNames.size(); ++Index)
    this->Outcomes[Index] =
        &Counts.counter("key_checks", "Requests by outcome of the key check.",
                        {{"outcome", OutcomeNames[Index]}});
}

AccessDecision CallerAccess::check(const HttpRequest &Request,
                                   const RouteTable &Table,
                                   const Route *MatchedRoute, bool IsCurrent) {
  const bool IsPublic = MatchedRoute != nullptr && MatchedRoute->Public;
  const AccessDecision Decision = decideAccess(
      Table.Accounts.get(), IsPublic, platform::apiKeyOf(Request), IsCurrent);
  this->Outcomes[static_cast<size_t>(Decision.Outcome)]->Increment();
  return Decision;
}

} // namespace camphornotch
