/// @file
/// A server that sends arbitrary bytes, to test how clients handle invalid
/// responses.

#ifndef CAMPHORNOTCH_TESTS_NET_SCRIPTED_SERVER_H
#define CAMPHORNOTCH_TESTS_NET_SCRIPTED_SERVER_H

#include "net/http_type.h"

#include <arpa/inet.h>
#include <cassert>
#include <cerrno>
#include <cstdint>
#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace camphornotch {

/// Listens on the loopback address; the test controls each read and write.
class ScriptedServer {
public:
  ScriptedServer() {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->Reservation = boundSocket(Address);
    socklen_t Length = sizeof(Address);
    getsockname(this->Reservation, reinterpret_cast<sockaddr *>(&Address),
                &Length);
    this->Listener = boundSocket(Address);
    const bool Listens = listen(this->Listener, 16) == 0;
    assert(Listens);
    (void)Listens;
    fcntl(this->Listener, F_SETFL, O_NONBLOCK);
    this->Target = HttpTarget{"127.0.0.1", ntohs(Address.sin_port)};
  }
  ~ScriptedServer() {
    for (const int Each : this->Connections)
      close(Each);
    close(this->Listener);
    close(this->Reservation);
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// Refuses connections from now on, like a process that has ended. No other
  /// process can listen on the port meanwhile.
  void stopListening() {
    close(this->Listener);
    this->Listener = -1;
  }

  /// @return the address to connect to.
  const HttpTarget &target() const { return this->Target; }

  /// Accepts connections and reads what has arrived.
  /// @return the number of connections accepted so far.
  size_t poll() {
    for (;;) {
      const int Made = accept(this->Listener, nullptr, nullptr);
      if (Made < 0)
        break;
      fcntl(Made, F_SETFL, O_NONBLOCK);
      // Limits the bytes in flight between two turns.
      const int SendBytes = 64 << 10;
      setsockopt(Made, SOL_SOCKET, SO_SNDBUF, &SendBytes, sizeof(SendBytes));
      this->Connections.push_back(Made);
      this->Inputs.emplace_back();
    }
    for (size_t Index = 0; Index < this->Connections.size(); ++Index)
      this->readInput(Index);
    return this->Connections.size();
  }

  /// @return all bytes received on a connection.
  const std::string &input(size_t Index) { return this->Inputs.at(Index); }

  /// @return whether at least Count complete request heads have arrived on a
  ///         connection.
  bool hasRequests(size_t Index, size_t Count) {
    this->poll();
    if (Index >= this->Inputs.size())
      return false;
    size_t Found = 0;
    size_t At = 0;
    while ((At = this->Inputs[Index].find("\r\n\r\n", At)) !=
           std::string::npos) {
      ++Found;
      At += 1;
    }
    return Found >= Count;
  }

  void send(size_t Index, std::string_view Bytes) {
    ::send(this->Connections.at(Index), Bytes.data(), Bytes.size(),
           MSG_NOSIGNAL);
  }

  /// Sends as many of the bytes as fit into the socket's buffer.
  /// @return the number of bytes sent.
  size_t sendSome(size_t Index, std::string_view Bytes) {
    const ssize_t Taken = ::send(this->Connections.at(Index), Bytes.data(),
                                 Bytes.size(), MSG_NOSIGNAL);
    return Taken < 0 ? 0 : static_cast<size_t>(Taken);
  }

  /// Sends a piece repeatedly until the socket's buffer is full, but at most 1
  /// MiB per call, because a client that reads fast may never let it fill.
  /// @param Piece must be the same in each call for one connection.
  /// @return the number of bytes sent by all calls for the connection.
  size_t sendRepeatedly(size_t Index, std::string_view Piece) {
    this->RepeatedBytes.resize(this->Connections.size(), 0);
    size_t &Sent = this->RepeatedBytes.at(Index);
    const size_t Before = Sent;
    constexpr size_t MaxBytesPerCall = size_t{1} << 20;
    while (Sent - Before < MaxBytesPerCall) {
      const size_t Taken =
          this->sendSome(Index, Piece.substr(Sent % Piece.size()));
      if (Taken == 0)
        return Sent;
      Sent += Taken;
    }
    return Sent;
  }

  /// Closes the sending side of a connection.
  void end(size_t Index) { shutdown(this->Connections.at(Index), SHUT_WR); }

  /// Closes a connection with a TCP reset.
  void reset(size_t Index) {
    const linger ResetOnClose{1, 0};
    setsockopt(this->Connections.at(Index), SOL_SOCKET, SO_LINGER,
               &ResetOnClose, sizeof(ResetOnClose));
    close(this->Connections.at(Index));
    this->Connections.at(Index) = -1;
  }

  /// @return whether the client closed a connection.
  bool closed(size_t Index) {
    this->poll();
    return this->Closed.size() > Index && this->Closed[Index];
  }

private:
  /// @return a socket that shares its address with others that do not listen.
  static int boundSocket(const sockaddr_in &Address) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    const int Shared = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Shared, sizeof(Shared));
    const bool Bound =
        bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0;
    assert(Bound);
    (void)Bound;
    return Socket;
  }

  void readInput(size_t Index) {
    this->Closed.resize(this->Connections.size(), false);
    if (this->Connections[Index] < 0)
      return;
    char Buffer[4096];
    for (;;) {
      const ssize_t Received =
          recv(this->Connections[Index], Buffer, sizeof(Buffer), MSG_DONTWAIT);
      // A client that closes with bytes unread sends a reset.
      const bool Reset = Received < 0 && errno == ECONNRESET;
      if (Received == 0 || Reset)
        this->Closed[Index] = true;
      if (Received <= 0)
        return;
      this->Inputs[Index].append(Buffer, static_cast<size_t>(Received));
    }
  }

  /// Keeps the port while nothing listens on it.
  int Reservation = -1;
  int Listener = -1;
  HttpTarget Target;
  std::vector<int> Connections;
  /// The bytes received on each connection.
  std::vector<std::string> Inputs;
  /// Whether the client closed each connection.
  std::vector<bool> Closed;
  /// Bytes that sendRepeatedly() sent on each connection.
  std::vector<size_t> RepeatedBytes;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_NET_SCRIPTED_SERVER_H
