/// @file
/// Conversion of rule fields from and to text.

#include "rules/field_internal.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace camphornotch {

namespace {

/// The words for the values of OutagePolicy, in order.
constexpr std::array<std::string_view, 2> OutageWords{"refuse", "pinned"};
/// The words for the values of RoutingPolicy, in order.
constexpr std::array<std::string_view, 3> PolicyWords{"probing", "round_robin",
                                                      "least_outstanding"};
/// The words for the values of PriorityClass, in order.
constexpr std::array<std::string_view, 2> ClassWords{"short", "rollout"};
/// The words for false and true.
constexpr std::array<std::string_view, 2> BoolWords{"no", "yes"};

/// @param Words the allowed words, in the order of the values.
/// @return what to write instead if Text is none of the words.
template <typename ValueT, size_t Count>
FieldRemedy readWord(std::string_view Text,
                     const std::array<std::string_view, Count> &Words,
                     ValueT &Out) {
  std::string Known;
  for (size_t Index = 0; Index < Count; ++Index) {
    if (Words[Index] == Text) {
      Out = static_cast<ValueT>(Index);
      return {};
    }
    Known += concat(Index == 0 ? "" : " or ", Words[Index]);
  }
  return concat("write ", Known);
}

template <typename ValueT, size_t Count>
std::string writeWord(ValueT Value,
                      const std::array<std::string_view, Count> &Words) {
  return std::string(Words[static_cast<size_t>(Value)]);
}

} // namespace

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::string &Out) {
  Out = std::string(Text);
  if (Text.empty())
    return "write a pattern, for example *";
  return {};
}

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      std::vector<std::string> &Out) {
  Out = absl::StrSplit(toAbsl(Text), ',');
  for (const std::string &Pattern : Out)
    if (Pattern.empty())
      return "write patterns with single commas between them";
  return {};
}

FieldRemedy readField(std::string_view Text, int64_t, int64_t, bool &Out) {
  return readWord(Text, BoolWords, Out);
}

FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      int64_t &Out) {
  int64_t Number = 0;
  const bool IsNumber = absl::SimpleAtoi(toAbsl(Text), &Number);
  if (!IsNumber || Number < Min || Number > Max)
    return concat("write a whole number from ", Min, " to ", Max);
  Out = Number;
  return {};
}

FieldRemedy readField(std::string_view Text, int64_t Min, int64_t Max,
                      Millis &Out) {
  return readField(Text, Min, Max, Out.Count);
}

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      OutagePolicy &Out) {
  return readWord(Text, OutageWords, Out);
}

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      RoutingPolicy &Out) {
  return readWord(Text, PolicyWords, Out);
}

FieldRemedy readField(std::string_view Text, int64_t, int64_t,
                      PriorityClass &Out) {
  return readWord(Text, ClassWords, Out);
}

std::string writeField(const std::string &Value) { return Value; }

std::string writeField(const std::vector<std::string> &Value) {
  return absl::StrJoin(Value, ",");
}

std::string writeField(bool Value) { return writeWord(Value, BoolWords); }

std::string writeField(int64_t Value) { return concat(Value); }

std::string writeField(Millis Value) { return concat(Value.Count); }

std::string writeField(OutagePolicy Value) {
  return writeWord(Value, OutageWords);
}

std::string writeField(RoutingPolicy Value) {
  return writeWord(Value, PolicyWords);
}

std::string writeField(PriorityClass Value) {
  return writeWord(Value, ClassWords);
}

} // namespace camphornotch
