/// @file
/// Conversion of rule fields from and to text.

#ifndef CAMPHORNOTCH_RULES_FIELD_INTERNAL_H
#define CAMPHORNOTCH_RULES_FIELD_INTERNAL_H

#include "base/text_func.h"
#include "rules/table/rule_kinds.h"

#include <optional>

namespace camphornotch {

/// What to write instead of a value that cannot be converted; empty if the
/// value was converted.
using FieldRemedy = std::optional<std::string>;

/// Converts the text of a field. Numbers and durations must be from Min to Max;
/// the other types ignore the bounds.
/// @return what to write instead if the text cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::string &Out);

/// @param Text patterns separated by commas.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::vector<std::string> &Out);

FieldRemedy readField(std::string_view Text, int64_t, int64_t, bool &Out);

FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      int64_t &Out);

FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      Millis &Out);

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      OutagePolicy &Out);

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      RoutingPolicy &Out);

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      PriorityClass &Out);

/// @return the text, as readField accepts it.
std::string writeField(const std::string &Value);
std::string writeField(const std::vector<std::string> &Value);
std::string writeField(bool Value);
std::string writeField(int64_t Value);
std::string writeField(Millis Value);
std::string writeField(OutagePolicy Value);
std::string writeField(RoutingPolicy Value);
std::string writeField(PriorityClass Value);

/// Converts the text and assigns it to the member of the field.
/// @return what to write instead if the text cannot be converted.
template <typename RuleT>
FieldRemedy assignField(const RuleField<RuleT> &Field, std::string_view Text,
                        RuleT &Rule) {
  return std::visit(
      [&](auto Member) {
        return readField(Text, Field.Min, Field.Max, Rule.*Member);
      },
      Field.Target);
}

/// @return the canonical form: section, name and the values of all fields.
template <typename RuleT>
std::string writeRule(const RuleKind<RuleT> &Kind, const RuleT &Rule) {
  std::string Text = concat("[", Kind.Section, "] ", Rule.Source.Name, " =");
  for (const RuleField<RuleT> &Field : Kind.Fields)
    Text += std::visit(
        [&](auto Member) {
          return concat(" ", Field.Name, "=", writeField(Rule.*Member));
        },
        Field.Target);
  return Text;
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_FIELD_INTERNAL_H
