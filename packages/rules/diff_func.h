/// @file
/// Comparison of two rule sets, by rule.

#ifndef CAMPHORNOTCH_RULES_DIFF_FUNC_H
#define CAMPHORNOTCH_RULES_DIFF_FUNC_H

#include "rules/diff_type.h"
#include "rules/rule_set_type.h"

#include <string_view>

namespace camphornotch {

/// @param Before the earlier rules.
/// @param After the later rules.
/// @return the changes, section by section; empty if both decide the same.
std::vector<RuleChange> diffRules(const RuleSet &Before, const RuleSet &After);

/// @param Kind a kind of change.
/// @return its name: "added", "removed", "changed" or "moved".
std::string_view changeName(RuleChangeKind Kind);

/// @param Changes changes.
/// @return one or two lines a change, for people.
std::string renderDiff(const std::vector<RuleChange> &Changes);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DIFF_FUNC_H
