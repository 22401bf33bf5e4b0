/// @file
/// Listening sockets and socket addresses.

#include "net/listen_internal.h"

#include "net/listen_func.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphornotch {

namespace {

/// Limit on the connections waiting to be accepted.
constexpr int Backlog = 1024;

} // namespace

sockaddr_in socketAddress(const HttpTarget &Target) {
  sockaddr_in Address = {};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Target.Port);
  inet_pton(AF_INET, Target.Address.c_str(), &Address.sin_addr);
  return Address;
}

void disableNagle(int Fd) {
  const int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

bool isAddressTaken(const HttpTarget &Target) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = socketAddress(Target);
  const bool Failed = bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
                           sizeof(Address)) != 0;
  // An address that the host does not have yet comes up like a port.
  const bool Taken = Failed && (errno == EADDRINUSE || errno == EADDRNOTAVAIL);
  close(Fd);
  return Taken;
}

Result<ListeningSocket> listenOn(const HttpTarget &Target) {
  ListeningSocket Socket;
  Socket.Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int On = 1;
  // Allows a bind despite connections in TIME_WAIT, but not to a port in use.
  setsockopt(Socket.Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = socketAddress(Target);
  socklen_t Length = sizeof(Address);
  auto *Base = reinterpret_cast<sockaddr *>(&Address);
  const bool Succeeded = bind(Socket.Fd, Base, Length) == 0 &&
                         ::listen(Socket.Fd, Backlog) == 0 &&
                         getsockname(Socket.Fd, Base, &Length) == 0;
  if (!Succeeded) {
    const std::string Cause = strerror(errno);
    close(Socket.Fd);
    return Error{ErrorKind::Unavailable,
                 absl::StrCat("cannot listen on ", Target.Address, ":",
                              Target.Port, ": ", Cause),
                 "choose a free port, or stop the process that uses it"};
  }
  Socket.Port = ntohs(Address.sin_port);
  return Socket;
}

} // namespace camphornotch
