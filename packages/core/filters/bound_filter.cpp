/// @file
/// Refuses too large bodies and too many open requests.

#include "core/filters/filter_chain_base.h"

#include "base/text_func.h"

namespace camphornotch {

namespace {

/// Retry-After when too many requests are open in this process.
constexpr Millis FullRetryAfter{250};

} // namespace

std::optional<Refusal>
BoundFilter::apply(RequestContext &Context,
                   const FilterEnvironment &Environment) {
  if (Context.Body.size() > Environment.MaxBodyBytes)
    return notRun(
        RefusalReason::TooLarge,
        concat("the body is over ", Environment.MaxBodyBytes, " bytes"));
  if (Environment.OpenRequests > Environment.MaxOpenRequests)
    return notRun(RefusalReason::QueueFull, "too many requests are open",
                  FullRetryAfter);
  return std::nullopt;
}

} // namespace camphornotch
