/// @file
/// The part of a rule file that can apply at one agent.

#include "config_fanout/prune_func.h"

#include "base/text_func.h"
#include "rules/lookup_func.h"
#include "rules/table/rule_kinds.h"

namespace camphornotch {

namespace {

/// What the making of one pruned file shares.
class PrunedFile {
public:
  /// @param Whole the whole file.
  explicit PrunedFile(std::string_view Whole) {
    for (size_t End = Whole.find('\n'); End != std::string_view::npos;
         End = Whole.find('\n')) {
      this->Lines.push_back(Whole.substr(0, End));
      Whole.remove_prefix(End + 1);
    }
    this->Lines.push_back(Whole);
  }

  /// Adds the lines of one section.
  /// @param Kind the section.
  /// @param Rules its rules.
  /// @param Applies whether a rule can apply at the agent.
  /// @param FirstOnly whether only the first of these can ever decide.
  template <typename RuleT, typename AppliesT>
  void add(const RuleKind<RuleT> &Kind, const std::vector<RuleT> &Rules,
           AppliesT Applies, bool FirstOnly) {
    bool HasHeader = false;
    for (const RuleT &Rule : Rules) {
      if (!Applies(Rule))
        continue;
      if (!HasHeader)
        this->Text += concat("[", Kind.Section, "]\n");
      HasHeader = true;
      this->addLine(Rule.Source);
      if (FirstOnly)
        return;
    }
  }

  /// @return the pruned file.
  std::string take() { return std::move(this->Text); }

private:
  /// Adds a rule's line as written, with its comment.
  /// @param Source the rule.
  void addLine(const RuleSource &Source) {
    const std::string_view Line = this->Lines[Source.Line - 1];
    if (Line.find(" ;") == std::string_view::npos &&
        Line.find("\t;") == std::string_view::npos)
      this->Text += concat("; asked by ", Source.AskedBy, "\n");
    this->Text += concat(Line, "\n");
  }

  /// The lines of the whole file.
  std::vector<std::string_view> Lines;
  /// The pruned file so far.
  std::string Text;
};

/// @param Name what the rules' names are compared with.
/// @return a predicate for rules whose name is a pattern.
auto named(std::string_view Name) {
  return [Name](const auto &Rule) {
    return matchesPattern(Rule.Source.Name, Name);
  };
}

} // namespace

std::string pruneRules(const RuleSet &Rules, std::string_view Text,
                       const RuleAudience &Audience) {
  PrunedFile Out(Text);
  const auto Draws = [&](const TrainerRule &Rule) {
    return mayUseEngine(Rule, Audience.Endpoint);
  };
  const auto Calls = [&](const ServiceRule &Rule) {
    return matchesPattern(Rule.Service, Audience.Serves);
  };
  Out.add(std::get<RuleKind<TrainerRule>>(RuleKinds), Rules.Trainers, Draws,
          false);
  Out.add(std::get<RuleKind<ServiceRule>>(RuleKinds), Rules.Services, Calls,
          false);
  Out.add(std::get<RuleKind<HostRule>>(RuleKinds), Rules.Hosts,
          named(Audience.Host), true);
  Out.add(std::get<RuleKind<WeightRule>>(RuleKinds), Rules.Weights,
          named(Audience.Serves), true);
  Out.add(std::get<RuleKind<AdmissionRule>>(RuleKinds), Rules.Admission,
          named(Audience.Serves), true);
  Out.add(std::get<RuleKind<QuarantineRule>>(RuleKinds), Rules.Quarantine,
          named(Audience.Serves), true);
  return Out.take();
}

} // namespace camphornotch
