/// @file
/// Which rules decide for a caller's request, and why.

#ifndef CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H
#define CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H

#include "rules/rule_set_type.h"

#include <string>
#include <vector>

namespace camphornotch {

/// What is asked about; empty members are left out.
struct ExplainQuestion {
  /// The caller, or the trainer.
  std::string Caller;
  /// The model or service that is called.
  std::string Serves;
  /// The HTTP method of a service's call.
  std::string Method;
  /// The path of a service's call.
  std::string Path;
  /// An endpoint that a trainer would draw on.
  std::string Endpoint;
  /// A host that would leave.
  std::string Host;
};

/// One rule that decides.
struct Decision {
  /// What it decides.
  std::string Subject;
  /// Its text.
  std::string Rule;
  /// Its line; 0: built in.
  int Line = 0;
  /// Who asked for it.
  std::string AskedBy;
  /// Why this rule and no other.
  std::string Why;
};

/// @param Rules the rules in force.
/// @param Question what is asked about.
/// @return the rules that decide.
std::vector<Decision> explainRules(const RuleSet &Rules,
                                   const ExplainQuestion &Question);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_EXPLAIN_FUNC_H
