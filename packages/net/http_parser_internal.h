/// @file
/// Incremental parser of HTTP/1.1 responses.

#ifndef CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H

#include "net/http_type.h"
#include "net/response_head_internal.h"

#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace camphornotch {

/// The state of a response after the bytes so far.
enum class ReadState : uint8_t {
  Incomplete, ///< More bytes are needed.
  Complete,   ///< The response is complete.
  Invalid,    ///< The bytes are not a valid response.
};

/// Parses one response and skips the interim (1xx) responses before it.
class HttpResponseReader {
public:
  /// @param NoBody whether the response has no body, as that of a HEAD request.
  explicit HttpResponseReader(bool NoBody);
  HttpResponseReader(const HttpResponseReader &) = delete;
  HttpResponseReader &operator=(const HttpResponseReader &) = delete;

  /// Parses the next bytes of the connection.
  /// @return the state; after Complete, unread() counts the bytes left over.
  ReadState parse(std::string_view Bytes);

  /// Handles the orderly end of the connection.
  /// @return Complete if the body ends with the connection; else Invalid.
  ReadState parseEnd();

  bool hasHead() const { return this->HeadRead; }

  /// @return the response; the caller may move out the body received so far.
  HttpResponse &response() { return this->Response; }

  /// @return the content-length; 0: none, or the body is chunked.
  uint64_t contentLength() const { return this->ContentLength; }

  /// @return bytes of the last parse() that follow the response.
  size_t unread() const { return this->Unread; }

  bool keepsAlive() const;

private:
  /// @return the callbacks for http_parser.
  static const http_parser_settings &callbacks();
  /// @param Parser the parser that a callback received.
  /// @return the reader that owns it.
  static HttpResponseReader &self(http_parser *Parser);
  /// Parses bytes up to the end of a line of a chunked body, if they have one,
  /// or of the response.
  /// @return the number of bytes parsed.
  size_t parsePart(std::string_view Bytes);
  /// @return the state after a call of http_parser_execute().
  ReadState currentState();
  /// Prepares for the next response of the connection.
  void reset();

  http_parser Parser{};
  /// Of the head being read.
  ResponseHeadCheck HeadCheck;
  HttpResponse Response;
  bool NoBody;
  /// Whether the last callback brought a part of a header value, not of a name.
  bool InValue = false;
  /// Whether the head of the final response was read.
  bool HeadRead = false;
  bool Done = false;
  /// Whether the last byte parsed ends a line of a chunked body.
  bool AtChunkLineEnd = false;
  /// Whether such a line did not end with CR LF.
  bool BadChunkLine = false;
  /// The last byte parsed.
  char LastByte = 0;
  uint64_t ContentLength = 0;
  /// Bytes of the interim responses so far.
  size_t InterimBytes = 0;
  size_t Unread = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H
