/// @file
/// Conversion of rule fields from and to text.

#ifndef CAMPHORNOTCH_RULES_FIELD_INTERNAL_H
#define CAMPHORNOTCH_RULES_FIELD_INTERNAL_H

#include "base/text_func.h"
#include "rules/table/rule_kinds.h"

#include <optional>

namespace camphornotch {

/// What to write instead of a value that cannot be converted.
using FieldRemedy = std::optional<std::string>;

/// @param Text the value.
/// @param Out takes the text.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::string &Out);

/// @param Text the value: patterns with commas between them.
/// @param Out takes the patterns.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::vector<std::string> &Out);

/// @param Text the value.
/// @param Out takes the truth value.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t, bool &Out);

/// @param Text the value.
/// @param Min the smallest number.
/// @param Max the largest number.
/// @param Out takes the number.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      int64_t &Out);

/// @param Text the value.
/// @param Min the smallest number.
/// @param Max the largest number.
/// @param Out takes the span.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      Millis &Out);

/// @param Text the value.
/// @param Out takes the policy.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      OutagePolicy &Out);

/// @param Text the value.
/// @param Out takes the policy.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      RoutingPolicy &Out);

/// @param Text the value.
/// @param Out takes the class.
/// @return the remedy if it cannot be converted.
FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      PriorityClass &Out);

/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(const std::string &Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(const std::vector<std::string> &Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(bool Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(int64_t Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(Millis Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(OutagePolicy Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(RoutingPolicy Value);
/// @param Value a field's value.
/// @return its text, as readField takes it.
std::string writeField(PriorityClass Value);

/// Fills the member of one field.
/// @param Field the field.
/// @param Text the value.
/// @param Rule the rule to fill.
/// @return the remedy if the value cannot be converted.
template <typename RuleT>
FieldRemedy assignField(const RuleField<RuleT> &Field, std::string_view Text,
                        RuleT &Rule) {
  return std::visit(
      [&](auto Member) {
        return readField(Text, Field.Min, Field.Max, Rule.*Member);
      },
      Field.Target);
}

/// @param Kind the kind of the rule.
/// @param Rule the rule.
/// @return its fields' values, in one fixed spelling.
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
