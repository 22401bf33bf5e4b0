/// @file
/// Listening sockets and socket addresses.

#ifndef CAMPHORNOTCH_NET_LISTEN_INTERNAL_H
#define CAMPHORNOTCH_NET_LISTEN_INTERNAL_H

#include "base/error_type.h"
#include "net/http_type.h"

#include <netinet/in.h>

namespace camphornotch {

/// A listening socket; the receiver closes it.
struct ListeningSocket {
  int Fd = -1;
  /// The bound port, also if port 0 was requested.
  uint16_t Port = 0;
};

/// @param Target the address; port 0: any free port.
/// @return the socket, bound exclusively, or an error if the address cannot be
///         bound.
Result<ListeningSocket> listenOn(const HttpTarget &Target);

/// @pre the target's address is a valid IPv4 address.
sockaddr_in socketAddress(const HttpTarget &Target);

/// Disables Nagle's algorithm on a TCP socket.
void disableNagle(int Fd);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LISTEN_INTERNAL_H
