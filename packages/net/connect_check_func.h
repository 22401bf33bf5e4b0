/// @file
/// Checks whether a process accepts connections.

#ifndef CAMPHORNOTCH_NET_CONNECT_CHECK_FUNC_H
#define CAMPHORNOTCH_NET_CONNECT_CHECK_FUNC_H

#include "base/millis_type.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <functional>

namespace camphornotch {

/// Opens a connection and closes it without sending anything.
/// @param Timeout limit of the time for the connection.
/// @param Done called once, never before this returns, with whether the target
///   accepted the connection in time.
void checkConnect(Loop &Events, const HttpTarget &Target, Millis Timeout,
                  std::function<void(bool)> Done);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_CONNECT_CHECK_FUNC_H
