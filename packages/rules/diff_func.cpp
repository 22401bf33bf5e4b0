/// @file
/// Rule-by-rule comparison of two rule sets.

#include "rules/diff_func.h"

#include "base/text_func.h"
#include "rules/table/rule_kinds.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// @return the rule with this name; null if there is none.
template <typename RuleT>
const RuleT *findRule(const std::vector<RuleT> &Rules, std::string_view Name) {
  const auto Found =
      std::find_if(Rules.begin(), Rules.end(),
                   [&](const RuleT &Rule) { return Rule.Source.Name == Name; });
  return Found == Rules.end() ? nullptr : &*Found;
}

/// @return the names that both lists have, in the order of Rules.
template <typename RuleT>
std::vector<std::string_view> commonNames(const std::vector<RuleT> &Rules,
                                          const std::vector<RuleT> &Other) {
  std::vector<std::string_view> Names;
  for (const RuleT &Rule : Rules)
    if (findRule(Other, Rule.Source.Name) != nullptr)
      Names.emplace_back(Rule.Source.Name);
  return Names;
}

/// Adds a change to Out for each rule of both sets whose position among them
/// differs.
template <typename RuleT>
void diffOrder(const RuleKind<RuleT> &Kind, const std::vector<RuleT> &Before,
               const std::vector<RuleT> &After, std::vector<RuleChange> &Out) {
  const auto Old = commonNames(Before, After);
  const auto New = commonNames(After, Before);
  for (size_t Index = 0; Index < New.size(); ++Index) {
    if (Old[Index] == New[Index])
      continue;
    const RuleSource &Source = findRule(After, New[Index])->Source;
    Out.push_back(RuleChange{RuleChangeKind::Moved, std::string(Kind.Section),
                             Source.Name, Source.Text, Source.Text,
                             Source.AskedBy});
  }
}

/// Adds the changes of one section to Out.
template <typename RuleT>
void diffSection(const RuleKind<RuleT> &Kind, const std::vector<RuleT> &Before,
                 const std::vector<RuleT> &After,
                 std::vector<RuleChange> &Out) {
  const std::string Section(Kind.Section);
  for (const RuleT &Rule : Before)
    if (findRule(After, Rule.Source.Name) == nullptr)
      Out.push_back(RuleChange{RuleChangeKind::Removed, Section,
                               Rule.Source.Name, Rule.Source.Text, "",
                               Rule.Source.AskedBy});
  for (const RuleT &Rule : After) {
    const RuleT *Old = findRule(Before, Rule.Source.Name);
    if (Old != nullptr && Old->Source.Text == Rule.Source.Text)
      continue;
    const auto Change =
        Old == nullptr ? RuleChangeKind::Added : RuleChangeKind::Changed;
    Out.push_back(RuleChange{Change, Section, Rule.Source.Name,
                             Old == nullptr ? "" : Old->Source.Text,
                             Rule.Source.Text, Rule.Source.AskedBy});
  }
  diffOrder(Kind, Before, After, Out);
}

} // namespace

std::vector<RuleChange> diffRules(const RuleSet &Before, const RuleSet &After) {
  std::vector<RuleChange> Out;
  forEachRuleKind([&](const auto &Kind) {
    diffSection(Kind, Before.*Kind.Rules, After.*Kind.Rules, Out);
  });
  return Out;
}

std::string_view changeName(RuleChangeKind Kind) {
  constexpr std::array<std::string_view, 4> Names{"added", "removed", "changed",
                                                  "moved"};
  return Names[static_cast<size_t>(Kind)];
}

std::string renderDiff(const std::vector<RuleChange> &Changes) {
  std::string Text;
  for (const RuleChange &Change : Changes) {
    if (Change.Kind == RuleChangeKind::Moved) {
      Text += concat("~ ", Change.After, " ; moved\n");
      continue;
    }
    if (!Change.Before.empty())
      Text += concat("- ", Change.Before, "\n");
    if (!Change.After.empty())
      Text += concat("+ ", Change.After, " ; asked by ", Change.AskedBy, "\n");
  }
  return Text;
}

} // namespace camphornotch
