/// @file
/// The difference of two rule sets, by rule.

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
  Moved,   ///< It stands at another place in its section, which decides
           ///< which rule matches first.
};

/// The change of one rule.
struct RuleChange {
  RuleChangeKind Kind = RuleChangeKind::Changed;
  /// The section it stands in.
  std::string Section;
  /// Its name.
  std::string Name;
  /// Its text before; empty if it was added.
  std::string Before;
  /// Its text after; empty if it was removed.
  std::string After;
  /// Who asked for it, as the later set says; else the earlier one.
  std::string AskedBy;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DIFF_TYPE_H
