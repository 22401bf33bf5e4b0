/// @file
/// Checks the head of an HTTP/1.1 response.

#include "net/response_head_internal.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace camphornotch {

namespace {

/// Begins each status line. '#' stands for a digit, '*' for the first digit of
/// a status.
constexpr std::string_view StatusLineStart = "HTTP/1.# *##";

/// @return whether a byte may stand in the place of one of StatusLineStart.
bool matches(char Byte, char Expected) {
  if (Expected == '#')
    return absl::ascii_isdigit(static_cast<unsigned char>(Byte));
  if (Expected == '*')
    return Byte >= '1' && Byte <= '5';
  return Byte == Expected;
}

} // namespace

bool ResponseHeadCheck::add(std::string_view Bytes) {
  return std::ranges::all_of(Bytes,
                             [this](char Byte) { return this->addByte(Byte); });
}

bool ResponseHeadCheck::addByte(char Byte) {
  return this->Current == Part::Remainder || this->addToStatusLine(Byte);
}

bool ResponseHeadCheck::addToStatusLine(char Byte) {
  if (this->StatusLineBytes < StatusLineStart.size())
    return matches(Byte, StatusLineStart[this->StatusLineBytes++]);
  this->Current = Part::Remainder;
  return Byte == ' ' || Byte == '\r';
}

} // namespace camphornotch
