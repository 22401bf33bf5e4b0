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

/// Times and bounds of links.
struct LinkSettings {
  /// Time between heartbeats.
  Millis HeartbeatInterval{500};
  /// Silence after which a fresh connection is opened.
  Millis SilenceAfter{1500};
  /// Time for a connection to be made and greeted.
  Millis ConnectTimeout{1500};
  /// First wait after a failed connection; doubles each time.
  Millis BackoffMin{100};
  /// Longest wait between connections.
  Millis BackoffMax{3000};
  /// Most bytes waiting to be written to one peer.
  size_t MaxQueuedBytes = size_t{64} << 20;
};

/// A peer can be reached: its Hello arrived on a new connection.
struct LinkUp {
  /// The peer's host.
  HostId Peer;
  /// The peer's words.
  wire::Hello Hello;
  /// Whether the same boot was linked before: messages in flight on the old
  /// connection may be lost, pending work is to be asked for by id.
  bool Again = false;
};

/// A peer cannot be reached any more, on a fresh connection either.
struct LinkDown {
  /// The peer's host.
  HostId Peer;
  /// What was seen last.
  std::string Cause;
};

/// A message of a linked peer; never Hello. Heartbeats are passed on too.
struct LinkMessage {
  /// The sender.
  HostId Peer;
  /// What it sent.
  wire::PeerMessage Message;
};

/// What a hub tells its owner.
using LinkEvent = std::variant<LinkUp, LinkDown, LinkMessage>;

/// Takes the events of a hub.
using LinkHandler = std::function<void(LinkEvent)>;

/// What went over links since the start.
struct LinkCounters {
  /// Bytes received.
  uint64_t BytesIn = 0;
  /// Bytes handed to sockets.
  uint64_t BytesOut = 0;
  /// Messages received.
  uint64_t MessagesIn = 0;
  /// Messages sent.
  uint64_t MessagesOut = 0;
  /// Fresh connections opened because of silence.
  uint64_t SilenceProbes = 0;
  /// Connections closed for bytes that are no message.
  uint64_t BadFrames = 0;
  /// Messages not sent because the queue was full.
  uint64_t QueueFull = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_TYPE_H
