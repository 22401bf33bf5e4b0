/// @file
/// All peer links of a process: connects, accepts, watches for silence.

#ifndef CAMPHORNOTCH_NET_LINK_HUB_BASE_H
#define CAMPHORNOTCH_NET_LINK_HUB_BASE_H

#include "base/error_type.h"
#include "net/http_type.h"
#include "net/link_type.h"
#include "net/loop_base.h"

#include <memory>
#include <vector>

namespace camphornotch {

/// Keeps one logical link to each peer over whatever connections work.
class LinkHub {
public:
  /// Fills each heartbeat before it is sent (load, offsets).
  using HeartbeatFill = std::function<void(wire::Heartbeat &)>;

  /// @param Events the loop to run on.
  /// @param Settings times and bounds.
  /// @param Self what every Hello says.
  /// @param Handler takes all events; never called from within send().
  LinkHub(Loop &Events, const LinkSettings &Settings, wire::Hello Self,
          LinkHandler Handler);
  /// Closes all connections without events.
  ~LinkHub();
  LinkHub(const LinkHub &) = delete;
  LinkHub &operator=(const LinkHub &) = delete;

  /// Accepts links. The bind is exclusive.
  /// @param Where the address; port 0 takes a free one.
  /// @return the port, or why the address cannot be had.
  Result<uint16_t> listen(const HttpTarget &Where);

  /// Keeps a link to the process at an address, from now on.
  /// @param Where the address; one already connected to is ignored.
  void connect(const HttpTarget &Where);

  /// Ends a connect(); a LinkDown follows if the peer was up.
  /// @param Where the address.
  void disconnect(const HttpTarget &Where);

  /// @param Peer a host.
  /// @param Message what to send.
  /// @return false if there is no link to the host or its queue is full.
  bool send(const HostId &Peer, const wire::PeerMessage &Message);

  /// @param Peer a host.
  /// @return whether it is up.
  bool isUp(const HostId &Peer) const;

  /// @return the hosts that are up.
  std::vector<HostId> peers() const;

  /// @param Fill called before each heartbeat.
  void onHeartbeat(HeartbeatFill Fill);

  /// @param Self what later Hellos say.
  void setHello(wire::Hello Self);

  /// Sends a heartbeat to all peers now, for news that should not wait.
  void beatNow();

  /// @return what went over the links.
  LinkCounters counters() const;

private:
  struct State;
  /// Everything that needs h2o's headers.
  std::shared_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_HUB_BASE_H
