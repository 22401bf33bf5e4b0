/// @file
/// The entry's links: whom to connect to, and what peers say of themselves.

#ifndef CAMPHORNOTCH_DAEMON_LINK_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_LINK_TASK_BASE_H

#include "base/settings_type.h"
#include "core/claims/claim_type.h"
#include "core/routing/endpoint_table_base.h"
#include "net/host_list_base.h"
#include "net/link_hub_base.h"
#include "net/metrics_base.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace camphornotch {

/// What the link task tells.
struct LinkTaskEvents {
  /// A peer can be reached.
  std::function<void(const LinkUp &)> Up;
  /// A peer cannot be reached any more.
  std::function<void(const HostId &)> Down;
  /// A peer's message, heartbeats included.
  std::function<void(const HostId &, const wire::PeerMessage &)> Message;
  /// An endpoint cannot be reached any more.
  std::function<void(EndpointIndex)> EndpointLost;
  /// The entries present have changed.
  std::function<void(std::vector<EntryView>)> Members;
  /// A new host list arrived.
  std::function<void()> Listed;
};

/// What is known of a linked peer.
struct PeerView {
  /// Its Hello.
  wire::Hello Hello;
  /// The configuration that it has, by its last word.
  int64_t ConfigOffset = 0;
};

/// Owns the hub and the host list poller, and keeps the endpoint table.
class LinkTask {
public:
  /// @param Events the loop.
  /// @param Http asks for the host list.
  /// @param Settings the common settings.
  /// @param Boot this process's boot.
  /// @param Table the endpoints, kept by this task.
  LinkTask(Loop &Events, HttpClient &Http, const CommonSettings &Settings,
           BootId Boot, EndpointTable &Table);

  /// Opens the socket and begins to ask for the host list.
  /// @param Tell what to tell.
  /// @return the port, or why the address cannot be had.
  Result<uint16_t> start(LinkTaskEvents Tell);

  /// @return the hub, for those who send.
  LinkHub &hub() { return this->Hub; }

  /// @return what is known of the linked peers.
  const std::map<HostId, PeerView> &peers() const { return this->Peers; }

  /// @return the last host list, by host.
  const std::map<HostId, HostEntry> &listed() const { return this->Listed; }

  /// @param Host a host.
  /// @return its endpoint's index, if it has one.
  std::optional<EndpointIndex> endpointOf(const HostId &Host) const;

  /// Takes a figure that came with an answer.
  /// @param Host the agent's host.
  /// @param Load the figure.
  void noteLoad(const HostId &Host, const wire::LoadFigure &Load);

  /// Tells all peers that this entry is leaving, by no longer being present.
  void setLeaving();

private:
  /// Takes an event of the hub.
  /// @param Event the event.
  void onLink(LinkEvent Event);
  /// Takes a new host list.
  /// @param List the list.
  void onHosts(const HostList &List);
  /// Keeps links to one host.
  /// @param Host the host.
  void keepHost(const HostEntry &Host);
  /// Forgets hosts that are neither listed nor linked.
  void dropAbsent();
  /// Enters an agent into the endpoint table.
  /// @param Hello the agent's Hello.
  void enterEndpoint(const wire::Hello &Hello);
  /// Tells which entries are present.
  void tellMembers();

  /// The loop.
  Loop &Events;
  /// Asks for the host list.
  HttpClient &Http;
  /// The common settings.
  const CommonSettings &Settings;
  /// This process's boot.
  BootId Boot;
  /// The endpoints.
  EndpointTable &Table;
  /// What to tell.
  LinkTaskEvents Tell;
  /// The links.
  LinkHub Hub;
  /// Asks for the host list.
  std::unique_ptr<HostListPoller> Poller;
  /// The last host list, by host.
  std::map<HostId, HostEntry> Listed;
  /// Addresses kept links to, by host.
  std::map<HostId, HttpTarget> Connected;
  /// The linked peers.
  std::map<HostId, PeerView> Peers;
  /// Whether this entry is leaving.
  bool Leaving = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_LINK_TASK_BASE_H
