/// @file
/// Checks the head of an HTTP/1.1 response.

#ifndef CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H
#define CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphornotch {

/// Rejects heads that http_parser accepts although they are not valid. It takes
/// any number of up to 999 for a status, in any number of digits, blanks for
/// parts of field names, some control bytes for the ends of lines, and as many
/// lines as fit into its limit of bytes, although each takes more than its
/// bytes.
class ResponseHeadCheck {
public:
  /// Checks the next bytes of a response, in any parts.
  /// @param Bytes those after the head are ignored.
  /// @return whether the head is valid so far; if not, the check has ended.
  bool add(std::string_view Bytes);

private:
  /// What the next byte belongs to.
  enum class Part : uint8_t {
    StatusLine, ///< The version and the status.
    Text,       ///< The reason or a field's value.
    LineEnd,    ///< The line feed after one of these.
    LineStart,  ///< A field's name or the empty line; never a folded line.
    Name,
    HeadEnd, ///< The line feed of the empty line.
    Body,
  };

  bool addByte(char Byte);
  /// Each handles the next byte in one part of the head.
  /// @return whether the byte may stand there.
  bool addToStatusLine(char Byte);
  bool addToText(char Byte);
  bool addToName(char Byte);
  bool startLine(char Byte);
  bool endLine(char Byte, Part Next);

  Part Current = Part::StatusLine;
  /// Bytes of the status line so far.
  size_t StatusLineBytes = 0;
  /// Field lines so far.
  size_t Fields = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H
