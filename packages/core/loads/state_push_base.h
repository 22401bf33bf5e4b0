/// @file
/// Decides which gateways get the state of a loader's engine.

#ifndef CAMPHORNOTCH_CORE_LOADS_STATE_PUSH_BASE_H
#define CAMPHORNOTCH_CORE_LOADS_STATE_PUSH_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "core/gateway/endpoint_pool_type.h"

#include <set>
#include <span>
#include <vector>

namespace camphornotch {

/// If each loader sent each report to each gateway, messages would grow with
/// the product of both. Only gateways that place work at engines need every
/// report: those that own partitions or forward requests to engines. The others
/// get changes of versions at once, and the rest seldom. Deterministic, without
/// I/O.
class StatePush {
public:
  /// Notes whether a gateway places work by engine loads. One that never said
  /// so counts as placing work.
  void setWanted(const HostId &Gateway, bool Wanted);

  /// Forgets a gateway whose link is lost.
  void remove(const HostId &Gateway) { this->Idle.erase(Gateway); }

  /// @param Gateways the gateways that are linked.
  /// @param State the engine's state by its latest report.
  /// @return the gateways to send it to now.
  std::vector<HostId> recipients(std::span<const HostId> Gateways,
                                 const EngineLoad &State, Millis Now);

private:
  /// @return whether all gateways get the state now.
  bool isForAll(const EngineLoad &State, Millis Now) const;

  /// Gateways that place no work.
  std::set<HostId> Idle;
  /// The state last sent to all gateways.
  EngineLoad SentToAll;
  Millis SentToAllAt{0};
  bool HasSentToAll = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_STATE_PUSH_BASE_H
