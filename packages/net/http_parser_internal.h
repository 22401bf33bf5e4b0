/// @file
/// Reads one HTTP/1.1 response from the bytes of a connection.

#ifndef CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H

#include "net/http_type.h"

#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace camphornotch {

/// What a reader has found so far.
enum class ReadState : uint8_t {
  Incomplete, ///< More bytes are needed.
  Complete,   ///< The response is whole.
  Invalid,    ///< The bytes are no response.
};

/// Reads a response; interim responses are passed over.
class HttpResponseReader {
public:
  /// @param NoBody whether the request was one whose response has no body.
  explicit HttpResponseReader(bool NoBody);
  HttpResponseReader(const HttpResponseReader &) = delete;
  HttpResponseReader &operator=(const HttpResponseReader &) = delete;

  /// Takes in bytes.
  /// @param Bytes the next ones of the connection.
  /// @return the state; after Complete, unread() tells what was left over.
  ReadState take(std::string_view Bytes);

  /// Takes in the orderly end of the connection.
  /// @return the state: Complete if the body ends with the connection.
  ReadState takeEnd();

  /// @return whether the head was read.
  bool hasHead() const { return this->HeadRead; }

  /// @return the response; its body is what was not taken by takeBody().
  HttpResponse &response() { return this->Response; }

  /// @return the length of the body by its head; 0: not said.
  uint64_t announced() const { return this->Announced; }

  /// @return bytes of the last take() that belong to no response.
  size_t unread() const { return this->Unread; }

  /// @return whether the connection can carry another request.
  bool keepsAlive() const;

private:
  /// @return the library's table of our callbacks.
  static const http_parser_settings &callbacks();
  /// @param Parser the library's state.
  /// @return the reader that it belongs to.
  static HttpResponseReader &self(http_parser *Parser);
  /// Takes in the result of a call of the library.
  /// @return the state.
  ReadState judge();
  /// Starts on the next response of the connection.
  void begin();

  /// The library's state.
  http_parser Parser{};
  /// The response.
  HttpResponse Response;
  /// Whether the request was one whose response has no body.
  bool NoBody;
  /// Whether the last header piece was a value.
  bool InValue = false;
  /// Whether the head was read.
  bool HeadRead = false;
  /// Whether the response is whole.
  bool Done = false;
  /// Length of the body by its head; 0: not said.
  uint64_t Announced = 0;
  /// Bytes of interim responses so far.
  size_t InterimBytes = 0;
  /// Bytes left over.
  size_t Unread = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_PARSER_INTERNAL_H
