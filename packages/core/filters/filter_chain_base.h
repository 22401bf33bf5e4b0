/// @file
/// The chain of filters that is applied to every caller's request.

#ifndef CAMPHORNOTCH_CORE_FILTERS_FILTER_CHAIN_BASE_H
#define CAMPHORNOTCH_CORE_FILTERS_FILTER_CHAIN_BASE_H

#include "base/refusal_type.h"
#include "core/filters/request_context_type.h"
#include "core/routing/token_bucket_base.h"

#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphornotch {

/// Determines the request's id and caller.
struct IdentityFilter {
  /// @return a refusal, or nullopt to continue with the next filter.
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);
};

/// Refuses too large bodies and too many open requests.
struct BoundFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);
};

/// Parses the request into a typed one.
struct ParseFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);
};

/// Applies the rules for the request's caller and service.
struct RuleFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);
};

/// Refuses requests that have crashed endpoints.
struct QuarantineFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);
};

/// Enforces each caller's limits on rate and requests in flight.
class LimitFilter {
public:
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);

  /// Notes the end of a counted request.
  void release(const std::string &Caller);

private:
  struct Usage {
    int64_t InFlight = 0;
    /// Absent while the caller had no rate limit.
    std::optional<TokenBucket> Bucket;
    /// Rate per second of the bucket.
    int64_t Rate = 0;
  };

  /// At MaxIdleCallers callers, removes callers without requests in flight.
  void shrink();

  std::unordered_map<std::string, Usage> Callers;
};

using RequestFilter = std::variant<IdentityFilter, BoundFilter, ParseFilter,
                                   RuleFilter, QuarantineFilter, LimitFilter>;

/// Applies the filters in a fixed order.
class FilterChain {
public:
  FilterChain();

  /// Applies the filters, which fill in the context.
  /// @return the first refusal, or nullopt if all filters accept the request.
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterEnvironment &Environment);

  /// Notes the end of a request that was accepted.
  void release(const RequestContext &Context);

private:
  std::vector<RequestFilter> Filters;
};

/// @param RetryAfter when a retry may succeed; 0: never.
/// @return a refusal of a request that did not run.
Refusal notRun(RefusalReason Reason, std::string Detail,
               Millis RetryAfter = Millis{0});

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_FILTER_CHAIN_BASE_H
