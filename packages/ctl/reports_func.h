/// @file
/// What entries report of themselves and of the hosts that they reach.

#ifndef CAMPHORNOTCH_CTL_REPORTS_FUNC_H
#define CAMPHORNOTCH_CTL_REPORTS_FUNC_H

#include "ctl/platform_base.h"

#include <map>
#include <string>
#include <vector>

namespace camphornotch {

/// What is reported of one host.
struct HostReport {
  /// Its role: "entry" or "agent".
  std::string Role;
  /// Its data centre.
  std::string DataCentre;
  /// "live", "leaving" or "unlisted", as the host list says.
  std::string Listed;
  /// The configuration that it has applied; -2: nobody reports on it.
  int64_t ConfigOffset = -2;
  /// The entries that reach it; an entry that answers counts itself.
  std::vector<std::string> ReachedBy;
  /// An agent's endpoint, as an entry reports it; else null.
  nlohmann::json Endpoint;
};

/// All reports.
struct Reports {
  /// By host.
  std::map<std::string, HostReport> Hosts;
  /// The answers of entries to /admin/status.
  std::vector<nlohmann::json> Entries;
};

/// Asks every listed entry.
/// @param Services the platform.
/// @return the reports; the error if the host list does not answer.
Result<Reports> collectReports(Platform &Services);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_REPORTS_FUNC_H
