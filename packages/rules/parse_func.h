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

/// A rule set, or every fault found in the file.
using RuleResult =
    boost::outcome_v2::basic_result<RuleSet, std::vector<Error>,
                                    boost::outcome_v2::policy::terminate>;

/// Largest rule file.
inline constexpr size_t MaxRuleFileBytes = size_t{1} << 20;

/// @param FileName the name to put into errors.
/// @param Text the whole file.
/// @return the rules; or each faulty line, with its remedy.
RuleResult parseRules(std::string_view FileName, std::string_view Text);

/// @param Text a whole rule file.
/// @return the hash that processes compare to see that they hold the same.
int64_t ruleHash(std::string_view Text);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_PARSE_FUNC_H
