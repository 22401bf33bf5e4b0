/// @file
/// Applies the rules for the request's caller and service.

#include "core/filters/filter_chain_base.h"

#include "rules/lookup_func.h"

#include <algorithm>

namespace camphornotch {

std::optional<Refusal> RuleFilter::apply(RequestContext &Context,
                                         const FilterEnvironment &Environment) {
  Context.MaxWait = limitRule(Environment.Rules, Context.Caller).MaxWait;
  const PriorityRule &Priority =
      priorityRule(Environment.Rules, Context.Caller);
  Context.Class = Priority.Class == PriorityClass::Short
                      ? wire::WorkClass::Short
                      : wire::WorkClass::Rollout;
  const auto *Service = std::get_if<ServiceRequest>(&Context.Request);
  if (Service == nullptr)
    return std::nullopt;
  const std::string_view Path =
      std::string_view(Service->Path).substr(0, Service->Path.find('?'));
  const ServiceRule &Rule =
      serviceRule(Environment.Rules, Service->Service, Context.Method, Path);
  // An idempotency key requires a single run whatever the rules say.
  Context.NonIdempotent = Rule.NonIdempotent || !Context.KeyHeader.empty();
  if (Rule.Deadline > Millis{0})
    Context.Deadline = std::min(Context.Deadline, Rule.Deadline);
  if (Rule.NonIdempotent && Context.KeyHeader.empty())
    return notRun(RefusalReason::BadRequest,
                  "this call may run at most once: send an Idempotency-Key");
  return std::nullopt;
}

} // namespace camphornotch
