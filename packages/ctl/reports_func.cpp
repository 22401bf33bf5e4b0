/// @file
/// What entries report of themselves and of the hosts that they reach.

#include "ctl/reports_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @param Value a JSON object.
/// @param Name a member.
/// @return the text; empty if there is none.
std::string textIn(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  if (Found == Value.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

/// @param Value a JSON object.
/// @param Name a member.
/// @return the number; -1 if there is none.
int64_t offsetIn(const json &Value, const char *Name) {
  const auto Found = Value.find(Name);
  if (Found == Value.end() || !Found->is_number_integer())
    return -1;
  return Found->get<int64_t>();
}

/// Takes what an entry says of one linked peer.
/// @param Entry the entry's host.
/// @param Peer the peer's JSON.
/// @param Out takes the report.
void takePeer(const std::string &Entry, const json &Peer, Reports &Out) {
  const std::string Host = textIn(Peer, "host");
  if (Host.empty())
    return;
  HostReport &Report = Out.Hosts[Host];
  if (Report.Role.empty()) {
    Report.Role = textIn(Peer, "role");
    Report.DataCentre = textIn(Peer, "data_centre");
    Report.Listed = "unlisted";
  }
  Report.ConfigOffset =
      std::max(Report.ConfigOffset, offsetIn(Peer, "config_offset"));
  Report.ReachedBy.push_back(Entry);
  if (Peer.contains("endpoint"))
    Report.Endpoint = Peer["endpoint"];
}

/// Takes the answer of one entry.
/// @param Status the answer.
/// @param Out takes the reports.
void takeStatus(json Status, Reports &Out) {
  const std::string Host = textIn(Status, "host");
  const auto Config = Status.find("config");
  HostReport &Report = Out.Hosts[Host];
  if (Config != Status.end() && Config->is_object())
    Report.ConfigOffset =
        std::max(Report.ConfigOffset, offsetIn(*Config, "offset"));
  Report.ReachedBy.push_back(Host);
  const auto Peers = Status.find("peers");
  if (Peers != Status.end() && Peers->is_array())
    for (const json &Peer : *Peers)
      takePeer(Host, Peer, Out);
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
    Report.Listed = Host.Leaving ? "leaving" : "live";
  }
  for (const HostEntry &Host : Hosts.value()) {
    if (Host.IsAgent)
      continue;
    Result<json> Status = Services.status(Host.Http);
    if (Status.has_value())
      takeStatus(std::move(Status.value()), Out);
  }
  return Out;
}

} // namespace camphornotch
