/// @file
/// Refuses bodies and requests over the process's bounds.

#include "core/filters/filter_chain_base.h"

#include "base/text_func.h"

namespace camphornotch {

namespace {

/// When a process at its bound may have room again.
constexpr Millis FullRetryAfter{250};

} // namespace

std::optional<Refusal> BoundFilter::apply(RequestContext &Context,
                                          const FilterWorld &World) {
  if (Context.Body.size() > World.MaxBodyBytes)
    return notRun(RefusalReason::TooLarge,
                  concat("the body is over ", World.MaxBodyBytes, " bytes"));
  if (World.OpenRequests > World.MaxOpenRequests)
    return notRun(RefusalReason::QueueFull, "too many requests are open",
                  FullRetryAfter);
  return std::nullopt;
}

} // namespace camphornotch
