/// @file
/// One connection that carries framed messages.

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

/// Frames and unframes messages on one socket. Its owner drops it after
/// OnClosed, never from within OnMessages' delivery without close().
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  /// @param Events the loop.
  /// @param Counters the hub's counters.
  LinkConnection(Loop &Events, std::shared_ptr<LinkCounters> Counters)
      : Events(Events), Counters(std::move(Counters)) {}
  /// Closes the socket.
  ~LinkConnection();
  LinkConnection(const LinkConnection &) = delete;
  LinkConnection &operator=(const LinkConnection &) = delete;

  /// Begins to use a connected socket.
  /// @param Socket the socket, owned from now on.
  void attach(h2o_socket_t *Socket);

  /// Queues a message; it is written at the end of the loop's turn.
  /// @param Message what to send.
  /// @param MaxQueuedBytes most bytes that may wait.
  /// @return false if too much waits already.
  bool send(const wire::PeerMessage &Message, size_t MaxQueuedBytes);

  /// Closes the socket; no further callback comes.
  void close();

  /// @return whether the socket is closed.
  bool closed() const { return this->Socket == nullptr; }

  /// Takes the messages that arrived together.
  std::function<void(std::vector<wire::PeerMessage>)> OnMessages;
  /// Called when the socket failed, was closed by the peer, or brought bytes
  /// that are no message.
  std::function<void(const std::string &Cause)> OnClosed;

private:
  /// Takes in what the socket brought.
  /// @param Socket the socket.
  /// @param Failure null unless it failed.
  static void onRead(h2o_socket_t *Socket, const char *Failure);
  /// A write is done.
  /// @param Socket the socket.
  /// @param Failure null unless it failed.
  static void onWritten(h2o_socket_t *Socket, const char *Failure);
  /// Writes what waits.
  void flush();
  /// Closes and tells the owner.
  /// @param Cause why.
  void fail(const std::string &Cause);
  /// Takes whole messages out of the input.
  /// @param Messages gets them.
  /// @return what is wrong with the input; empty if nothing.
  std::string takeMessages(std::vector<wire::PeerMessage> &Messages);

  /// The loop.
  Loop &Events;
  /// The hub's counters.
  std::shared_ptr<LinkCounters> Counters;
  /// The socket; null once closed.
  h2o_socket_t *Socket = nullptr;
  /// Bytes not yet handed to the socket.
  std::string Waiting;
  /// Bytes being written.
  std::string Writing;
  /// Whether a flush is planned for this turn's end.
  bool FlushPlanned = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_CONNECTION_INTERNAL_H
