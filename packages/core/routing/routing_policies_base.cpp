/// @file
/// The choice policy in force for each model or service.

#include "core/routing/routing_policies_base.h"

#include "rules/lookup_func.h"

namespace camphornotch {

void RoutingPolicies::change(std::shared_ptr<const RuleSet> Accepted) {
  this->Rules = std::move(Accepted);
  for (auto &[Serves, Policy] : this->InUse) {
    ChoicePolicy Wanted = this->wanted(Serves);
    if (Wanted.index() != Policy.index())
      Policy = Wanted;
  }
}

ChoicePolicy &RoutingPolicies::choice(const std::string &Serves) {
  const auto Found = this->InUse.find(Serves);
  if (Found != this->InUse.end())
    return Found->second;
  return this->InUse.emplace(Serves, this->wanted(Serves)).first->second;
}

const RoutingRule *RoutingPolicies::general() const {
  return this->Rules ? &routingRule(*this->Rules, {}) : nullptr;
}

ChoicePolicy RoutingPolicies::wanted(const std::string &Serves) const {
  if (!this->Rules)
    return this->Default;
  switch (routingRule(*this->Rules, Serves).Policy) {
  case RoutingPolicy::Probing:
    return ProbingPolicy{};
  case RoutingPolicy::RoundRobin:
    return RoundRobinPolicy{};
  case RoutingPolicy::LeastOutstanding:
    return LeastOutstandingPolicy{};
  }
  return this->Default;
}

} // namespace camphornotch
