/// @file
/// Links between gateways and loaders: they exchange published values and
/// engine states, and make store calls for each other.

#ifndef CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H

#include "base/settings_type.h"
#include "core/gateway/endpoint_pool_type.h"
#include "core/gateway/value_pull_base.h"
#include "gateway/published_values_base.h"
#include "net/link_hub_base.h"
#include "platform/store_client_base.h"

#include <map>
#include <set>
#include <string>

namespace camphornotch {

/// @return the lifetime of the endpoint that a gateway reports as broken. An
///   endpoint breaks once in a lifetime, so its start identifies the crash.
inline EndpointLifetime brokenLifetime(const wire::CrashReport &Report) {
  return EndpointLifetime{EndpointId{Report.Endpoint}, Report.CrashId};
}

/// Callbacks of a PeerTask.
struct PeerTaskCallbacks {
  /// A peer sent a published value.
  std::function<void(const KeyedRecord &)> OnPublished;
  /// A loader sent the state of its engine.
  std::function<void(const wire::EngineStatePush &)> OnEngineState;
  /// A gateway sent the model version that its work needs.
  std::function<void(const wire::WeightsAnnounce &)> OnVersionNeeded;
  /// A peer of an earlier version reported that a request crashed an endpoint.
  std::function<void(const wire::CrashReport &)> OnEndpointBroken;
  /// A link to a peer was established.
  std::function<void(const HostId &)> OnLinkUp;
  /// A link to a peer was lost. Optional.
  std::function<void(const HostId &)> OnLinkDown;
  /// A gateway said whether it places work by engine loads. Optional.
  std::function<void(const HostId &, bool Wanted)> OnLoadWanted;
  /// @return whether this gateway places work by engine loads. Optional: peers
  ///   are told nothing.
  std::function<bool()> WantsLoad;
  /// Whether heartbeats carry this host's wall clock.
  bool SendsWallClock = false;
  /// A peer's heartbeat carried its wall clock, in Unix milliseconds. Optional.
  std::function<void(const HostId &, int64_t WallMs)> OnWallClock;
  /// A gateway sent its usage counts. Optional.
  std::function<void(const wire::UsageCountsPush &)> OnUsageCounts;
  /// The holder of a duty announced itself. Optional.
  std::function<void(const HostId &, const wire::DutyHolderPush &)>
      OnDutyHolder;
  /// A peer sent what it knows of requests that break endpoints. Optional.
  std::function<void(const HostId &, const wire::SuspectsPush &)> OnSuspects;
};

/// Owns the links of a gateway or loader.
class PeerTask {
public:
  /// @param Store makes the calls that peers relay through this process.
  /// @param Values the published values, sent to peers that have older ones.
  PeerTask(Loop &Events, const CommonSettings &Settings,
           platform::StoreClient &Store, const PublishedValues &Values,
           PeerTaskCallbacks Callbacks);

  /// @return the port, or why the address cannot be listened on.
  Result<uint16_t> listen();

  /// Keeps a link to the process at an address.
  void connect(const HttpTarget &Target) { this->Hub.connect(Target); }

  /// Ends the link to an address.
  void disconnect(const HttpTarget &Target) { this->Hub.disconnect(Target); }

  /// @return whether there is a link to any peer.
  bool hasPeers() const { return this->peerCount() > 0; }

  /// @return the number of peers with a link.
  size_t peerCount() const { return this->Hub.peers().size(); }

  /// @return the bytes that wait to be sent to peers.
  size_t queuedBytes() const { return this->Hub.queuedBytes(); }

  /// @return the peers with a link.
  std::vector<HostId> peers() const { return this->Hub.peers(); }

  /// Sends a message to all peers.
  void broadcast(const wire::PeerMessage &Message);

  /// Sends a message to one peer.
  void send(const HostId &Peer, const wire::PeerMessage &Message) {
    this->Hub.send(Peer, Message);
  }

  /// Gets published values from peers that may be missing below newer ones.
  void pullAll() { this->Pull.wantAll(); }

  /// Sends heartbeats now, so that peers learn of newer published values.
  void announce() { this->Hub.sendHeartbeats(); }

  /// Makes a call to the store through a peer.
  /// @param Reply called with the answer.
  /// @return false if there is no peer or too many calls are relayed already.
  bool relay(const platform::RawStoreCall &Call,
             platform::RawStoreCallback Reply);

private:
  /// A store call that a peer makes for this process.
  struct RelayedCall {
    platform::RawStoreCallback Reply;
    TimerId Timer;
  };

  void onLinkEvent(const LinkEvent &Event);
  void onMessage(const HostId &Peer, const wire::PeerMessage &Message);
  /// Pulls published values if the peer's heartbeat shows that some are missing
  /// here.
  void onHeartbeat(const HostId &Peer, const wire::Heartbeat &Beat);
  /// Sends a peer the published values that it lacks.
  void onPull(const HostId &Peer, const wire::ConfigPull &Known);
  void onPushedValues(const HostId &Peer, const wire::PublishedPush &Push);
  /// Makes a store call for a peer that cannot reach the store.
  void onStoreCall(const HostId &Peer, const wire::StoreCallRequest &Request);
  /// Passes on the answer of a relayed call, unless that timed out.
  void finishRelayed(int64_t Id, platform::RawStoreAnswer Answer);

  Loop &Events;
  Address ListenAddress;
  std::string Region;
  platform::StoreClient &Store;
  const PublishedValues &Values;
  PeerTaskCallbacks Callbacks;
  ValuePull Pull;
  /// Peers of the same region.
  std::set<HostId> NearPeers;
  /// Calls that peers make for this process, by id.
  std::map<int64_t, RelayedCall> RelayedCalls;
  int64_t LastRelayId = 0;
  LinkHub Hub;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H
