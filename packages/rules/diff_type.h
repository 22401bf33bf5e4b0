/// @file
/// The changes between two rule sets, rule by rule.

#ifndef CAMPHORNOTCH_RULES_DIFF_TYPE_H
#define CAMPHORNOTCH_RULES_DIFF_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// What happened to a rule.
enum class RuleChangeKind : uint8_t {
  Added,   ///< Only the later set has it.
  Removed, ///< Only the earlier set has it.
  Changed, ///< Its fields differ.
  Moved,   ///< Its position in the section differs, and so may the rule that
           ///< matches first.
};

/// The change of one rule.
struct RuleChange {
  RuleChangeKind Kind = RuleChangeKind::Changed;
  std::string Section;
  std::string Name;
  /// The old text; empty if the rule was added.
  std::string Before;
  /// The new text; empty if the rule was removed.
  std::string After;
  /// Who asked for the rule, taken from the later set; for a removed rule,
  /// from the earlier one.
  std::string AskedBy;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DIFF_TYPE_H
