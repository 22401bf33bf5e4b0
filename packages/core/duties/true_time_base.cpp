/// @file
/// Estimates the true time from the wall clocks of many hosts.

#include "core/duties/true_time_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Peers without which a jump of one clock could not be told.
constexpr size_t MinPeers = 2;
/// Peers whose clocks are used; more would cost time and change little.
constexpr size_t MaxPeers = 64;

} // namespace

void TrueTime::peerClock(const HostId &Peer, int64_t WallMs, Millis Now) {
  const auto Known = this->Offsets.find(Peer);
  if (Known != this->Offsets.end())
    Known->second = WallMs - Now.Count;
  else if (this->Offsets.size() < MaxPeers)
    this->Offsets.emplace(Peer, WallMs - Now.Count);
}

Millis TrueTime::at(Millis OwnWall, Millis Now) const {
  if (this->Offsets.size() < MinPeers)
    return OwnWall;
  std::vector<int64_t> All;
  All.reserve(this->Offsets.size() + 1);
  for (const auto &[Peer, Offset] : this->Offsets)
    All.push_back(Offset);
  All.push_back(OwnWall.Count - Now.Count);
  const auto Middle = All.begin() + static_cast<std::ptrdiff_t>(All.size() / 2);
  std::ranges::nth_element(All, Middle);
  return Millis{Now.Count + *Middle};
}

} // namespace camphornotch
