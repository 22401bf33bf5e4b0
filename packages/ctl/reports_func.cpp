/// @file
/// Status reports of the entries about themselves and the hosts they reach.

#include "ctl/reports_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @return the string member of a JSON object; empty if it has none.
std::string stringMember(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  if (Found == Value.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

/// @return the integer member of a JSON object; -1 if it has none.
int64_t integerMember(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  if (Found == Value.end() || !Found->is_number_integer())
    return -1;
  return Found->get<int64_t>();
}

/// Adds an entry's report on one linked peer.
/// @param Entry the entry's host name.
/// @param Peer the peer's object in the entry's status.
void addPeer(const std::string &Entry, const json &Peer, Reports &Out) {
  const std::string Host = stringMember(Peer, "host");
  if (Host.empty())
    return;
  HostReport &Report = Out.Hosts[Host];
  if (Report.Role.empty()) {
    Report.Role = stringMember(Peer, "role");
    Report.DataCentre = stringMember(Peer, "data_centre");
    Report.ListState = "unlisted";
  }
  Report.ConfigOffset =
      std::max(Report.ConfigOffset, integerMember(Peer, "config_offset"));
  Report.ReachedBy.push_back(Entry);
  if (Peer.contains("endpoint"))
    Report.Endpoint = Peer["endpoint"];
}

/// Adds the status of one entry and of its linked peers.
/// @param Status the entry's response to /admin/status.
void addStatus(json Status, Reports &Out) {
  const std::string Host = stringMember(Status, "host");
  const auto Config = Status.find("config");
  HostReport &Report = Out.Hosts[Host];
  if (Config != Status.end() && Config->is_object())
    Report.ConfigOffset =
        std::max(Report.ConfigOffset, integerMember(*Config, "offset"));
  Report.ReachedBy.push_back(Host);
  const auto Peers = Status.find("peers");
  if (Peers != Status.end() && Peers->is_array())
    for (const json &Peer : *Peers)
      addPeer(Host, Peer, Out);
  Out.Entries.push_back(std::move(Status));
}

} // namespace

Result<Reports> collectReports(Platform &Services) {
  Result<std::vector<HostEntry>> Hosts = Services.hosts();
  if (!Hosts.has_value())
    return Hosts.error();
  Reports Out;
  for (const HostEntry &Host : Hosts.value()) {
    HostReport &Report = Out.Hosts[Host.Host.Value];
    Report.Role = Host.IsAgent ? "agent" : "entry";
    Report.DataCentre = Host.DataCentre.Value;
    Report.ListState = Host.Leaving ? "leaving" : "live";
  }
  for (const HostEntry &Host : Hosts.value()) {
    if (Host.IsAgent)
      continue;
    Result<json> Status = Services.status(Host.Http);
    if (Status.has_value())
      addStatus(std::move(Status.value()), Out);
  }
  return Out;
}

} // namespace camphornotch
