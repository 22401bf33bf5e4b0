/// @file
/// Explains which rules apply to a request, and why.

#include "rules/explain_func.h"

#include "base/text_func.h"
#include "rules/lookup_func.h"

namespace camphornotch {

namespace {

/// @param Asked the text that the rule's pattern was compared with.
/// @return why the rule applies.
std::string whyThis(const RuleSource &Source, std::string_view Asked) {
  if (Source.Line == 0)
    return concat("no line of the file matches \"", Asked,
                  "\", so the built-in rule decides");
  return concat("the first line of its section that matches \"", Asked, "\"");
}

/// @param Asked the text that the rule's pattern was compared with.
Decision decide(std::string_view Subject, const RuleSource &Source,
                std::string_view Asked) {
  return Decision{std::string(Subject), Source.Text, Source.Line,
                  Source.AskedBy, whyThis(Source, Asked)};
}

/// Adds the rule for a trainer to Out.
void explainTrainer(const RuleSet &Rules, const ExplainQuestion &Question,
                    std::vector<Decision> &Out) {
  const TrainerRule &Rule = trainerRule(Rules, Question.Caller);
  Out.push_back(
      decide("engines and age of samples", Rule.Source, Question.Caller));
  if (Question.Endpoint.empty())
    return;
  const bool May = mayDraw(Rule, Question.Endpoint);
  Out.back().Why +=
      concat("; it ", May ? "allows " : "does not allow ", Question.Endpoint);
}

/// Adds the rules for a model or service to Out.
void explainServes(const RuleSet &Rules, const ExplainQuestion &Question,
                   std::vector<Decision> &Out) {
  const std::string &Serves = Question.Serves;
  Out.push_back(
      decide("choice of endpoint", routingRule(Rules, Serves).Source, Serves));
  Out.push_back(
      decide("quarantine", quarantineRule(Rules, Serves).Source, Serves));
  Out.push_back(
      decide("admission", admissionRule(Rules, Serves).Source, Serves));
  Out.push_back(
      decide("weight changes", weightRule(Rules, Serves).Source, Serves));
  if (Question.Path.empty())
    return;
  const ServiceRule &Rule =
      serviceRule(Rules, Serves, Question.Method, Question.Path);
  Out.push_back(
      decide("repetition and deadline of the call", Rule.Source,
             concat(Serves, " ", Question.Method, " ", Question.Path)));
}

} // namespace

std::vector<Decision> explainRules(const RuleSet &Rules,
                                   const ExplainQuestion &Question) {
  std::vector<Decision> Out;
  const std::string &Caller = Question.Caller;
  if (!Caller.empty()) {
    Out.push_back(decide("limits", limitRule(Rules, Caller).Source, Caller));
    Out.push_back(
        decide("priority", priorityRule(Rules, Caller).Source, Caller));
    explainTrainer(Rules, Question, Out);
  }
  if (!Question.Serves.empty())
    explainServes(Rules, Question, Out);
  if (!Question.Host.empty())
    Out.push_back(decide("time to leave", hostRule(Rules, Question.Host).Source,
                         Question.Host));
  return Out;
}

} // namespace camphornotch
