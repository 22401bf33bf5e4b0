/// @file
/// Requests and responses of HTTP, for server and client.

#ifndef CAMPHORNOTCH_NET_HTTP_TYPE_H
#define CAMPHORNOTCH_NET_HTTP_TYPE_H

#include "base/millis_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// One header field.
struct HttpHeader {
  /// The name; compared without regard to case.
  std::string Name;
  /// The value.
  std::string Value;
};

/// Several header fields.
using HttpHeaders = std::vector<HttpHeader>;

/// @param Headers where to look.
/// @param Name the header's name, in any case.
/// @return the first one's value, or an empty view.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// A request, as the server received it.
struct HttpRequest {
  /// The method.
  std::string Method;
  /// The path without the query.
  std::string Path;
  /// What follows the question mark; may be empty.
  std::string Query;
  /// The headers.
  HttpHeaders Headers;
  /// The body.
  std::string Body;
  /// The client's IP number.
  std::string Peer;
  /// What the Host header said; it is not among the headers.
  std::string Authority;
};

/// @param Query a query string.
/// @param Name a parameter's name.
/// @return its decoded value, or an empty string.
std::string queryParameter(std::string_view Query, std::string_view Name);

/// A response.
struct HttpResponse {
  /// The status code.
  int Status = 200;
  /// The type of the body.
  std::string ContentType = "application/json";
  /// Headers besides Content-Type and Content-Length.
  HttpHeaders Headers;
  /// The body; for a streamed answer the first part.
  std::string Body;
  /// Of a received response: whether its head says where the body ends. One
  /// that ends with its connection cannot be told from one that was reset.
  bool Framed = true;
};

/// A numeric IP address and port.
struct HttpTarget {
  /// The IP number.
  std::string Address;
  /// The port.
  uint16_t Port = 0;

  /// Orders by address, then port.
  auto operator<=>(const HttpTarget &) const = default;
};

/// Most bytes of a collected body if the call names none: twice the platform's
/// largest answer, 1 MB of values in base64 with their keys and one value more.
inline constexpr size_t DefaultMostBodyBytes = size_t{4} << 20;

/// Most bytes that a client holds of bodies that are being collected: a quarter
/// of the smallest process. Calls with a limit of their own are not counted.
inline constexpr size_t MostHeldBytes = size_t{32} << 20;

/// A request that the client sends.
struct HttpCall {
  /// Where to.
  HttpTarget Target;
  /// The method.
  std::string Method = "GET";
  /// Path and query.
  std::string Path = "/";
  /// The Host header; empty: the target's address.
  std::string Host;
  /// Headers besides Host, Content-Length and Connection.
  HttpHeaders Headers;
  /// The body; not sent when empty, except for POST and PUT.
  std::string Body;
  /// Time for the whole call; 0: none.
  Millis Timeout{0};
  /// Time for the connection to be made; 0: only Timeout bounds it.
  Millis ConnectTimeout{0};
  /// Whether an idle connection may be used and kept. Calls that must not
  /// be repeated set this to false: an idle connection may break just then.
  bool Reuse = true;
  /// Most bytes of the answer's body if it is collected; a longer one is no
  /// answer. A body that is handed on in parts may be of any length.
  size_t MostBodyBytes = DefaultMostBodyBytes;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_TYPE_H
