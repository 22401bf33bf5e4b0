/// @file
/// Timeout for the headers of a request, and the end of idle connections.

#include "net/head_watch_internal.h"

#include <string_view>
#include <sys/socket.h>

namespace camphornotch {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// @return whether a part of a head has arrived, but not its end. h2o keeps the
///   head in the input buffer until the request is answered.
bool hasPartialHead(const h2o_socket_t &Socket) {
  const h2o_buffer_t &Input = *Socket.input;
  const std::string_view Bytes(Input.bytes, Input.size);
  return !Bytes.empty() && Bytes.find(HeadEnd) == std::string_view::npos;
}

/// @return whether bytes have arrived that h2o has not handled.
bool hasInput(const h2o_socket_t &Socket) {
  if (Socket.input->size > 0)
    return true;
  char Byte = 0;
  return recv(h2o_socket_get_fd(const_cast<h2o_socket_t *>(&Socket)), &Byte,
              sizeof(Byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace

void HeadWatch::add(h2o_socket_t *Socket,
                    std::unique_ptr<LimitedConnection> Limited) {
  auto Made = std::make_unique<Connection>();
  Made->Owner = this;
  Made->Socket = Socket;
  Made->Limited = std::move(Limited);
  Socket->on_close.cb = HeadWatch::onClosed;
  Socket->on_close.data = Made.get();
  this->Connections[Socket] = std::move(Made);
}

LimitedConnection *HeadWatch::limited(h2o_socket_t *Socket) const {
  const auto Found = this->Connections.find(Socket);
  return Found == this->Connections.end() ? nullptr
                                          : Found->second->Limited.get();
}

LimitedConnection *HeadWatch::limitedOf(h2o_socket_t *Socket) {
  return static_cast<Connection *>(Socket->on_close.data)->Limited.get();
}

int HeadWatch::closeLate(Millis Now) {
  if (this->Limit == Millis{0})
    return 0;
  int Late = 0;
  for (const auto &[Socket, Each] : this->Connections) {
    if (!hasPartialHead(*Socket)) {
      Each->PartialSince = Never;
      continue;
    }
    if (Each->PartialSince == Never)
      Each->PartialSince = Now;
    if (Now - Each->PartialSince < this->Limit)
      continue;
    ++Late;
    // h2o owns the socket and closes it when it reads the end.
    shutdown(h2o_socket_get_fd(Socket), SHUT_RDWR);
    Each->PartialSince = Now;
  }
  return Late;
}

int HeadWatch::closeIdle(const std::unordered_set<h2o_socket_t *> &Busy) {
  int Idle = 0;
  for (const auto &[Socket, Each] : this->Connections) {
    if (Each->ShutDown || Busy.contains(Socket) || hasInput(*Socket))
      continue;
    ++Idle;
    Each->ShutDown = true;
    shutdown(h2o_socket_get_fd(Socket), SHUT_RDWR);
  }
  return Idle;
}

void HeadWatch::onClosed(void *Data) {
  const auto *Closed = static_cast<Connection *>(Data);
  Closed->Owner->Connections.erase(Closed->Socket);
}

} // namespace camphornotch
