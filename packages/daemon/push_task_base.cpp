/// @file
/// Pushes versions and quarantine to the agents.

#include "daemon/push_task_base.h"

#include "base/clock_func.h"
#include "core/agent/weight_base.h"

namespace camphornotch {

std::vector<HostId> PushTask::agents() const {
  std::vector<HostId> Hosts;
  for (const auto &[Host, Peer] : this->Links.peers())
    if (Peer.Hello.Role == "agent")
      Hosts.push_back(Host);
  return Hosts;
}

void PushTask::linkUp(const LinkUp &Up) {
  if (Up.Hello.Role != "agent")
    return;
  this->sendVersion(Up.Peer, Up.Hello.Serves);
  this->sendQuarantine(Up.Peer);
}

void PushTask::changed(const std::vector<FoldChange> &Changes) {
  bool Quarantine = false;
  std::vector<std::string> Models;
  for (const FoldChange &Change : Changes) {
    const auto *Snapshot = std::get_if<SnapshotSeen>(&Change);
    const bool Restored = Snapshot != nullptr && Snapshot->Restored;
    Quarantine |= Restored || std::holds_alternative<QuarantineChanged>(Change);
    if (const auto *Version = std::get_if<VersionAnnounced>(&Change))
      Models.push_back(Version->Model);
  }
  for (const HostId &Agent : this->agents()) {
    if (Quarantine)
      this->sendQuarantine(Agent);
    for (const std::string &Model : Models)
      if (this->Links.peers().at(Agent).Hello.Serves == Model)
        this->sendVersion(Agent, Model);
  }
}

void PushTask::sendVersion(const HostId &Peer, const std::string &Model) {
  const VersionState *Version = this->Log.fold().version(Model);
  if (Version == nullptr)
    return;
  wire::WeightsAnnounce Announce;
  Announce.Model = Model;
  Announce.Version = Version->Version.Value;
  Announce.Location = Version->Location;
  Announce.Offset = Version->Offset.Value;
  this->addRank(Peer, Announce);
  wire::PeerMessage Message;
  Message.__set_WeightsAnnounceMsg(Announce);
  this->Links.hub().send(Peer, Message);
}

void PushTask::addRank(const HostId &Peer,
                       wire::WeightsAnnounce &Announce) const {
  std::vector<EndpointId> Engines;
  for (const auto &[Host, Entry] : this->Links.listed()) {
    if (Entry.IsAgent && Entry.Serves == Announce.Model)
      Engines.push_back(Entry.Endpoint);
  }
  const EndpointId Own{this->Links.peers().at(Peer).Hello.Endpoint};
  const int Rank = swapRank(Engines, Own, WeightVersion{Announce.Version});
  // An engine that is not listed yet swaps in a wave by its hash alone.
  Announce.__set_Engines(static_cast<int32_t>(Engines.size()));
  if (Rank >= 0)
    Announce.__set_Rank(Rank);
}

void PushTask::sendQuarantine(const HostId &Peer) {
  wire::QuarantinePush Push;
  Push.Offset = this->Log.fold().applied().Value;
  const int64_t WallMs = wallNow().Count;
  for (const auto &[Digest, State] : this->Log.fold().quarantined())
    if (!State.Released && State.UntilWallMs > WallMs)
      Push.Digests.push_back(Digest);
  wire::PeerMessage Message;
  Message.__set_QuarantinePushMsg(Push);
  this->Links.hub().send(Peer, Message);
}

} // namespace camphornotch
