/// @file
/// The chain of filters that every caller's request passes.

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

/// Names the request and its caller.
struct IdentityFilter {
  /// @param Context the request.
  /// @param World what is known.
  /// @return a refusal, or nothing to go on.
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);
};

/// Refuses bodies and requests over the process's bounds.
struct BoundFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);
};

/// Turns the request into a typed one.
struct ParseFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);
};

/// Looks up the rules that decide on the request.
struct RuleFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);
};

/// Refuses requests that have crashed endpoints.
struct QuarantineFilter {
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);
};

/// Keeps each caller within its rate and its requests in flight.
class LimitFilter {
public:
  /// @copydoc IdentityFilter::apply
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);

  /// A counted request has ended.
  /// @param Caller whose it was.
  void release(const std::string &Caller);

private:
  /// What one caller uses.
  struct Usage {
    /// Requests in flight.
    int64_t InFlight = 0;
    /// Requests that may come now; nothing: no rate was needed yet.
    std::optional<TokenBucket> Bucket;
    /// The rate that the bucket was made for.
    int64_t Rate = 0;
  };

  /// Forgets callers without requests in flight when there are many.
  void shrink();

  /// Usage by caller.
  std::unordered_map<std::string, Usage> Callers;
};

/// One filter.
using RequestFilter = std::variant<IdentityFilter, BoundFilter, ParseFilter,
                                   RuleFilter, QuarantineFilter, LimitFilter>;

/// The filters in their order.
class FilterChain {
public:
  /// Builds the chain.
  FilterChain();

  /// @param Context the request; filled in by the filters.
  /// @param World what is known.
  /// @return the first filter's refusal, or nothing if all let it pass.
  std::optional<Refusal> apply(RequestContext &Context,
                               const FilterWorld &World);

  /// A request that passed has ended.
  /// @param Context the request.
  void release(const RequestContext &Context);

private:
  /// The filters in their order.
  std::vector<RequestFilter> Filters;
};

/// @param Reason why.
/// @param Detail what is particular.
/// @param RetryAfter when a retry may succeed; zero: never.
/// @return a refusal of a request that did not run.
Refusal notRun(RefusalReason Reason, std::string Detail,
               Millis RetryAfter = Millis{0});

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_FILTER_CHAIN_BASE_H
