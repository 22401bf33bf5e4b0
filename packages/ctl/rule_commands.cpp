/// @file
/// The subcommands about rules: check, diff, show and explain.

#include "base/text_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "ctl/platform_base.h"
#include "rules/diff_func.h"
#include "rules/explain_func.h"
#include "rules/parse_func.h"

#include <iostream>

namespace camphornotch {

namespace {

using nlohmann::json;

/// Reads and parses a rule file.
/// @return ExitCode::Ok, or the exit code of the error that was printed.
ExitCode loadRules(const Options &Wanted, const std::string &Path,
                   RuleSet &Out) {
  const Result<std::string> Text = readFile(Path);
  if (!Text.has_value())
    return fail(Wanted, Text.error());
  RuleResult Rules = parseRules(Path, Text.value());
  if (!Rules.has_value())
    return fail(Wanted, Rules.error(), ExitCode::BadRules);
  Out = std::move(Rules.value());
  return ExitCode::Ok;
}

/// Reads the accepted configuration from the log.
/// @return ExitCode::Ok, or the exit code of the error that was printed.
ExitCode loadAccepted(const Options &Wanted, AcceptedConfig &Out) {
  Platform Services(Wanted);
  LogFold Fold;
  const Result<LogOffset> End = Services.foldAll(Fold);
  if (!End.has_value())
    return fail(Wanted, End.error());
  Out = Fold.config();
  return ExitCode::Ok;
}

/// @return the number of rules of all kinds.
size_t countRules(const RuleSet &Rules) {
  return Rules.Trainers.size() + Rules.Services.size() + Rules.Hosts.size() +
         Rules.Limits.size() + Rules.Priorities.size() + Rules.Routing.size() +
         Rules.Weights.size() + Rules.Quarantine.size();
}

/// @return the line of the decision's rule, as text; "built in" if it has none.
std::string placeOf(const Decision &One) {
  return One.Line == 0 ? "built in" : concat("line ", One.Line);
}

} // namespace

ExitCode runCheck(const Options &Wanted) {
  RuleSet Rules;
  const std::string &Path = Wanted.Arguments.front();
  const ExitCode Code = loadRules(Wanted, Path, Rules);
  if (Code != ExitCode::Ok)
    return Code;
  if (Wanted.Json)
    printJson({{"file", Path}, {"rules", countRules(Rules)}});
  else
    std::cout << Path << ": ok, " << countRules(Rules) << " rules\n";
  return ExitCode::Ok;
}

ExitCode runDiff(const Options &Wanted) {
  RuleSet After;
  ExitCode Code = loadRules(Wanted, Wanted.Arguments.front(), After);
  if (Code != ExitCode::Ok)
    return Code;
  RuleSet Before;
  if (Wanted.Arguments.size() > 1) {
    Code = loadRules(Wanted, Wanted.Arguments[1], Before);
  } else {
    AcceptedConfig Accepted;
    Code = loadAccepted(Wanted, Accepted);
    Before = *Accepted.Rules;
  }
  if (Code != ExitCode::Ok)
    return Code;
  const std::vector<RuleChange> Changes = diffRules(Before, After);
  if (Wanted.Json)
    printJson({{"changes", diffJson(Changes)}});
  else
    std::cout << renderDiff(Changes);
  return ExitCode::Ok;
}

ExitCode runShow(const Options &Wanted) {
  AcceptedConfig Accepted;
  const ExitCode Code = loadAccepted(Wanted, Accepted);
  if (Code != ExitCode::Ok)
    return Code;
  if (Wanted.Json)
    printJson({{"offset", Accepted.Offset.Value}, {"text", Accepted.Text}});
  else
    std::cout << "; base " << Accepted.Offset.Value << "\n" << Accepted.Text;
  return ExitCode::Ok;
}

ExitCode runExplain(const Options &Wanted) {
  RuleSet Rules;
  ExitCode Code = ExitCode::Ok;
  if (!Wanted.Arguments.empty()) {
    Code = loadRules(Wanted, Wanted.Arguments.front(), Rules);
  } else {
    AcceptedConfig Accepted;
    Code = loadAccepted(Wanted, Accepted);
    Rules = *Accepted.Rules;
  }
  if (Code != ExitCode::Ok)
    return Code;
  const ExplainQuery Query{Wanted.Caller, Wanted.Serves,   Wanted.Method,
                           Wanted.Path,   Wanted.Endpoint, Wanted.Host};
  json Out = json::array();
  for (const Decision &One : explainRules(Rules, Query)) {
    Out.push_back({{"subject", One.Subject},
                   {"rule", One.Rule},
                   {"line", One.Line},
                   {"asked_by", One.AskedBy},
                   {"why", One.Reason}});
    if (!Wanted.Json)
      std::cout << One.Subject << ": " << One.Rule << "\n    (" << placeOf(One)
                << ", asked by " << One.AskedBy << "; " << One.Reason << ")\n";
  }
  if (Wanted.Json)
    printJson({{"decisions", std::move(Out)}});
  return ExitCode::Ok;
}

} // namespace camphornotch
