/// @file
/// Decides when published values are pulled from a peer, and from which.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>

namespace camphornotch {

/// What a peer's heartbeat says about published values.
struct ValueOffer {
  HostId Peer;
  /// Whether the peer is in the same region.
  bool Near = false;
  /// The highest offset of the peer's values; -1: none.
  int64_t Offset = -1;
};

/// Pulls from one peer at a time. In a large deployment hundreds of peers learn
/// of a configuration at the same moment. If each of them were asked, a host
/// would receive the configuration once for each link. Each process reads the
/// store itself, so only one that cannot needs a peer. Deterministic, without
/// I/O; heartbeats arrive often enough to drive it.
class ValuePull {
public:
  /// @param Offer a peer's heartbeat.
  /// @param HaveOffset the highest offset known here.
  /// @return whether to ask that peer now; then it counts as asked.
  bool onOffer(const ValueOffer &Offer, int64_t HaveOffset, Millis Now);

  /// Notes that the link to a peer is lost; another may be asked at once.
  void onPeerLost(const HostId &Peer);

  /// Notes an answer of a peer; if values are still missing, another peer may
  /// be asked at once.
  void onAnswer(const HostId &Peer);

private:
  /// Whether a newer offset was offered before.
  bool Behind = false;
  /// When the values after BehindOffset were first offered.
  Millis BehindSince{0};
  /// The highest offset known here at that time.
  int64_t BehindOffset = -1;
  /// The peer asked; empty: none.
  HostId Asked;
  Millis AskedAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H
