/// @file
/// Parsing of INI text with inih.

#ifndef CAMPHORNOTCH_BASE_INI_FUNC_H
#define CAMPHORNOTCH_BASE_INI_FUNC_H

#include "base/ini_type.h"

#include <string_view>

namespace camphornotch {

/// Longest section line or entry name that inih does not truncate.
inline constexpr size_t MaxIniNameBytes = 49;

/// Longest line without its comment, unless the caller allows more.
inline constexpr size_t MaxIniLineBytes = 198;

/// @param FileName the name to show in errors.
/// @param MaxLineBytes longest line, without its comment.
/// @return the entries, and an error for each line that cannot be parsed.
IniFile parseIni(std::string_view FileName, std::string_view Text,
                 size_t MaxLineBytes = MaxIniLineBytes);

/// @return the text without leading and trailing white space.
std::string_view trimSpace(std::string_view Text);

/// @return "file:line: ", the prefix of error messages.
std::string iniPlace(std::string_view FileName, int Line);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_INI_FUNC_H
