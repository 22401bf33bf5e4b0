/// @file
/// Serialization of the request line and headers that the client sends.

#ifndef CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H

#include "net/http_type.h"

#include <string>

namespace camphornotch {

/// @return the request line and headers, with the blank line after them.
std::string requestHead(const HttpCall &Call);

/// @return false if method, path or headers contain a line end or NUL, or the
///         path a space: they would change the request.
bool isSendable(const HttpCall &Call);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H
