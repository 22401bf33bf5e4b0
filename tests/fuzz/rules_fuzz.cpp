/// @file
/// Fuzzing of the rule file and of changes to it: every text is accepted or
/// refused with remedies, and what is accepted can be told apart, changed and
/// explained.

#include "rules/delta_func.h"
#include "rules/diff_func.h"
#include "rules/explain_func.h"
#include "rules/parse_func.h"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace camphornotch;

namespace {

/// Ends the process if something does not hold.
/// @param Holds what must hold.
void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// @param Text a text that may be a rule file.
void checkRules(const std::string &Text) {
  const RuleResult Rules = parseRules("f", Text);
  if (!Rules.has_value()) {
    for (const Error &Fault : Rules.error())
      require(!Fault.Message.empty() && !Fault.Remedy.empty());
    return;
  }
  require(diffRules(Rules.value(), Rules.value()).empty());
  const ExplainQuery Query{"caller", "service", "POST",
                           "/path",  "engine",  "host"};
  require(!explainRules(Rules.value(), Query).empty());
}

/// @param Before a text.
/// @param After another one.
void checkDelta(const std::string &Before, const std::string &After) {
  const Result<std::string> Applied =
      applyDelta(Before, encodeDelta(Before, After));
  require(Applied.has_value() && Applied.value() == After);
  (void)applyDelta(Before, After);
}

} // namespace

/// libFuzzer's entry point.
/// @param Data an input.
/// @param Size its length.
/// @return 0.
// NOLINTNEXTLINE(readability-identifier-naming): name fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  const std::string Text(reinterpret_cast<const char *>(Data), Size);
  checkRules(Text);
  const size_t Middle = Size / 2;
  checkDelta(Text.substr(0, Middle), Text.substr(Middle));
  return 0;
}
