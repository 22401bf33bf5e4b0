/// @file
/// Look-up of the rule that applies.

#include "rules/lookup_func.h"

#include "rules/field_internal.h"

namespace camphornotch {

namespace {

/// @return the built-in rule, which has the default of every field.
template <typename RuleT> RuleT builtInRule(const RuleKind<RuleT> &Kind) {
  RuleT Rule;
  Rule.Source.Name = "*";
  Rule.Source.AskedBy = "built in";
  for (const RuleField<RuleT> &Field : Kind.Fields)
    assignField(Field, Field.Default, Rule);
  Rule.Source.Text = writeRule(Kind, Rule);
  return Rule;
}

template <typename RuleT> const RuleT &defaultRule() {
  static const RuleT Rule = builtInRule(std::get<RuleKind<RuleT>>(RuleKinds));
  return Rule;
}

/// @param Name the text to compare with the patterns.
/// @return the first rule that matches, or the built-in rule.
template <typename RuleT>
const RuleT &firstByName(const std::vector<RuleT> &Rules,
                         std::string_view Name) {
  for (const RuleT &Rule : Rules)
    if (matchesPattern(Rule.Source.Name, Name))
      return Rule;
  return defaultRule<RuleT>();
}

} // namespace

bool matchesPattern(std::string_view Pattern, std::string_view Text) {
  size_t PatternAt = 0;
  size_t TextAt = 0;
  size_t StarAt = std::string_view::npos;
  size_t RetryAt = 0;
  while (TextAt < Text.size()) {
    if (PatternAt < Pattern.size() && Pattern[PatternAt] == '*') {
      StarAt = PatternAt++;
      RetryAt = TextAt;
      continue;
    }
    if (PatternAt < Pattern.size() && Pattern[PatternAt] == Text[TextAt]) {
      ++PatternAt;
      ++TextAt;
      continue;
    }
    if (StarAt == std::string_view::npos)
      return false;
    PatternAt = StarAt + 1;
    TextAt = ++RetryAt;
  }
  return Pattern.find_first_not_of('*', PatternAt) == std::string_view::npos;
}

const TrainerRule &trainerRule(const RuleSet &Rules, std::string_view Trainer) {
  return firstByName(Rules.Trainers, Trainer);
}

bool mayUseEngine(const TrainerRule &Rule, std::string_view Endpoint) {
  for (const std::string &Pattern : Rule.Engines)
    if (matchesPattern(Pattern, Endpoint))
      return true;
  return false;
}

const ServiceRule &serviceRule(const RuleSet &Rules, std::string_view Service,
                               std::string_view Method, std::string_view Path) {
  for (const ServiceRule &Rule : Rules.Services)
    if (matchesPattern(Rule.Service, Service) &&
        matchesPattern(Rule.Method, Method) && matchesPattern(Rule.Path, Path))
      return Rule;
  return defaultRule<ServiceRule>();
}

const HostRule &hostRule(const RuleSet &Rules, std::string_view Host) {
  return firstByName(Rules.Hosts, Host);
}

const LimitRule &limitRule(const RuleSet &Rules, std::string_view Caller) {
  return firstByName(Rules.Limits, Caller);
}

const PriorityRule &priorityRule(const RuleSet &Rules,
                                 std::string_view Caller) {
  return firstByName(Rules.Priorities, Caller);
}

const RoutingRule &routingRule(const RuleSet &Rules, std::string_view Serves) {
  return firstByName(Rules.Routing, Serves);
}

const WeightRule &weightRule(const RuleSet &Rules, std::string_view Model) {
  return firstByName(Rules.Weights, Model);
}

const AdmissionRule &admissionRule(const RuleSet &Rules,
                                   std::string_view Serves) {
  return firstByName(Rules.Admission, Serves);
}

const QuarantineRule &quarantineRule(const RuleSet &Rules,
                                     std::string_view Serves) {
  return firstByName(Rules.Quarantine, Serves);
}

} // namespace camphornotch
