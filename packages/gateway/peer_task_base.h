/// @file
/// Links between gateways and loaders: published values, engines' states, and
/// calls to the store on a peer's behalf.

#ifndef CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H

#include "base/settings_type.h"
#include "gateway/published_values_base.h"
#include "net/link_hub_base.h"
#include "platform/store_client_base.h"

#include <map>
#include <string>

namespace camphornotch {

/// What the task tells.
struct PeerTaskEvents {
  /// A peer had a newer value than this process.
  std::function<void(const KeyedRecord &)> Published;
  /// A loader says how its engine is.
  std::function<void(const wire::EngineStatePush &)> EngineState;
  /// A gateway says which version its work needs.
  std::function<void(const wire::WeightsAnnounce &)> VersionDemanded;
  /// A request broke an endpoint.
  std::function<void(const wire::CrashReport &)> EndpointBroken;
  /// A peer can be reached.
  std::function<void(const HostId &)> Up;
};

/// Owns the hub of a gateway or loader.
class PeerTask {
public:
  /// @param Events the loop.
  /// @param Settings the common settings.
  /// @param Store makes calls for peers.
  /// @param Values what is passed on to peers that are behind.
  /// @param Tell what to tell.
  PeerTask(Loop &Events, const CommonSettings &Settings,
           platform::StoreClient &Store, const PublishedValues &Values,
           PeerTaskEvents Tell);

  /// @return nothing, or why the address cannot be had.
  Result<uint16_t> listen();

  /// Keeps a link to the process at an address.
  /// @param Where the address.
  void connect(const HttpTarget &Where) { this->Hub.connect(Where); }

  /// Ends such a link.
  /// @param Where the address.
  void disconnect(const HttpTarget &Where) { this->Hub.disconnect(Where); }

  /// @return whether any peer can be reached.
  bool hasPeers() const { return !this->Hub.peers().empty(); }

  /// Sends a message to all peers.
  /// @param Message the message.
  void broadcast(const wire::PeerMessage &Message);

  /// Sends a message to one peer.
  /// @param Peer the peer.
  /// @param Message the message.
  void send(const HostId &Peer, const wire::PeerMessage &Message) {
    this->Hub.send(Peer, Message);
  }

  /// Tells all peers at once that there is something newer.
  void announce() { this->Hub.beatNow(); }

  /// Makes a call to the store through a peer.
  /// @param Call the call.
  /// @param Reply gets the answer.
  /// @return false if there is no peer.
  bool relay(const platform::RawStoreCall &Call,
             platform::RawStoreCallback Reply);

private:
  /// A call that a peer makes for this process.
  struct RelayedCall {
    /// Gets the answer.
    platform::RawStoreCallback Reply;
    /// Ends the wait.
    TimerId Timer;
  };

  /// @param Event an event of the hub.
  void handle(const LinkEvent &Event);
  /// @param Peer the sender.
  /// @param Message its message.
  void onMessage(const HostId &Peer, const wire::PeerMessage &Message);
  /// @param Peer the sender.
  /// @param Request the call that it cannot make itself.
  void onStoreCall(const HostId &Peer, const wire::StoreCallRequest &Request);
  /// @param Id a call made through a peer.
  /// @param Answer its answer.
  void finishRelayed(int64_t Id, platform::RawStoreAnswer Answer);

  /// The loop.
  Loop &Events;
  /// Where to listen.
  Address Where;
  /// Makes calls for peers.
  platform::StoreClient &Store;
  /// What is passed on.
  const PublishedValues &Values;
  /// What to tell.
  PeerTaskEvents Tell;
  /// Calls that peers make for this process.
  std::map<int64_t, RelayedCall> Relayed;
  /// The last call's number.
  int64_t LastRelayed = 0;
  /// The links.
  LinkHub Hub;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PEER_TASK_BASE_H
