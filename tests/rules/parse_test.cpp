/// @file
/// Tests of parsing and looking up rules.

#include "base/settings_func.h"
#include "rules/lookup_func.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace camphornotch;

namespace {

/// @return whether parsing Text gives an error that contains Part.
bool refusedWith(std::string_view Text, std::string_view Part) {
  const RuleResult Outcome = parseRules("f", Text);
  return Outcome.has_error() &&
         renderFaults(Outcome.error()).find(Part) != std::string::npos;
}

std::string exampleText() {
  std::ifstream File(CAMPHORNOTCH_SOURCE_DIR "/examples/rules.ini");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

Test(parseRules, example_file_is_accepted) {
  const RuleResult Outcome = parseRules("rules.ini", exampleText());
  cr_assert(Outcome.has_value(), "%s",
            Outcome.has_value() ? "" : renderFaults(Outcome.error()).c_str());
  const RuleSet &Rules = Outcome.value();
  cr_assert(trainerRule(Rules, "point-angle").MaxAgeVersions == 1);
  cr_assert(trainerRule(Rules, "stranger").MaxInFlight == 256);
  cr_assert(serviceRule(Rules, "ledger", "POST", "/bookings/7").NonIdempotent);
  cr_assert(!serviceRule(Rules, "ledger", "GET", "/bookings/7").NonIdempotent);
  cr_assert(mayUseEngine(trainerRule(Rules, "reviewer"), "grind-9"));
  cr_assert(!mayUseEngine(trainerRule(Rules, "reviewer"), "grind-8"));
}

Test(parseRules, rule_without_asker_is_refused_with_remedy) {
  cr_assert(refusedWith("[hosts]\n* = leave_grace_ms=1\n",
                        "f:2: rule \"*\" does not say who asked for it; end "
                        "the line with \"; asked by NAME: why\""));
  cr_assert(refusedWith("[hosts]\n* = leave_grace_ms=1 ; because\n",
                        "does not say who asked"));
  cr_assert(refusedWith("[hosts]\n; asked by A\n\n* = leave_grace_ms=1\n",
                        "does not say who asked"));
}

Test(parseRules, asker_on_the_line_before_counts) {
  const RuleResult Outcome =
      parseRules("f", "[hosts]\n; asked by A: why\n* = leave_grace_ms=1\n");
  cr_assert(Outcome.has_value());
  cr_assert(Outcome.value().Hosts[0].Source.AskedBy == "A: why");
}

Test(parseRules, every_faulty_line_names_its_remedy) {
  cr_assert(refusedWith("[who]\na = b=1 ; asked by A\n",
                        "f:2: unknown section [who]; sections: trainers"));
  cr_assert(refusedWith("[hosts]\na = grace=1 ; asked by A\n",
                        "unknown field \"grace\"; fields of [hosts]: "
                        "leave_grace_ms"));
  cr_assert(refusedWith("[hosts]\na = leave_grace_ms=-1 ; asked by A\n",
                        "whole number from 0 to"));
  cr_assert(refusedWith("[hosts]\na = leave_grace_ms = 1 ; asked by A\n",
                        "without blanks around"));
  cr_assert(refusedWith("[routing]\n* = policy=best ; asked by A\n",
                        "write probing or round_robin or least_outstanding"));
  cr_assert(refusedWith("[trainers]\nt = engines=a,,b ; asked by A\n",
                        "single commas"));
  cr_assert(refusedWith("[hosts]\na = ; asked by A\na = ; asked by A\n",
                        "f:3: [hosts] a is given twice"));
}

Test(parseRules, empty_file_gives_the_built_in_rules) {
  const RuleResult Outcome = parseRules("f", "");
  cr_assert(Outcome.has_value());
  const TrainerRule &Rule = trainerRule(Outcome.value(), "anyone");
  cr_assert(Rule.Source.Line == 0 && Rule.MaxAgeVersions == 2);
  cr_assert(quarantineRule(Outcome.value(), "m").Crashes == 3);
}

Test(parseRules, any_text_is_accepted_or_refused_with_remedies) {
  const bool Holds = rc::check([](const std::string &Text) {
    const RuleResult Outcome = parseRules("f", "[hosts]\n" + Text);
    if (Outcome.has_error())
      for (const Error &Fault : Outcome.error())
        RC_ASSERT(!Fault.Remedy.empty());
  });
  cr_assert(Holds);
}

Test(matchesPattern, stars_stand_for_any_run) {
  cr_assert(matchesPattern("*", ""));
  cr_assert(matchesPattern("grind-*", "grind-7"));
  cr_assert(matchesPattern("*a*b", "xaxxab"));
  cr_assert(!matchesPattern("*a*b", "xaxxabc"));
  cr_assert(!matchesPattern("", "a"));
  cr_assert(matchesPattern("a**", "a"));
}
