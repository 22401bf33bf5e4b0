/// @file
/// The choice policy in force for each model or service.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ROUTING_POLICIES_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_ROUTING_POLICIES_BASE_H

#include "core/routing/choice_type.h"
#include "rules/rule_set_type.h"

#include <map>
#include <memory>
#include <string>

namespace camphornotch {

/// Keeps one policy a model or service, since round robin has a turn. Before
/// any rules are known all have the default.
class RoutingPolicies {
public:
  /// @param Default the policy without rules.
  explicit RoutingPolicies(const ChoicePolicy &Default) : Default(Default) {}

  /// Takes new rules. A policy that stays the same keeps its turn.
  /// @param Accepted the rules in force.
  void change(std::shared_ptr<const RuleSet> Accepted);

  /// @param Serves a model or service.
  /// @return the policy for it.
  ChoicePolicy &choice(const std::string &Serves);

  /// @return the rule for everything that no other rule names; nothing before
  ///         any rules are known.
  const RoutingRule *general() const;

private:
  /// @param Serves a model or service.
  /// @return the policy that the rules name for it.
  ChoicePolicy wanted(const std::string &Serves) const;

  /// The policy without rules.
  ChoicePolicy Default;
  /// The rules in force; nothing before any are known.
  std::shared_ptr<const RuleSet> Rules;
  /// Policies in use.
  std::map<std::string, ChoicePolicy> InUse;
};

/// @param Value a value of the rules in percent.
/// @return the same as a share.
constexpr double percent(int64_t Value) {
  return static_cast<double>(Value) / 100;
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ROUTING_POLICIES_BASE_H
