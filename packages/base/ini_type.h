/// @file
/// The lines of an INI file, with their places and comments.

#ifndef CAMPHORNOTCH_BASE_INI_TYPE_H
#define CAMPHORNOTCH_BASE_INI_TYPE_H

#include "base/error_type.h"

#include <string>
#include <vector>

namespace camphornotch {

/// One "name = value" line.
struct IniEntry {
  /// The section it stands in; empty before the first one.
  std::string Section;
  /// What stands before the first "=".
  std::string Name;
  /// What stands after it, without the comment.
  std::string Value;
  /// The comment on the same line, else the one on the line before.
  std::string Comment;
  /// The line as written.
  std::string Text;
  /// The line's number; the first line is 1.
  int Line = 0;
};

/// All entries of a file and all errors of its lines.
struct IniFile {
  /// The entries, in the order of the file.
  std::vector<IniEntry> Entries;
  /// What is wrong with lines that are no entries.
  std::vector<Error> Errors;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_INI_TYPE_H
