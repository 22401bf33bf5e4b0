/// @file
/// Estimates the true time from the wall clocks of many hosts.

#ifndef CAMPHORNOTCH_CORE_DUTIES_TRUE_TIME_BASE_H
#define CAMPHORNOTCH_CORE_DUTIES_TRUE_TIME_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace camphornotch {

/// The median of the offsets between wall clocks and this host's monotonic
/// clock. A wall clock that jumps, of this host or of a minority of its peers,
/// does not move it.
class TrueTime {
public:
  /// Notes a peer's wall clock as it arrived.
  /// @param WallMs the peer's wall clock, Unix milliseconds. It is older by the
  ///   time that the message took, at most some tens of milliseconds.
  /// @param Now by bootNow().
  void peerClock(const HostId &Peer, int64_t WallMs, Millis Now);

  /// Forgets a peer whose link is lost.
  void remove(const HostId &Peer) { this->Offsets.erase(Peer); }

  /// @param OwnWall this host's wall clock.
  /// @param Now by bootNow().
  /// @return the true time in Unix milliseconds; by this host's wall clock
  ///   alone while fewer than two peers are known.
  Millis at(Millis OwnWall, Millis Now) const;

private:
  /// Wall clock minus monotonic clock, by peer.
  std::map<HostId, int64_t> Offsets;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_TRUE_TIME_BASE_H
