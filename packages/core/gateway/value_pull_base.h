/// @file
/// Decides when published values are pulled from a peer, and from which.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <set>

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

  /// Values below the highest offset known here may be missing: asks one peer
  /// after the other for all values, until one has a value that is new here.
  void wantAll();

  /// @return whether the peer asked last is to send all values.
  bool asksForAll() const { return this->AskedAll; }

  /// Notes that the link to a peer is lost; another may be asked at once.
  void onPeerLost(const HostId &Peer);

  /// Notes an answer of a peer; if values are still missing, another peer may
  /// be asked at once.
  /// @param HasNew whether a value of the answer is new here.
  void onAnswer(const HostId &Peer, bool HasNew = false);

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
  /// Whether the peer was asked for all values.
  bool AskedAll = false;
  bool WantsAll = false;
  /// Peers asked for all values since wantAll().
  std::set<HostId> AskedForAll;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_VALUE_PULL_BASE_H
