/// @file
/// How long a connection to a server may stay idle.

#ifndef CAMPHORNOTCH_NET_IDLE_TIME_INTERNAL_H
#define CAMPHORNOTCH_NET_IDLE_TIME_INTERNAL_H

#include "net/http_type.h"

namespace camphornotch {

/// @return how long a connection may stay idle after this response; 0 or less:
///         it is not pooled.
Millis idleTime(const HttpResponse &Response);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_IDLE_TIME_INTERNAL_H
