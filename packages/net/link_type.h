/// @file
/// Settings, events and counters of peer links.

#ifndef CAMPHORNOTCH_NET_LINK_TYPE_H
#define CAMPHORNOTCH_NET_LINK_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace camphornotch {

/// Timeouts and limits of peer links.
struct LinkSettings {
  Millis HeartbeatInterval{500};
  /// Silence after which a new connection is opened.
  Millis SilenceAfter{1500};
  /// Time for a connection to be established and the peer's Hello to arrive.
  Millis ConnectTimeout{1500};
  /// Delay after the first failed attempt; doubles with each further one.
  Millis BackoffMin{100};
  /// Limit on the delay between attempts.
  Millis BackoffMax{3000};
  /// Limit on the bytes waiting to be sent to one peer.
  size_t MaxQueuedBytes = size_t{64} << 20;
  /// Whether an accepted connection may make the process hold only a little
  /// before its Hello; the number of these connections is bounded, too.
  bool LimitsAccepted = false;
  /// Limit on accepted connections without a Hello; 0: none.
  size_t MaxWithoutHello = 0;
};

/// A peer is reachable: its Hello arrived on a new connection.
struct LinkUp {
  HostId Peer;
  wire::Hello Hello;
  /// Whether this replaces a connection to the same boot of the peer. Messages
  /// in flight on the old connection may be lost, so the state of pending work
  /// must be queried by id.
  bool SameBoot = false;
};

/// A peer is not reachable any more, not even on a new connection.
struct LinkDown {
  HostId Peer;
  /// The last failure.
  std::string Cause;
};

/// A message of a peer that is up; heartbeats too, but never Hello.
struct LinkMessage {
  HostId Peer;
  wire::PeerMessage Message;
};

/// An event that a hub reports to its owner.
using LinkEvent = std::variant<LinkUp, LinkDown, LinkMessage>;

using LinkHandler = std::function<void(LinkEvent)>;

/// Traffic of all links since the start.
struct LinkCounters {
  uint64_t BytesIn = 0;
  /// Bytes passed to sockets.
  uint64_t BytesOut = 0;
  uint64_t MessagesIn = 0;
  uint64_t MessagesOut = 0;
  /// New connections opened because of silence.
  uint64_t SilenceProbes = 0;
  /// Connections closed because of invalid messages.
  uint64_t BadFrames = 0;
  /// Messages that send() refused because the queue was full.
  uint64_t QueueFull = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_TYPE_H
