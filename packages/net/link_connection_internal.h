/// @file
/// A connection that carries length-prefixed messages.

#ifndef CAMPHORNOTCH_NET_LINK_CONNECTION_INTERNAL_H
#define CAMPHORNOTCH_NET_LINK_CONNECTION_INTERNAL_H

#include "net/h2o_internal.h"
#include "net/link_type.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphornotch {

/// Sends and receives framed messages on one socket. The owner releases it
/// after OnClosed; to release it from within OnMessages, it calls close()
/// first.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  LinkConnection(Loop &Events, std::shared_ptr<LinkCounters> Counters)
      : Events(Events), Counters(std::move(Counters)) {}
  /// Closes the socket.
  ~LinkConnection();
  LinkConnection(const LinkConnection &) = delete;
  LinkConnection &operator=(const LinkConnection &) = delete;

  /// Starts to read from and write to a connected socket.
  /// @param Socket owned from now on.
  void attach(h2o_socket_t *Socket);

  /// Limits what the connection holds before its first message.
  /// @pre attach() was not called.
  void limitBeforeHello() { this->HasLimit = true; }

  /// Queues a message; it is written at the end of the loop's turn.
  /// @return false if more than MaxQueuedBytes are queued already.
  bool send(const wire::PeerMessage &Message, size_t MaxQueuedBytes);

  /// Closes the socket; no further callback runs.
  void close();

  bool closed() const { return this->Socket == nullptr; }

  /// @return the bytes not yet written to the socket.
  size_t queuedBytes() const {
    return this->Queued.size() + this->Writing.size();
  }

  /// Receives the messages of one read.
  std::function<void(std::vector<wire::PeerMessage>)> OnMessages;
  /// Called when the socket failed, the peer closed it, or invalid bytes
  /// arrived.
  std::function<void(const std::string &Cause)> OnClosed;

private:
  static void onRead(h2o_socket_t *Socket, const char *Failure);
  static void onWritten(h2o_socket_t *Socket, const char *Failure);
  /// Writes the queued bytes unless a write is in progress.
  void flush();
  /// Closes the socket and calls OnClosed.
  void fail(const std::string &Cause);
  /// Decodes the complete messages in the input buffer and removes them.
  /// @param Messages receives them.
  /// @return the error if the input is invalid; else empty.
  std::string takeMessages(std::vector<wire::PeerMessage> &Messages);

  Loop &Events;
  std::shared_ptr<LinkCounters> Counters;
  /// Null before attach() and after close().
  h2o_socket_t *Socket = nullptr;
  /// Bytes not yet passed to the socket.
  std::string Queued;
  /// Bytes being written.
  std::string Writing;
  /// Whether the input is limited until the first message.
  bool HasLimit = false;
  /// Whether a flush is scheduled for the end of this turn.
  bool FlushPlanned = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_CONNECTION_INTERNAL_H
