/// @file
/// Explains which rules apply to a request, and why.

#ifndef CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H
#define CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H

#include "rules/rule_set_type.h"

#include <string>
#include <vector>

namespace camphornotch {

/// What to explain; empty members are ignored.
struct ExplainQuery {
  /// The name of a caller or trainer.
  std::string Caller;
  /// The called model or service.
  std::string Serves;
  /// The HTTP method of a call to a service.
  std::string Method;
  /// The path of a call to a service.
  std::string Path;
  /// The endpoint of an engine that a trainer may or may not use.
  std::string Endpoint;
  /// The name of a leaving host.
  std::string Host;
};

/// The rule that applies to one subject.
struct Decision {
  /// What the rule decides, for example "limits".
  std::string Subject;
  /// The text of the rule.
  std::string Rule;
  /// The line number in the rule file; 0: a built-in rule.
  int Line = 0;
  /// Who asked for the rule.
  std::string AskedBy;
  /// Why this rule applies.
  std::string Reason;
};

/// @return the rules that apply, one for each subject of the query.
std::vector<Decision> explainRules(const RuleSet &Rules,
                                   const ExplainQuery &Query);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H
