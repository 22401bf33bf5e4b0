/// @file
/// Checks the head of an HTTP/1.1 response.

#ifndef CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H
#define CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphornotch {

/// Rejects heads that http_parser accepts although they are not valid: it takes
/// any number of up to 999 for a status, in any number of digits.
class ResponseHeadCheck {
public:
  /// Checks the next bytes of a response, in any parts.
  /// @param Bytes those after the head are ignored.
  /// @return whether the head is valid so far; if not, the check has ended.
  bool add(std::string_view Bytes);

private:
  /// What the next byte belongs to.
  enum class Part : uint8_t { StatusLine, Remainder };

  bool addByte(char Byte);
  bool addToStatusLine(char Byte);

  Part Current = Part::StatusLine;
  /// Bytes of the status line so far.
  size_t StatusLineBytes = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_RESPONSE_HEAD_INTERNAL_H
