/// @file
/// Parsing and checking of the rule file.

#ifndef CAMPHORNOTCH_RULES_PARSE_FUNC_H
#define CAMPHORNOTCH_RULES_PARSE_FUNC_H

#include "base/error_type.h"
#include "rules/rule_set_type.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphornotch {

/// A rule set, or all errors of the file.
using RuleResult =
    boost::outcome_v2::basic_result<RuleSet, std::vector<Error>,
                                    boost::outcome_v2::policy::terminate>;

inline constexpr size_t MaxRuleFileBytes = size_t{1} << 20;

/// @param FileName the name to show in errors.
/// @return the rules, or an error with a remedy for each invalid line.
RuleResult parseRules(std::string_view FileName, std::string_view Text);

/// @param Text the whole rule file.
/// @return a hash by which processes check that they have the same rule file.
int64_t ruleHash(std::string_view Text);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_PARSE_FUNC_H
