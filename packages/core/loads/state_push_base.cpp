/// @file
/// Decides which gateways get the state of a loader's engine.

#include "core/loads/state_push_base.h"

#include <algorithm>
#include <iterator>

namespace camphornotch {

namespace {

/// Pause between states sent to gateways that place no work; shorter than the
/// age at which a gateway stops using a report.
constexpr Millis IdleInterval{1'000};

} // namespace

void StatePush::setWanted(const HostId &Gateway, bool Wanted) {
  if (Wanted)
    this->Idle.erase(Gateway);
  else
    this->Idle.insert(Gateway);
}

bool StatePush::isForAll(const EngineLoad &State, Millis Now) const {
  return !this->HasSentToAll || Now - this->SentToAllAt >= IdleInterval ||
         State.LoadingModel != this->SentToAll.LoadingModel ||
         State.Versions != this->SentToAll.Versions;
}

std::vector<HostId> StatePush::recipients(std::span<const HostId> Gateways,
                                          const EngineLoad &State, Millis Now) {
  if (this->isForAll(State, Now)) {
    this->HasSentToAll = true;
    this->SentToAll = State;
    this->SentToAllAt = Now;
    return {Gateways.begin(), Gateways.end()};
  }
  std::vector<HostId> Chosen;
  std::ranges::copy_if(
      Gateways, std::back_inserter(Chosen),
      [this](const HostId &Each) { return !this->Idle.contains(Each); });
  return Chosen;
}

} // namespace camphornotch
