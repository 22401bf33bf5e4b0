/// @file
/// Parsing and checking of the rule file.

#include "rules/parse_func.h"

#include "base/hash_func.h"
#include "base/ini_func.h"
#include "rules/field_internal.h"

#include <absl/strings/str_split.h>
#include <set>

namespace camphornotch {

namespace {

/// Start of the comment that says who asked for a rule.
constexpr std::string_view AskedByPrefix = "asked by ";

/// State of the parsing of one file.
struct RuleReader {
  std::string_view FileName;
  RuleSet Rules;
  std::vector<Error> Faults;
  /// The section and name of each rule read so far, to reject duplicates.
  std::set<std::pair<std::string, std::string>> SeenRules;

  void addFault(int Line, std::string_view Message, std::string_view Remedy) {
    this->Faults.push_back(
        Error{ErrorKind::BadRule,
              iniPlace(this->FileName, Line) + std::string(Message),
              std::string(Remedy)});
  }
};

/// @return the names of the fields of a kind of rule, separated by commas.
template <typename RuleT> std::string fieldNames(const RuleKind<RuleT> &Kind) {
  std::string Names;
  for (const RuleField<RuleT> &Field : Kind.Fields)
    Names += concat(Names.empty() ? "" : ", ", Field.Name);
  return Names;
}

/// @return the field with this name; null if the kind of rule has none.
template <typename RuleT>
const RuleField<RuleT> *findField(const RuleKind<RuleT> &Kind,
                                  std::string_view Name) {
  for (const RuleField<RuleT> &Field : Kind.Fields)
    if (Field.Name == Name)
      return &Field;
  return nullptr;
}

template <typename RuleT>
void fillDefaults(const RuleKind<RuleT> &Kind, RuleT &Rule) {
  for (const RuleField<RuleT> &Field : Kind.Fields)
    assignField(Field, Field.Default, Rule);
}

/// Reads one "field=value" into the rule.
/// @param Given the fields read so far from the line.
template <typename RuleT>
void readRuleField(RuleReader &Reader, const RuleKind<RuleT> &Kind, int Line,
                   std::string_view Word, RuleT &Rule,
                   std::set<std::string_view> &Given) {
  const size_t Equals = Word.find('=');
  if (Equals == std::string_view::npos)
    return Reader.addFault(Line, concat("\"", Word, "\" is not a field"),
                           "write field=value without blanks around \"=\"");
  const std::string_view Name = Word.substr(0, Equals);
  const RuleField<RuleT> *Field = findField(Kind, Name);
  if (Field == nullptr)
    return Reader.addFault(
        Line, concat("unknown field \"", Name, "\""),
        concat("fields of [", Kind.Section, "]: ", fieldNames(Kind)));
  if (!Given.insert(Field->Name).second)
    return Reader.addFault(Line, concat(Name, " is given twice"),
                           "keep one of the two");
  const FieldRemedy Remedy = assignField(*Field, Word.substr(Equals + 1), Rule);
  if (Remedy.has_value())
    Reader.addFault(Line, concat("bad value in ", Word), *Remedy);
}

/// @return who asked for the rule, from its comment; empty, with an error
///         added to Reader, if the comment does not say.
std::string readAskedBy(RuleReader &Reader, const IniEntry &Entry) {
  const std::string_view Comment = Entry.Comment;
  if (Comment.starts_with(AskedByPrefix)) {
    const std::string_view Who =
        trimSpace(Comment.substr(AskedByPrefix.size()));
    if (!Who.empty())
      return std::string(Who);
  }
  Reader.addFault(
      Entry.Line,
      concat("rule \"", Entry.Name, "\" does not say who asked for it"),
      "end the line with \"; asked by NAME: why\", or put that "
      "comment on the line before");
  return {};
}

template <typename RuleT>
void readRule(RuleReader &Reader, const RuleKind<RuleT> &Kind,
              const IniEntry &Entry) {
  RuleT Rule;
  fillDefaults(Kind, Rule);
  Rule.Source.Name = Entry.Name;
  Rule.Source.Line = Entry.Line;
  Rule.Source.AskedBy = readAskedBy(Reader, Entry);
  if (!Reader.SeenRules.insert({Entry.Section, Entry.Name}).second)
    Reader.addFault(
        Entry.Line,
        concat("[", Entry.Section, "] ", Entry.Name, " is given twice"),
        "keep one of the lines");
  std::set<std::string_view> Given;
  const std::vector<std::string> Words = absl::StrSplit(
      toAbsl(Entry.Value), absl::ByAnyChar(" \t"), absl::SkipEmpty());
  for (const std::string &Word : Words)
    readRuleField(Reader, Kind, Entry.Line, Word, Rule, Given);
  Rule.Source.Text = writeRule(Kind, Rule);
  (Reader.Rules.*Kind.Rules).push_back(std::move(Rule));
}

/// @return the names of all sections, separated by commas.
std::string sectionNames() {
  std::string Names;
  forEachRuleKind([&](const auto &Kind) {
    Names += concat(Names.empty() ? "" : ", ", Kind.Section);
  });
  return Names;
}

/// Reads a rule of the kind that the section of the line names.
void readEntry(RuleReader &Reader, const IniEntry &Entry) {
  bool Found = false;
  forEachRuleKind([&](const auto &Kind) {
    if (Kind.Section != Entry.Section)
      return;
    Found = true;
    readRule(Reader, Kind, Entry);
  });
  if (!Found)
    Reader.addFault(Entry.Line, concat("unknown section [", Entry.Section, "]"),
                    concat("sections: ", sectionNames()));
}

} // namespace

RuleResult parseRules(std::string_view FileName, std::string_view Text) {
  if (Text.size() > MaxRuleFileBytes)
    return std::vector{Error{ErrorKind::TooLarge,
                             concat(FileName, ": file over 1 MiB"),
                             "use patterns in place of single names"}};
  RuleReader Reader;
  Reader.FileName = FileName;
  IniFile File = parseIni(FileName, Text);
  for (Error &Fault : File.Errors) {
    Fault.Kind = ErrorKind::BadRule;
    Reader.Faults.push_back(std::move(Fault));
  }
  for (const IniEntry &Entry : File.Entries)
    readEntry(Reader, Entry);
  if (!Reader.Faults.empty())
    return std::move(Reader.Faults);
  return std::move(Reader.Rules);
}

int64_t ruleHash(std::string_view Text) {
  return static_cast<int64_t>(hashBytes(Text));
}

} // namespace camphornotch
