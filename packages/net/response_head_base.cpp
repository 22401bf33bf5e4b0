/// @file
/// Checks the head of an HTTP/1.1 response.

#include "net/response_head_internal.h"

#include <absl/strings/ascii.h>

namespace camphornotch {

namespace {

/// Begins each status line. '#' stands for a digit, '*' for the first digit of
/// a status.
constexpr std::string_view StatusLineStart = "HTTP/1.# *##";

constexpr size_t MaxFields = 256;

/// @return whether a byte may stand in the place of one of StatusLineStart.
bool matches(char Byte, char Expected) {
  if (Expected == '#')
    return absl::ascii_isdigit(static_cast<unsigned char>(Byte));
  if (Expected == '*')
    return Byte >= '1' && Byte <= '5';
  return Byte == Expected;
}

/// @return whether a byte may be part of a field's name (RFC 9110, token).
bool isNameByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
         Marks.find(Byte) != std::string_view::npos;
}

} // namespace

bool ResponseHeadCheck::add(std::string_view Bytes) {
  for (const char Byte : Bytes) {
    if (this->Current == Part::Body)
      return true;
    if (!this->addByte(Byte))
      return false;
  }
  return true;
}

bool ResponseHeadCheck::addByte(char Byte) {
  switch (this->Current) {
  case Part::StatusLine:
    return this->addToStatusLine(Byte);
  case Part::Text:
    return this->addToText(Byte);
  case Part::LineEnd:
    return this->endLine(Byte, Part::LineStart);
  case Part::LineStart:
    return this->startLine(Byte);
  case Part::Name:
    return this->addToName(Byte);
  case Part::HeadEnd:
    return this->endLine(Byte, Part::Body);
  case Part::Body:
    break;
  }
  return true;
}

bool ResponseHeadCheck::addToStatusLine(char Byte) {
  if (this->StatusLineBytes < StatusLineStart.size())
    return matches(Byte, StatusLineStart[this->StatusLineBytes++]);
  this->Current = Part::Text;
  return Byte == ' ' || (Byte == '\r' && this->addToText(Byte));
}

bool ResponseHeadCheck::addToText(char Byte) {
  if (Byte == '\r')
    this->Current = Part::LineEnd;
  return Byte == '\r' || Byte == '\t' ||
         !absl::ascii_iscntrl(static_cast<unsigned char>(Byte));
}

bool ResponseHeadCheck::startLine(char Byte) {
  if (Byte == '\r') {
    this->Current = Part::HeadEnd;
    return true;
  }
  this->Current = Part::Name;
  return isNameByte(Byte) && ++this->Fields <= MaxFields;
}

bool ResponseHeadCheck::addToName(char Byte) {
  if (Byte == ':')
    this->Current = Part::Text;
  return Byte == ':' || isNameByte(Byte);
}

bool ResponseHeadCheck::endLine(char Byte, Part Next) {
  this->Current = Next;
  return Byte == '\n';
}

} // namespace camphornotch
