/// @file
/// Rule-by-rule comparison of two rule sets.

#ifndef CAMPHORNOTCH_RULES_DIFF_FUNC_H
#define CAMPHORNOTCH_RULES_DIFF_FUNC_H

#include "rules/diff_type.h"
#include "rules/rule_set_type.h"

#include <string_view>

namespace camphornotch {

/// @return the changes, section by section; empty if both sets have the same
///         rules in the same order. Comments are not compared.
std::vector<RuleChange> diffRules(const RuleSet &Before, const RuleSet &After);

/// @return "added", "removed", "changed" or "moved".
std::string_view changeName(RuleChangeKind Kind);

/// @return human-readable text with one or two lines per change.
std::string renderDiff(const std::vector<RuleChange> &Changes);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DIFF_FUNC_H
