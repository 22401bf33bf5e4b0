/// @file
/// Conversions for calls to the packaged Abseil, whose string_view is not
/// std::string_view.

#ifndef CAMPHORNOTCH_BASE_TEXT_FUNC_H
#define CAMPHORNOTCH_BASE_TEXT_FUNC_H

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <string>
#include <string_view>

namespace camphornotch {

/// @return the same text as a string_view of Abseil.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Converts an argument of concat to one that absl::StrCat accepts.
inline absl::string_view concatPart(std::string_view Part) {
  return toAbsl(Part);
}

inline absl::string_view concatPart(const std::string &Part) {
  return {Part.data(), Part.size()};
}

inline absl::string_view concatPart(const char *Part) { return {Part}; }

/// Numbers need no conversion.
template <typename NumberT> const NumberT &concatPart(const NumberT &Part) {
  return Part;
}

/// @return the concatenation of the texts and numbers.
template <typename... PartTs> std::string concat(const PartTs &...Parts) {
  return absl::StrCat(concatPart(Parts)...);
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_TEXT_FUNC_H
