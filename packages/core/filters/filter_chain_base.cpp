/// @file
/// Runs the filters in their order.

#include "core/filters/filter_chain_base.h"

namespace camphornotch {

FilterChain::FilterChain()
    : Filters{IdentityFilter{}, BoundFilter{},      ParseFilter{},
              RuleFilter{},     QuarantineFilter{}, LimitFilter{}} {}

std::optional<Refusal>
FilterChain::apply(RequestContext &Context,
                   const FilterEnvironment &Environment) {
  for (RequestFilter &Filter : this->Filters) {
    auto Refused = std::visit(
        [&](auto &One) { return One.apply(Context, Environment); }, Filter);
    if (Refused)
      return Refused;
  }
  return std::nullopt;
}

void FilterChain::release(const RequestContext &Context) {
  if (!Context.Counted)
    return;
  for (RequestFilter &Filter : this->Filters)
    if (auto *Limit = std::get_if<LimitFilter>(&Filter))
      Limit->release(Context.Caller);
}

Refusal notRun(RefusalReason Reason, std::string Detail, Millis RetryAfter) {
  return Refusal{Reason, RunState::NotRun, RetryAfter.Count, std::move(Detail)};
}

} // namespace camphornotch
