/// @file
/// Enforces each caller's limits on rate and requests in flight.

#include "core/filters/filter_chain_base.h"

#include "base/text_func.h"
#include "rules/lookup_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Number of callers at which those without requests in flight are removed.
constexpr size_t MaxIdleCallers = 10'000;
/// Retry-After for a caller at its limit of requests in flight.
constexpr Millis InFlightRetryAfter{100};
/// Burst allowance, in seconds of the rate.
constexpr int64_t BurstSeconds = 1;

} // namespace

std::optional<Refusal>
LimitFilter::apply(RequestContext &Context,
                   const FilterEnvironment &Environment) {
  const bool Admin = std::holds_alternative<StatusRequest>(Context.Request) ||
                     std::holds_alternative<ExplainRequest>(Context.Request);
  if (Admin)
    return std::nullopt;
  const LimitRule &Rule = limitRule(Environment.Rules, Context.Caller);
  this->shrink();
  Usage &Used = this->Callers[Context.Caller];
  if (Rule.MaxInFlight > 0 && Used.InFlight >= Rule.MaxInFlight)
    return notRun(RefusalReason::QueueFull,
                  concat("caller ", Context.Caller, " has ", Used.InFlight,
                         " requests in flight"),
                  InFlightRetryAfter);
  if (Rule.RatePerSecond > 0) {
    const auto Rate = static_cast<double>(Rule.RatePerSecond);
    if (!Used.Bucket || Used.Rate != Rule.RatePerSecond)
      Used.Bucket.emplace(Rate, Rate * BurstSeconds);
    Used.Rate = Rule.RatePerSecond;
    if (!Used.Bucket->take(1, Environment.Now))
      return notRun(RefusalReason::RateLimited,
                    concat("caller ", Context.Caller, " is over ",
                           Rule.RatePerSecond, " requests a second"),
                    Millis{std::max<int64_t>(1, 1000 / Rule.RatePerSecond)});
  }
  ++Used.InFlight;
  Context.Counted = true;
  return std::nullopt;
}

void LimitFilter::release(const std::string &Caller) {
  const auto Found = this->Callers.find(Caller);
  assert(Found != this->Callers.end() && Found->second.InFlight > 0);
  --Found->second.InFlight;
}

void LimitFilter::shrink() {
  if (this->Callers.size() < MaxIdleCallers)
    return;
  std::erase_if(this->Callers,
                [](const auto &Entry) { return Entry.second.InFlight == 0; });
}

} // namespace camphornotch
