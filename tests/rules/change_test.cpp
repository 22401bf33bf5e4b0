/// @file
/// Tests of rule comparison, text deltas and explanations.

#include "rules/delta_func.h"
#include "rules/diff_func.h"
#include "rules/explain_func.h"
#include "rules/lookup_func.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

RuleSet rules(std::string_view Text) { return parseRules("f", Text).value(); }

/// @return a random text of a few short lines, some of which are equal.
std::string randomText() {
  std::string Text;
  const int Count = *rc::gen::inRange(0, 12);
  for (int Index = 0; Index < Count; ++Index)
    Text +=
        *rc::gen::element<std::string>("a", "b", "\n", "+x\n", "=1\n", "\n\n");
  return Text;
}

} // namespace

Test(encodeDelta, any_two_texts_round_trip) {
  const bool Holds = rc::check([] {
    const std::string Before = randomText();
    const std::string After = randomText();
    const auto Applied = applyDelta(Before, encodeDelta(Before, After));
    RC_ASSERT(Applied.has_value());
    RC_ASSERT(Applied.value() == After);
  });
  cr_assert(Holds);
}

Test(encodeDelta, one_changed_line_adds_one_line) {
  std::string Before;
  for (int Line = 0; Line < 1000; ++Line)
    Before += "line " + std::to_string(Line) + "\n";
  std::string After = Before;
  After.replace(After.find("line 500"), 8, "line xxx");
  cr_assert(encodeDelta(Before, After) == "=500\n-1\n+line xxx\n=500\n");
}

Test(applyDelta, change_for_another_text_is_refused) {
  for (const auto *Delta : {"=3\n", "=1\n", "-9999999999999999999\n", "x\n",
                            "+no end", "=\n", "-1\n-1\n-1\n"})
    cr_assert(applyDelta("one\ntwo", Delta).has_error(), "%s", Delta);
}

Test(diffRules, changes_are_reported_by_rule) {
  const auto Changes = diffRules(
      rules("[hosts]\na = leave_grace_ms=1 ; asked by A\nb = ; asked by A\n"),
      rules("[hosts]\na = leave_grace_ms=2 ; asked by B\nc = ; asked by C\n"));
  cr_assert(Changes.size() == 3);
  cr_assert(renderDiff(Changes) ==
            "- [hosts] b = leave_grace_ms=30000\n"
            "- [hosts] a = leave_grace_ms=1\n"
            "+ [hosts] a = leave_grace_ms=2 ; asked by B\n"
            "+ [hosts] c = leave_grace_ms=30000 ; asked by C\n");
}

Test(diffRules, moved_rule_is_reported_and_changed_comment_is_not) {
  const auto Changes =
      diffRules(rules("[hosts]\na = ; asked by A\nb = ; asked by A\n"),
                rules("[hosts]\nb = ; asked by Z\na = ; asked by A\n"));
  cr_assert(Changes.size() == 2);
  cr_assert(Changes[0].Kind == RuleChangeKind::Moved);
  cr_assert(diffRules(rules("[hosts]\na = ; asked by A\n"),
                      rules("\n[hosts]\na = ; asked by B\n"))
                .empty());
}

Test(explainRules, names_the_line_and_who_asked) {
  const RuleSet Rules =
      rules("[trainers]\npoint* = engines=grind-* ; asked by Morag (bench)\n");
  const auto Decisions = explainRules(
      Rules, ExplainQuery{"point-angle", "", "", "", "desk-1", ""});
  cr_assert(Decisions.size() == 3);
  cr_assert(Decisions[0].Line == 0);
  cr_assert(Decisions[2].Line == 2);
  cr_assert(Decisions[2].AskedBy == "Morag (bench)");
  cr_assert(Decisions[2].Reason.ends_with("it does not allow desk-1"));
}
