/// @file
/// Bytes and processor time of one configuration change for each agent, when
/// it is pushed whole, as a change, pruned, or as a pruned change.
///
/// Usage: config_fanout [RULES [CHANGES]]

#include "config_fanout/prune_func.h"

#include "base/text_func.h"
#include "rules/delta_func.h"
#include "rules/parse_func.h"
#include "wire/codec_func.h"

#include <absl/strings/numbers.h>
#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <vector>

using namespace camphornotch;

namespace {

/// Agents of one data centre at the target size: 5,000 over 14.
constexpr int Agents = 357;
/// Changes a second at the target: 28,000 a day.
constexpr double ChangesPerSecond = 28000.0 / 86400;

/// One line of the synthetic rule file: its section and fields.
struct RuleLine {
  std::string Section;
  std::string Name;
  int Value = 0;
};

/// @param Line a rule.
/// @return the fields that its section takes.
std::string fieldsOf(const RuleLine &Line) {
  if (Line.Section == "trainers")
    return concat("engines=engine-", Line.Value % 10,
                  "* weight=", Line.Value % 9 + 1);
  if (Line.Section == "services")
    return concat("service=service-", Line.Value % 50, " method=POST path=/p",
                  Line.Value,
                  "* non_idempotent=yes deadline_ms=", Line.Value + 1000);
  if (Line.Section == "limits")
    return concat("rate_per_second=", Line.Value % 1000 + 1);
  if (Line.Section == "hosts")
    return concat("leave_grace_ms=", Line.Value);
  return concat("priority=", Line.Value % 100);
}

/// @param Count how many rules.
/// @return a file's rules: most for callers and services, some for hosts.
std::vector<RuleLine> makeRules(int Count) {
  const std::vector<std::string> Sections{"trainers", "services", "limits",
                                          "priorities", "hosts"};
  std::vector<RuleLine> Lines;
  for (size_t Section = 0; Section < Sections.size(); ++Section)
    for (int Index = 0; Index < Count / 5; ++Index)
      Lines.push_back(RuleLine{Sections[Section],
                               concat("name-", Section, "-", Index), Index});
  return Lines;
}

/// @param Lines the rules.
/// @return the rule file.
std::string render(const std::vector<RuleLine> &Lines) {
  std::string Text;
  std::string Section;
  for (const RuleLine &Line : Lines) {
    if (Line.Section != Section)
      Text += concat("[", Line.Section, "]\n");
    Section = Line.Section;
    Text += concat(Line.Name, " = ", fieldsOf(Line),
                   " ; asked by Morag (bench): a reason of common length\n");
  }
  return Text;
}

/// What one way costs, summed over agents and changes.
struct Cost {
  size_t Bytes = 0;
  double Micros = 0;
  size_t Pushes = 0;
};

/// Adds one push to a cost.
/// @param Total the cost.
/// @param Make makes the text or change to push.
/// @param IsDelta whether it is a change.
void addPush(Cost &Total, const std::function<std::string()> &Make,
             bool IsDelta) {
  const auto Start = std::chrono::steady_clock::now();
  wire::ConfigPush Push;
  Push.Offset = 123456;
  Push.Hash = 1234567890123456789;
  if (IsDelta) {
    Push.__set_BaseOffset(123455);
    Push.__set_Delta(Make());
  } else {
    Push.__set_Text(Make());
  }
  wire::PeerMessage Message;
  Message.__set_ConfigPushMsg(Push);
  Total.Bytes += encodeFrame(Message).size();
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  Total.Micros += Took.count();
  ++Total.Pushes;
}

/// The four ways.
struct Costs {
  Cost Whole;
  Cost Delta;
  Cost Pruned;
  Cost PrunedDelta;
  /// Applying a change and parsing the whole file, at the agent.
  Cost Receive;
};

/// Measures one change.
/// @param Before the file before.
/// @param After the file after.
/// @param Out takes the costs.
void measureChange(const std::string &Before, const std::string &After,
                   Costs &Out) {
  const RuleSet OldRules = parseRules("f", Before).value();
  const RuleSet NewRules = parseRules("f", After).value();
  // A change is the same for all agents, so it is made once and sent often.
  std::string Delta;
  addPush(
      Out.Delta, [&] { return Delta = encodeDelta(Before, After); }, true);
  addPush(
      Out.Whole, [&] { return After; }, false);
  for (int Agent = 0; Agent < Agents; ++Agent) {
    const std::string Host = concat("name-4-", Agent);
    const std::string Endpoint = concat("engine-", Agent);
    const std::string Serves = concat("service-", Agent % 50);
    const RuleAudience Audience{Host, Endpoint, Serves};
    addPush(
        Out.Pruned, [&] { return pruneRules(NewRules, After, Audience); },
        false);
    addPush(
        Out.PrunedDelta,
        [&] {
          return encodeDelta(pruneRules(OldRules, Before, Audience),
                             pruneRules(NewRules, After, Audience));
        },
        true);
  }
  addPush(
      Out.Receive,
      [&] {
        const std::string Text = applyDelta(Before, Delta).value();
        return parseRules("f", Text).has_value() ? Text : std::string();
      },
      false);
}

/// Prints one row.
/// @param Name the way.
/// @param Total its cost.
/// @param PerChange how often its work is done for each change.
void printRow(const char *Name, const Cost &Total, double PerChange) {
  const double Pushes = static_cast<double>(Total.Pushes);
  const double Bytes = static_cast<double>(Total.Bytes) / Pushes;
  const double Micros = Total.Micros / Pushes;
  std::printf("%-14s %12.0f %14.1f %16.0f %18.3f\n", Name, Bytes,
              Bytes * ChangesPerSecond, Micros,
              Micros * PerChange * ChangesPerSecond / 1e4);
}

/// @param Count the number of arguments.
/// @param Arguments the arguments.
/// @param Index which one.
/// @param Default its value if it is not given.
/// @return the number.
int argument(int Count, char **Arguments, int Index, int Default) {
  int Value = Default;
  if (Index < Count && !absl::SimpleAtoi(Arguments[Index], &Value))
    return Default;
  return Value;
}

} // namespace

/// Runs the measurement.
/// @param Count the number of arguments.
/// @param Arguments the arguments.
/// @return the exit code.
int main(int Count, char **Arguments) {
  const int Rules = argument(Count, Arguments, 1, 1000);
  const int Changes = argument(Count, Arguments, 2, 20);
  std::mt19937_64 Random(20261204);
  std::vector<RuleLine> Lines = makeRules(Rules);
  Costs Total;
  for (int Change = 0; Change < Changes; ++Change) {
    const std::string Before = render(Lines);
    Lines[Random() % Lines.size()].Value += 1;
    measureChange(Before, render(Lines), Total);
  }
  std::printf("rules=%d changes=%d agents=%d changes_per_second=%.3f\n", Rules,
              Changes, Agents, ChangesPerSecond);
  std::printf("%-14s %12s %14s %16s %18s\n", "way", "bytes/push",
              "bytes/s/agent", "micros/make", "core_percent");
  printRow("whole", Total.Whole, Agents);
  printRow("delta", Total.Delta, 1);
  printRow("pruned", Total.Pruned, Agents);
  printRow("pruned_delta", Total.PrunedDelta, Agents);
  printRow("agent_apply", Total.Receive, 1);
  return 0;
}
