/// @file
/// Status reports of the entries about themselves and the hosts they reach.

#ifndef CAMPHORNOTCH_CTL_REPORTS_FUNC_H
#define CAMPHORNOTCH_CTL_REPORTS_FUNC_H

#include "ctl/platform_base.h"

#include <map>
#include <string>
#include <vector>

namespace camphornotch {

/// The state of one host, merged from the reports of all entries.
struct HostReport {
  /// "entry" or "agent".
  std::string Role;
  std::string DataCentre;
  /// State in the host list: "live", "leaving" or "unlisted".
  std::string ListState;
  /// Offset of the latest configuration that it has applied; -1: none or not
  /// stated; -2: no entry reports on the host.
  int64_t ConfigOffset = -2;
  /// The entries that reach the host. An entry that answers is listed for
  /// itself too.
  std::vector<std::string> ReachedBy;
  /// An agent's endpoint as an entry reports it; null otherwise.
  nlohmann::json Endpoint;
};

/// The reports of all entries.
struct Reports {
  /// Host states by host name.
  std::map<std::string, HostReport> Hosts;
  /// The entries' responses to /admin/status.
  std::vector<nlohmann::json> Entries;
};

/// Requests the status of every listed entry; skips those that do not answer.
/// @return the reports, or an error if the host list does not answer.
Result<Reports> collectReports(Platform &Services);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_REPORTS_FUNC_H
