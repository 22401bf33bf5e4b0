/// @file
/// HTTP requests and responses, for the server and the client.

#ifndef CAMPHORNOTCH_NET_HTTP_TYPE_H
#define CAMPHORNOTCH_NET_HTTP_TYPE_H

#include "base/millis_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// One header field.
struct HttpHeader {
  /// Case-insensitive.
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// @param Name the header's name; case is ignored.
/// @return the value of the first header of that name; empty if there is none.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// A request that the server received.
struct HttpRequest {
  std::string Method;
  /// Without the query.
  std::string Path;
  /// Without the question mark; may be empty.
  std::string Query;
  /// Path and query as received: "/x?" and "/x" differ.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  /// The client's IP address.
  std::string Peer;
  /// The value of the Host header, which Headers leaves out.
  std::string Authority;
};

/// @param Query a URL query string.
/// @param Name a parameter's name.
/// @return the parameter's decoded value; empty if it is absent.
std::string queryParameter(std::string_view Query, std::string_view Name);

/// @return the bytes as the value of a query parameter or a segment of a path.
std::string percentEncode(std::string_view Bytes);

struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  /// Headers besides Content-Type and Content-Length.
  HttpHeaders Headers;
  /// For a streamed response: the first part.
  std::string Body;
  /// Of a received response: whether its headers say where the body ends. If
  /// not, a body cut short by the server looks like a whole one.
  bool Framed = true;
};

/// A numeric IP address and port.
struct HttpTarget {
  std::string Address;
  uint16_t Port = 0;

  auto operator<=>(const HttpTarget &) const = default;
};

/// Default size limit of a collected response body: twice the platform's
/// largest response, 1 MB of values in base64 with their keys and one value
/// more.
inline constexpr size_t DefaultMaxBodyBytes = size_t{4} << 20;

/// Limit on the response bodies that one client collects at the same time: a
/// quarter of the memory of the smallest process. Calls with a limit above the
/// default are not counted.
inline constexpr size_t MaxCollectedBytes = size_t{32} << 20;

/// A request that the client sends.
struct HttpCall {
  HttpTarget Target;
  std::string Method = "GET";
  /// With the query.
  std::string Path = "/";
  /// The Host header; empty: address and port of the target.
  std::string Host;
  /// Headers besides Host, Content-Length and Connection.
  HttpHeaders Headers;
  /// If empty, no content-length is sent, except for POST, PUT and PATCH.
  std::string Body;
  /// The body if several calls share it, in place of Body; may be null.
  std::shared_ptr<const std::string> SharedBody;
  /// For the whole call; 0: no timeout.
  Millis Timeout{0};
  /// For the connection to be made; 0: only Timeout applies.
  Millis ConnectTimeout{0};
  /// Whether a pooled connection may be used, and the connection be pooled
  /// afterwards. Calls that must not be repeated set this to false, because the
  /// server may close a pooled connection while the request is being sent.
  bool Reuse = true;
  /// Identifies the request over its repetitions; empty: it needs no check. It
  /// is not sent on a connection whose previous call had the same identity,
  /// because a late second copy of that response would pass for its own.
  std::string Identity;
  /// Size limit of a collected response body; the call fails if it is exceeded.
  /// A body that is delivered in chunks has no limit.
  size_t MaxBodyBytes = DefaultMaxBodyBytes;

  /// @return the body to send.
  std::string_view body() const {
    return this->SharedBody == nullptr ? std::string_view(this->Body)
                                       : std::string_view(*this->SharedBody);
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_TYPE_H
