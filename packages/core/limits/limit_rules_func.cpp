/// @file
/// The limits of a process, from its settings.

#include "core/limits/limit_rules_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

constexpr int64_t BytesPerMb = 1'000'000;
/// What a process needs without clients: 13 MB at its start, and tables that
/// grow with the site, which hosts with more memory have more of.
constexpr int64_t OwnBytes = 24 * BytesPerMb;
constexpr int64_t OwnShare = 4;
/// The least that is held for clients, however little memory there is.
constexpr int64_t MinHeldBytes = 2 * BytesPerMb;

} // namespace

LimitRules limitRules(const CommonSettings &Settings, int64_t BodyBytes) {
  LimitRules Rules;
  const int64_t Memory = Settings.MemoryMb * BytesPerMb;
  if (Memory > 0) {
    const int64_t Own = std::max(OwnBytes, Memory / OwnShare);
    Rules.HeldBytes = std::max(MinHeldBytes, Memory - Own - BodyBytes);
    Rules.MinRequestRate = Settings.MinRequestRate;
    Rules.RateGrace = Settings.RequestRateGrace;
    Rules.UnreadGrace = Settings.UnreadGrace;
  }
  const int64_t Descriptors = Settings.FileDescriptors;
  // The rest is for endpoints, loaders, links and the store.
  constexpr int64_t CallersShare = 2;
  constexpr int64_t PeersShare = 8;
  constexpr int64_t ProbesShare = 64;
  constexpr int64_t MinPeers = 8;
  constexpr int64_t MinProbes = 4;
  int64_t &Callers =
      Rules.Connections[static_cast<size_t>(ClientPort::Callers)];
  Callers = Settings.MaxClientConnections > 0 ? Settings.MaxClientConnections
                                              : Descriptors / CallersShare;
  Rules.PerAddress[static_cast<size_t>(ClientPort::Callers)] =
      Settings.MaxConnectionsPerAddress > 0 ? Settings.MaxConnectionsPerAddress
                                            : Callers * 3 / 4;
  if (Descriptors > 0) {
    Rules.Connections[static_cast<size_t>(ClientPort::Peers)] =
        std::max(MinPeers, Descriptors / PeersShare);
    Rules.Connections[static_cast<size_t>(ClientPort::Probes)] =
        std::max(MinProbes, Descriptors / ProbesShare);
  }
  return Rules;
}

} // namespace camphornotch
