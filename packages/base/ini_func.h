/// @file
/// Reading of INI text, through inih.

#ifndef CAMPHORNOTCH_BASE_INI_FUNC_H
#define CAMPHORNOTCH_BASE_INI_FUNC_H

#include "base/ini_type.h"

#include <string_view>

namespace camphornotch {

/// Longest section or entry name that inih keeps whole.
inline constexpr size_t MaxIniNameBytes = 49;

/// @param FileName the name to put into errors.
/// @param Text the whole text.
/// @return its entries and every line that could not be understood.
IniFile parseIni(std::string_view FileName, std::string_view Text);

/// @param Text any text.
/// @return it without white space at either end.
std::string_view trimSpace(std::string_view Text);

/// @param FileName the file.
/// @param Line the line's number.
/// @return "file:line: ", as errors start.
std::string iniPlace(std::string_view FileName, int Line);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_INI_FUNC_H
