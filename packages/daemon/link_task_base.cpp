/// @file
/// The entry's links.

#include "daemon/link_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "net/link_settings_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// The roles in a Hello.
constexpr const char *EntryRole = "entry";
constexpr const char *AgentRole = "agent";

/// @param Settings the common settings.
/// @param Boot this process's boot.
/// @return what this entry says of itself.
wire::Hello helloOf(const CommonSettings &Settings, BootId Boot) {
  wire::Hello Hello;
  Hello.Host = Settings.Host;
  Hello.Boot = Boot.Value;
  Hello.Role = EntryRole;
  Hello.DataCentre = Settings.DataCentre;
  Hello.Region = Settings.Region;
  return Hello;
}

} // namespace

LinkTask::LinkTask(Loop &Events, HttpClient &Http,
                   const CommonSettings &Settings, BootId Boot,
                   EndpointTable &Table)
    : Events(Events), Http(Http), Settings(Settings), Boot(Boot), Table(Table),
      Hub(Events, linkSettingsOf(Settings), helloOf(Settings, Boot),
          [this](LinkEvent Event) { this->onLink(std::move(Event)); }) {}

Result<uint16_t> LinkTask::start(LinkTaskEvents Tell) {
  this->Tell = std::move(Tell);
  auto Port = this->Hub.listen(targetOf(this->Settings.ListenLinks));
  if (!Port)
    return Port.error();
  this->Poller = std::make_unique<HostListPoller>(
      this->Events, this->Http, targetOf(this->Settings.HostList),
      DataCentreId{this->Settings.DataCentre}, this->Settings.HostListPoll,
      [this](const HostList &List) { this->onHosts(List); });
  this->tellMembers();
  return Port;
}

std::optional<EndpointIndex> LinkTask::endpointOf(const HostId &Host) const {
  const auto Found = this->Peers.find(Host);
  if (Found == this->Peers.end() || Found->second.Hello.Endpoint.empty())
    return std::nullopt;
  return this->Table.find(EndpointId{Found->second.Hello.Endpoint});
}

void LinkTask::noteLoad(const HostId &Host, const wire::LoadFigure &Load) {
  const auto Index = this->endpointOf(Host);
  if (!Index)
    return;
  this->Table.noteLoad(*Index, Load, steadyNow());
  const auto Listed = this->Listed.find(Host);
  const bool ListedLeaving =
      Listed != this->Listed.end() && Listed->second.Leaving;
  this->Table.setLeaving(*Index, Load.Leaving || ListedLeaving);
}

void LinkTask::setLeaving() {
  this->Leaving = true;
  this->tellMembers();
}

void LinkTask::onLink(LinkEvent Event) {
  if (const auto *Up = std::get_if<LinkUp>(&Event)) {
    this->Peers[Up->Peer] = PeerView{Up->Hello, Up->Hello.ConfigOffset};
    if (Up->Hello.Role == AgentRole)
      this->enterEndpoint(Up->Hello);
    logLine(LogLevel::Info, "link up", {{"peer", Up->Peer.Value}});
    this->Tell.Up(*Up);
    this->tellMembers();
    return;
  }
  if (const auto *Down = std::get_if<LinkDown>(&Event)) {
    logLine(LogLevel::Warn, "link down",
            {{"peer", Down->Peer.Value}, {"cause", Down->Cause}});
    const auto Index = this->endpointOf(Down->Peer);
    this->Peers.erase(Down->Peer);
    if (Index)
      this->Table.setReachable(*Index, false);
    this->Tell.Down(Down->Peer);
    if (Index)
      this->Tell.EndpointLost(*Index);
    this->tellMembers();
    return;
  }
  const auto &Got = std::get<LinkMessage>(Event);
  const auto Peer = this->Peers.find(Got.Peer);
  if (Peer == this->Peers.end())
    return;
  if (Got.Message.__isset.HeartbeatMsg) {
    const wire::Heartbeat &Beat = Got.Message.HeartbeatMsg;
    Peer->second.ConfigOffset = Beat.ConfigOffset;
    if (Beat.__isset.Load)
      this->noteLoad(Got.Peer, Beat.Load);
  }
  this->Tell.Message(Got.Peer, Got.Message);
}

void LinkTask::enterEndpoint(const wire::Hello &Hello) {
  EndpointInfo Info;
  Info.Endpoint = EndpointId{Hello.Endpoint};
  Info.Host = HostId{Hello.Host};
  Info.Kind = Hello.EndpointKind == "service" ? EndpointKind::Service
                                              : EndpointKind::Engine;
  Info.Serves = Hello.Serves;
  Info.DataCentre = DataCentreId{Hello.DataCentre};
  Info.Region = RegionId{Hello.Region};
  const EndpointIndex Index = this->Table.upsert(Info);
  this->Table.setReachable(Index, true);
}

void LinkTask::onHosts(const HostList &List) {
  this->Listed.clear();
  for (const HostEntry &Host : List.Hosts) {
    this->Listed[Host.Host] = Host;
    this->keepHost(Host);
  }
  this->dropAbsent();
  this->tellMembers();
  this->Tell.Listed();
}

void LinkTask::keepHost(const HostEntry &Host) {
  // Of two entries the one whose name comes first connects.
  const bool Ours = Host.IsAgent || this->Settings.Host < Host.Host.Value;
  if (!Ours)
    return;
  const auto Found = this->Connected.find(Host.Host);
  const bool Moved =
      Found != this->Connected.end() && Found->second != Host.Address;
  if (Moved)
    this->Hub.disconnect(Found->second);
  if (Found == this->Connected.end() || Moved) {
    this->Connected[Host.Host] = Host.Address;
    this->Hub.connect(Host.Address);
  }
  const auto Index = this->endpointOf(Host.Host);
  if (Index && Host.Leaving)
    this->Table.setLeaving(*Index, true);
}

void LinkTask::dropAbsent() {
  // The list lags: a host that is linked is there, whatever the list says.
  std::erase_if(this->Connected, [this](const auto &Entry) {
    const bool Keep =
        this->Listed.contains(Entry.first) || this->Peers.contains(Entry.first);
    if (!Keep)
      this->Hub.disconnect(Entry.second);
    return !Keep;
  });
}

void LinkTask::tellMembers() {
  std::vector<EntryView> Entries;
  Entries.push_back(
      EntryView{HostId{this->Settings.Host}, this->Boot, this->Leaving});
  for (const auto &[Host, Peer] : this->Peers) {
    if (Peer.Hello.Role != EntryRole)
      continue;
    const auto Listed = this->Listed.find(Host);
    const bool Leaving = Listed != this->Listed.end() && Listed->second.Leaving;
    Entries.push_back(EntryView{Host, BootId{Peer.Hello.Boot}, Leaving});
  }
  this->Tell.Members(std::move(Entries));
}

} // namespace camphornotch
