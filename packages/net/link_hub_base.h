/// @file
/// All peer links of a process: connects, accepts, detects silence.

#ifndef CAMPHORNOTCH_NET_LINK_HUB_BASE_H
#define CAMPHORNOTCH_NET_LINK_HUB_BASE_H

#include "base/error_type.h"
#include "net/http_type.h"
#include "net/link_type.h"
#include "net/loop_base.h"

#include <memory>
#include <vector>

namespace camphornotch {

/// Keeps one logical link to each peer, replacing connections that fail.
class LinkHub {
public:
  /// Fills in the load and offsets of a heartbeat before it is sent.
  using HeartbeatFiller = std::function<void(wire::Heartbeat &)>;

  /// @param OwnHello the Hello to send on each connection.
  /// @param Handler receives all events; never called from within send().
  LinkHub(Loop &Events, const LinkSettings &Settings, wire::Hello OwnHello,
          LinkHandler Handler);
  /// Closes all connections without reporting events.
  ~LinkHub();
  LinkHub(const LinkHub &) = delete;
  LinkHub &operator=(const LinkHub &) = delete;

  /// Accepts connections. The bind is exclusive.
  /// @param Target the address; port 0: any free port.
  /// @return the port, or an error if the address cannot be bound.
  Result<uint16_t> listen(const HttpTarget &Target);

  /// Keeps a link to the process at an address until disconnect().
  /// @param Target the address; ignored if it was connected before.
  void connect(const HttpTarget &Target);

  /// Ends the effect of connect(); reports LinkDown later if the peer was up.
  void disconnect(const HttpTarget &Target);

  /// @return false if there is no link to the peer or its queue is full.
  bool send(const HostId &Peer, const wire::PeerMessage &Message);

  /// @return whether the peer is up.
  bool isUp(const HostId &Peer) const;

  /// @return the peers that are up.
  std::vector<HostId> peers() const;

  void onHeartbeat(HeartbeatFiller Filler);

  /// @param OwnHello the Hello for connections made from now on.
  void setHello(wire::Hello OwnHello);

  /// Sends a heartbeat to all peers now, so that its data arrives sooner.
  void sendHeartbeats();

  LinkCounters counters() const;

  /// @return the bytes that wait to be sent, on all connections.
  size_t queuedBytes() const;

private:
  struct State;
  /// Keeps h2o's headers out of this one.
  std::shared_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_HUB_BASE_H
