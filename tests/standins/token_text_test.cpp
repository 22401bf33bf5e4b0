/// @file
/// Tests of the deterministic token texts and their check.

#include "standins/common/token_text.h"

#include <criterion/criterion.h>

using namespace camphornotch::standin;

namespace {

/// @param End index after the last token.
/// @param Mark what the tokens contain; with Last, the last token gets the end
///        mark.
/// @return the text of the tokens from Begin up to End.
std::string tokens(PromptHash Hash, int64_t Begin, int64_t End,
                   TokenMark Mark) {
  const bool HasEndMark = Mark.Last;
  std::string Text;
  for (int64_t Index = Begin; Index < End; ++Index) {
    Mark.Last = HasEndMark && Index + 1 == End;
    Text += tokenText(Hash, Index, Mark);
  }
  return Text;
}

const PromptHash Hash = hashPrompt("front points");

} // namespace

Test(token_text, of_two_versions_names_both) {
  const std::string Text =
      tokens(Hash, 0, 3, {.Version = 4, .Last = false, .Run = "e:1"}) +
      tokens(Hash, 3, 5, {.Version = 5, .Last = true, .Run = "f:2"});
  const VerifiedText Answer = verifyText(Hash, Text);
  cr_assert(Answer.Valid);
  cr_assert(Answer.Complete);
  cr_assert(Answer.Tokens == 5);
  cr_assert(Answer.Run == "e:1");
  const std::vector<TokenSegment> Expected = {{0, 4}, {3, 5}};
  cr_assert(Answer.Segments == Expected);
}

Test(token_text, without_its_end_is_not_whole) {
  const std::string Text = tokens(Hash, 0, 3, {.Version = 1, .Run = "e:1"});
  const VerifiedText Answer = verifyText(Hash, Text);
  cr_assert(Answer.Valid);
  cr_assert_not(Answer.Complete);
}

Test(token_text, of_another_prompt_is_not_valid) {
  const std::string Text =
      tokens(Hash, 0, 3, {.Version = 1, .Last = true, .Run = "e:1"});
  cr_assert_not(verifyText(hashPrompt("other"), Text).Valid);
}

Test(token_text, with_a_gap_or_repeat_is_not_valid) {
  const TokenMark Mark{.Version = 1, .Last = false, .Run = "e:1"};
  const std::string Start = tokens(Hash, 0, 3, Mark);
  const TokenMark End{.Version = 1, .Last = true, .Run = ""};
  cr_assert_not(verifyText(Hash, Start + tokens(Hash, 4, 6, End)).Valid);
  cr_assert_not(verifyText(Hash, Start + tokens(Hash, 2, 6, End)).Valid);
  const std::string Whole = Start + tokens(Hash, 3, 5, End);
  cr_assert_not(verifyText(Hash, Whole + tokens(Hash, 5, 6, End)).Valid);
}

Test(token_text, of_arbitrary_bytes_is_not_valid) {
  for (const char *Text : {"", " ", "abc ", "abcd.x ", "abcd.1", "\xff\xfe "}) {
    cr_assert_not(verifyText(Hash, Text).Valid);
  }
}
