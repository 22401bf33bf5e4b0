/// @file
/// The head of a request that the client sends.

#ifndef CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H
#define CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H

#include "net/http_type.h"

#include <string>

namespace camphornotch {

/// @param Call a request.
/// @return its head as sent.
std::string requestHead(const HttpCall &Call);

/// @param Call a request.
/// @return whether its head can be sent as it is.
bool isSendable(const HttpCall &Call);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HTTP_HEAD_INTERNAL_H
