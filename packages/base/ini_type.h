/// @file
/// The entries of an INI file with their line numbers and comments.

#ifndef CAMPHORNOTCH_BASE_INI_TYPE_H
#define CAMPHORNOTCH_BASE_INI_TYPE_H

#include "base/error_type.h"

#include <string>
#include <vector>

namespace camphornotch {

/// One "name = value" line.
struct IniEntry {
  /// The section of the entry; empty before the first section.
  std::string Section;
  /// The text before the first "=".
  std::string Name;
  /// The text after the first "=", without the comment.
  std::string Value;
  /// The comment on the same line, otherwise the one on the line before.
  std::string Comment;
  /// The line as written.
  std::string Text;
  /// The line number; the first line is 1.
  int Line = 0;
};

/// The result of parsing a file.
struct IniFile {
  /// The entries, in the order of the file.
  std::vector<IniEntry> Entries;
  /// The errors of invalid lines.
  std::vector<Error> Errors;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_INI_TYPE_H
