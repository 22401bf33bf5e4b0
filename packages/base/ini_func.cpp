/// @file
/// Parsing of INI text with inih. inih reports neither line numbers nor
/// comments and truncates long lines, so each line is checked before inih gets
/// it, and entries that are too long for inih are added without it.

#include "base/ini_func.h"

#include "base/text_func.h"

#include <cstring>
#include <ini.h>

namespace camphornotch {

namespace {

/// A line split into content and comment.
struct SplitLine {
  /// The text before the comment.
  std::string_view Content;
  /// The text after the comment mark.
  std::string_view Comment;
  bool HasComment = false;
};

/// State that the callbacks of inih share.
struct IniCursor {
  /// The text that has not been read yet.
  std::string_view Rest;
  std::string_view FileName;
  IniFile Out;
  /// The current section.
  std::string Section;
  size_t MaxLineBytes = 0;
  /// The number of the current line.
  int Line = 0;
  /// The current line as written.
  std::string_view Text;
  /// The comment of the current line, otherwise of the line before.
  std::string_view Comment;
  /// The comment of the line before, if it has nothing but a comment.
  std::string_view CommentBefore;
};

/// Splits a trimmed line. A comment starts at ";" or "#" at the start of the
/// line, or at ";" after a blank or tab.
SplitLine splitLine(std::string_view Line) {
  for (size_t Index = 0; Index < Line.size(); ++Index) {
    const bool Starts = Index == 0 && (Line[0] == ';' || Line[0] == '#');
    const bool Trails = Index > 0 && Line[Index] == ';' &&
                        (Line[Index - 1] == ' ' || Line[Index - 1] == '\t');
    if (Starts || Trails)
      return SplitLine{trimSpace(Line.substr(0, Index)),
                       trimSpace(Line.substr(Index + 1)), true};
  }
  return SplitLine{Line, {}, false};
}

/// Adds an error for the current line.
void addError(IniCursor &Cursor, std::string_view Message,
              std::string_view Remedy) {
  Cursor.Out.Errors.push_back(
      Error{ErrorKind::BadInput,
            concat(iniPlace(Cursor.FileName, Cursor.Line), Message),
            std::string(Remedy)});
}

/// @return whether the content has a control character other than a tab.
bool hasControlCharacter(std::string_view Content) {
  for (const char Character : Content)
    if (static_cast<unsigned char>(Character) < ' ' && Character != '\t')
      return true;
  return false;
}

/// @param Content a line that starts with "[".
/// @return whether it is a valid section; otherwise an error is added.
bool checkSection(IniCursor &Cursor, std::string_view Content) {
  if (Content.back() != ']') {
    addError(Cursor, "section without \"]\"", "write [section]");
    return false;
  }
  if (Content.size() > MaxIniNameBytes) {
    addError(Cursor, "section name over 47 characters", "use a shorter name");
    return false;
  }
  return true;
}

/// @param Content a line that is neither a section nor empty.
/// @return whether it is a valid entry; otherwise an error is added.
bool checkEntry(IniCursor &Cursor, std::string_view Content) {
  const size_t Mark = Content.find_first_of("=:");
  if (Mark == std::string_view::npos || Content[Mark] == ':') {
    addError(Cursor, "no \"=\" after the name", "write name = value");
    return false;
  }
  const std::string_view Name = trimSpace(Content.substr(0, Mark));
  if (Name.empty()) {
    addError(Cursor, "no name in front of \"=\"", "write name = value");
    return false;
  }
  if (Name.size() > MaxIniNameBytes) {
    addError(Cursor, "name over 49 characters", "use a shorter name");
    return false;
  }
  return true;
}

/// @param Content the content of a line, not empty.
/// @return whether the line is valid; otherwise an error is added.
bool checkContent(IniCursor &Cursor, std::string_view Content) {
  if (Content.size() > Cursor.MaxLineBytes) {
    addError(
        Cursor, concat("line over ", Cursor.MaxLineBytes, " characters"),
        "shorten it, for example with \"*\" patterns; comments don't count");
    return false;
  }
  if (hasControlCharacter(Content)) {
    addError(Cursor, "control character in the line", "remove it");
    return false;
  }
  if (Content.front() == '[')
    return checkSection(Cursor, Content);
  return checkEntry(Cursor, Content);
}

/// Reads the next line of the text.
SplitLine nextLine(IniCursor &Cursor) {
  const size_t End = Cursor.Rest.find('\n');
  Cursor.Text = trimSpace(Cursor.Rest.substr(0, End));
  Cursor.Rest = End == std::string_view::npos ? std::string_view{}
                                              : Cursor.Rest.substr(End + 1);
  ++Cursor.Line;
  return splitLine(Cursor.Text);
}

void addEntry(IniCursor &Cursor, std::string_view Section,
              std::string_view Name, std::string_view Value) {
  Cursor.Out.Entries.push_back(IniEntry{
      std::string(Section), std::string(Name), std::string(Value),
      std::string(Cursor.Comment), std::string(Cursor.Text), Cursor.Line});
}

/// Adds the entry of a valid line that is too long for inih.
void addLongEntry(IniCursor &Cursor, std::string_view Content) {
  const size_t Mark = Content.find('=');
  addEntry(Cursor, Cursor.Section, trimSpace(Content.substr(0, Mark)),
           trimSpace(Content.substr(Mark + 1)));
}

/// Reader callback of inih: copies the next line without its comment. An
/// invalid line, and one that is too long for inih, is replaced by an empty
/// one.
/// @param Stream the IniCursor.
/// @return the buffer; null at the end of the text.
char *readLine(char *Buffer, int Capacity, void *Stream) {
  auto &Cursor = *static_cast<IniCursor *>(Stream);
  if (Cursor.Rest.empty())
    return nullptr;
  const SplitLine Parts = nextLine(Cursor);
  Cursor.Comment = Parts.HasComment ? Parts.Comment : Cursor.CommentBefore;
  const bool CommentOnly = Parts.HasComment && Parts.Content.empty();
  Cursor.CommentBefore = CommentOnly ? Parts.Comment : std::string_view{};
  size_t Length = 0;
  if (!Parts.Content.empty() && checkContent(Cursor, Parts.Content)) {
    if (Parts.Content.front() == '[')
      Cursor.Section =
          trimSpace(Parts.Content.substr(1, Parts.Content.size() - 2));
    // The line break and the final zero.
    if (Parts.Content.size() + 2 > static_cast<size_t>(Capacity)) {
      addLongEntry(Cursor, Parts.Content);
    } else {
      Length = Parts.Content.size();
      std::memcpy(Buffer, Parts.Content.data(), Length);
    }
  }
  Buffer[Length] = '\n';
  Buffer[Length + 1] = '\0';
  return Buffer;
}

/// Entry callback of inih.
/// @param User the IniCursor.
/// @return 1: continue parsing.
int onEntry(void *User, const char *Section, const char *Name,
            const char *Value) {
  addEntry(*static_cast<IniCursor *>(User), trimSpace(Section), Name, Value);
  return 1;
}

} // namespace

std::string_view trimSpace(std::string_view Text) {
  constexpr std::string_view Spaces = " \t\r\v\f";
  const size_t First = Text.find_first_not_of(Spaces);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Spaces) - First + 1);
}

std::string iniPlace(std::string_view FileName, int Line) {
  return concat(FileName, ":", Line, ": ");
}

IniFile parseIni(std::string_view FileName, std::string_view Text,
                 size_t MaxLineBytes) {
  IniCursor Cursor;
  Cursor.MaxLineBytes = MaxLineBytes;
  Cursor.Rest = Text;
  Cursor.FileName = FileName;
  ini_parse_stream(readLine, &Cursor, onEntry, &Cursor);
  return std::move(Cursor.Out);
}

} // namespace camphornotch
