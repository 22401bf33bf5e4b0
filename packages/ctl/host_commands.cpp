/// @file
/// The subcommands about hosts: status and drain.

#include "base/text_func.h"
#include "ctl/command_func.h"
#include "ctl/output_func.h"
#include "ctl/reports_func.h"

#include <absl/strings/str_format.h>
#include <iostream>

namespace camphornotch {

namespace {

using nlohmann::json;

/// @return the state of a host as printed: "silent" if no entry reaches it,
///   otherwise its state in the host list.
std::string stateText(const HostReport &Report) {
  if (Report.ReachedBy.empty())
    return "silent";
  return Report.ListState;
}

/// @return the report on a host as JSON.
json hostJson(const std::string &Host, const HostReport &Report) {
  return json{{"host", Host},
              {"role", Report.Role},
              {"data_centre", Report.DataCentre},
              {"state", stateText(Report)},
              {"config_offset", Report.ConfigOffset},
              {"reached_by", Report.ReachedBy},
              {"endpoint", Report.Endpoint}};
}

/// @param Value a JSON object or null.
/// @return the member's text for a table cell; "-" if there is none.
std::string cellText(const json &Value, const char *Name) {
  if (!Value.is_object() || !Value.contains(Name))
    return "-";
  const json &Member = Value[Name];
  return Member.is_string() ? Member.get<std::string>() : Member.dump();
}

/// Prints the table of hosts.
void printHosts(const Reports &Collected) {
  std::cout << absl::StrFormat("%-16s %-6s %-8s %-9s %8s %8s  %-12s %8s %8s "
                               "%7s\n",
                               "host", "role", "centre", "state", "config",
                               "entries", "endpoint", "running", "queued",
                               "version");
  for (const auto &[Host, Report] : Collected.Hosts)
    std::cout << absl::StrFormat(
        "%-16s %-6s %-8s %-9s %8s %8d  %-12s %8s %8s %7s\n", Host, Report.Role,
        Report.DataCentre, stateText(Report),
        Report.ConfigOffset < -1 ? "?" : concat(Report.ConfigOffset),
        Report.ReachedBy.size(), cellText(Report.Endpoint, "endpoint"),
        cellText(Report.Endpoint, "running"),
        cellText(Report.Endpoint, "queued"),
        cellText(Report.Endpoint, "version"));
}

/// Prints one line for each entry about its own readiness and log state.
void printEntries(const Reports &Collected) {
  for (const json &Entry : Collected.Entries) {
    std::cout << cellText(Entry, "host")
              << ": ready=" << cellText(Entry, "ready");
    if (Entry.contains("log"))
      std::cout << " log_reachable=" << cellText(Entry["log"], "reachable")
                << " log_applied=" << cellText(Entry["log"], "applied");
    const std::string Reason = cellText(Entry, "why_not_ready");
    if (!Reason.empty() && Reason != "-")
      std::cout << " (" << Reason << ")";
    std::cout << "\n";
  }
}

} // namespace

ExitCode runStatus(const Options &Wanted) {
  Platform Services(Wanted);
  const Result<Reports> Collected = collectReports(Services);
  if (!Collected.has_value())
    return fail(Wanted, Collected.error());
  if (Wanted.Json) {
    json Hosts = json::array();
    for (const auto &[Host, Report] : Collected.value().Hosts)
      Hosts.push_back(hostJson(Host, Report));
    printJson(
        {{"hosts", std::move(Hosts)}, {"entries", Collected.value().Entries}});
  } else {
    printHosts(Collected.value());
    printEntries(Collected.value());
  }
  if (!Collected.value().Entries.empty())
    return ExitCode::Ok;
  return fail(Wanted, Error{ErrorKind::Unavailable, "no entry answers",
                            "see whether entries run, and whether this host "
                            "reaches them"});
}

ExitCode runDrain(const Options &Wanted) {
  const std::string &Host = Wanted.Arguments.front();
  Platform Services(Wanted);
  const Result<std::vector<HostEntry>> Hosts = Services.hosts();
  bool Listed = !Hosts.has_value();
  if (Hosts.has_value())
    for (const HostEntry &Entry : Hosts.value())
      Listed |= Entry.Host.Value == Host;
  if (!Listed && !Wanted.Cancel)
    return fail(Wanted, Error{ErrorKind::NotFound,
                              concat("no host \"", Host, "\" is listed"),
                              "see `camphornotch status` for the names"});
  LogFold Fold;
  const Result<LogOffset> End = Services.foldAll(Fold);
  if (!End.has_value())
    return fail(Wanted, End.error());
  wire::DrainRecord Order;
  Order.Host = Host;
  Order.Leave = !Wanted.Cancel;
  Order.Author = Wanted.Author;
  wire::LogRecord Record;
  Record.__set_Drain(Order);
  const auto Changes = Services.append(Record, Fold);
  if (!Changes.has_value())
    return fail(Wanted, Changes.error());
  if (Wanted.Json)
    printJson({{"host", Host},
               {"leave", Order.Leave},
               {"offset", Fold.applied().Value}});
  else
    std::cout << Host
              << (Order.Leave ? " is ordered to leave\n"
                              : " may stay: the order was taken back\n");
  return ExitCode::Ok;
}

} // namespace camphornotch
