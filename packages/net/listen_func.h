/// @file
/// Whether an address can be listened on.

#ifndef CAMPHORNOTCH_NET_LISTEN_FUNC_H
#define CAMPHORNOTCH_NET_LISTEN_FUNC_H

#include "net/http_type.h"

namespace camphornotch {

/// @param Target the address; port 0 is never taken.
/// @return whether another process listens on the address, or the host does not
///   have it.
bool isAddressTaken(const HttpTarget &Target);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LISTEN_FUNC_H
