/// @file
/// Text helpers between std::string_view and the packaged Abseil, whose
/// string_view is a type of its own.

#ifndef CAMPHORNOTCH_BASE_TEXT_FUNC_H
#define CAMPHORNOTCH_BASE_TEXT_FUNC_H

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <string>
#include <string_view>

namespace camphornotch {

/// @param Text any text.
/// @return the same text for Abseil's functions.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// @param Part a view.
/// @return the same text for absl::StrCat.
inline absl::string_view concatPart(std::string_view Part) {
  return toAbsl(Part);
}

/// @param Part a string.
/// @return the same text for absl::StrCat.
inline absl::string_view concatPart(const std::string &Part) {
  return {Part.data(), Part.size()};
}

/// @param Part a literal.
/// @return the same text for absl::StrCat.
inline absl::string_view concatPart(const char *Part) { return {Part}; }

/// @param Part a number.
/// @return the same number, which absl::StrCat formats.
template <typename NumberT> const NumberT &concatPart(const NumberT &Part) {
  return Part;
}

/// @param Parts texts and numbers.
/// @return them one after the other.
template <typename... PartTs> std::string concat(const PartTs &...Parts) {
  return absl::StrCat(concatPart(Parts)...);
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_TEXT_FUNC_H
