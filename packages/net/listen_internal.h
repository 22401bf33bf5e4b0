/// @file
/// Listening sockets and addresses, for the tasks of this package.

#ifndef CAMPHORNOTCH_NET_LISTEN_INTERNAL_H
#define CAMPHORNOTCH_NET_LISTEN_INTERNAL_H

#include "base/error_type.h"
#include "net/http_type.h"

#include <netinet/in.h>

namespace camphornotch {

/// A socket that listens.
struct Listening {
  /// Its file descriptor.
  int Fd = -1;
  /// The port, also if a free one was asked for.
  uint16_t Port = 0;
};

/// @param Where the address; port 0 takes a free one.
/// @return the socket, bound exclusively, or why the address cannot be had.
Result<Listening> listenOn(const HttpTarget &Where);

/// @param Target a numeric address.
/// @return the address for the socket calls.
/// @pre the address is a valid IPv4 number.
sockaddr_in socketAddress(const HttpTarget &Target);

/// Turns Nagle's algorithm off.
/// @param Fd a TCP socket.
void sendAtOnce(int Fd);

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LISTEN_INTERNAL_H
