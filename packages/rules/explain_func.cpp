/// @file
/// Explains which rules apply to a request, and why.

#include "rules/explain_func.h"

#include "base/text_func.h"
#include "rules/lookup_func.h"

namespace camphornotch {

namespace {

/// @param MatchedText the text that the rule's pattern was compared with.
/// @return why the rule applies.
std::string explainMatch(const RuleSource &Source,
                         std::string_view MatchedText) {
  if (Source.Line == 0)
    return concat("no line of the file matches \"", MatchedText,
                  "\", so the built-in rule decides");
  return concat("the first line of its section that matches \"", MatchedText,
                "\"");
}

/// @param MatchedText the text that the rule's pattern was compared with.
Decision makeDecision(std::string_view Subject, const RuleSource &Source,
                      std::string_view MatchedText) {
  return Decision{std::string(Subject), Source.Text, Source.Line,
                  Source.AskedBy, explainMatch(Source, MatchedText)};
}

/// Adds the rule for a trainer to Out.
void explainTrainer(const RuleSet &Rules, const ExplainQuery &Query,
                    std::vector<Decision> &Out) {
  const TrainerRule &Rule = trainerRule(Rules, Query.Caller);
  Out.push_back(
      makeDecision("engines and age of samples", Rule.Source, Query.Caller));
  if (Query.Endpoint.empty())
    return;
  const bool Allowed = mayUseEngine(Rule, Query.Endpoint);
  Out.back().Reason +=
      concat("; it ", Allowed ? "allows " : "does not allow ", Query.Endpoint);
}

/// Adds the rules for a model or service to Out.
void explainServes(const RuleSet &Rules, const ExplainQuery &Query,
                   std::vector<Decision> &Out) {
  const std::string &Serves = Query.Serves;
  Out.push_back(makeDecision("choice of endpoint",
                             routingRule(Rules, Serves).Source, Serves));
  Out.push_back(
      makeDecision("quarantine", quarantineRule(Rules, Serves).Source, Serves));
  Out.push_back(
      makeDecision("admission", admissionRule(Rules, Serves).Source, Serves));
  Out.push_back(
      makeDecision("weight changes", weightRule(Rules, Serves).Source, Serves));
  if (Query.Path.empty())
    return;
  const ServiceRule &Rule =
      serviceRule(Rules, Serves, Query.Method, Query.Path);
  Out.push_back(
      makeDecision("repetition and deadline of the call", Rule.Source,
                   concat(Serves, " ", Query.Method, " ", Query.Path)));
}

} // namespace

std::vector<Decision> explainRules(const RuleSet &Rules,
                                   const ExplainQuery &Query) {
  std::vector<Decision> Out;
  const std::string &Caller = Query.Caller;
  if (!Caller.empty()) {
    Out.push_back(
        makeDecision("limits", limitRule(Rules, Caller).Source, Caller));
    Out.push_back(
        makeDecision("priority", priorityRule(Rules, Caller).Source, Caller));
    explainTrainer(Rules, Query, Out);
  }
  if (!Query.Serves.empty())
    explainServes(Rules, Query, Out);
  if (!Query.Host.empty())
    Out.push_back(makeDecision("time to leave",
                               hostRule(Rules, Query.Host).Source, Query.Host));
  return Out;
}

} // namespace camphornotch
