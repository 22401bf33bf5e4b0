/// @file
/// Stand-in for the platform's list of live and leaving hosts, which lags.

#include "standins/common/json_func.h"
#include "standins/common/standin_server.h"

#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <utility>

DEFINE_int32(port, 7001, "port on the loopback address");
DEFINE_int32(lag_ms, 2000, "how late changes become visible");
DEFINE_string(hosts, "", "file with the hosts at the start, as JSON");

namespace camphornotch::standin {

/// Serves the host list. A host may have different addresses for different
/// data centres ("seen_from").
class HostListServer {
public:
  HostListServer(Loop &Events)
      : Events(Events), Hosts(nlohmann::json::object()),
        Server(Events, static_cast<uint16_t>(FLAGS_port),
               {[this](const Exchange &Waiting) { this->answerList(Waiting); },
                [this](const HttpRequest &) { return this->Hosts; },
                [this](const nlohmann::json &Change) {
                  return this->scheduleChange(Change);
                },
                nullptr}) {}

  /// Adds or replaces hosts without the lag.
  /// @param InitialHosts an array of hosts as JSON.
  void addHosts(const nlohmann::json &InitialHosts) {
    for (const nlohmann::json &Host : InitialHosts) {
      this->Hosts[textOf(Host, "host")] = Host;
    }
  }

private:
  /// Answers with the list as the data centre in the "from" parameter sees it.
  void answerList(const Exchange &Waiting) {
    const std::string Viewer = queryParameter(Waiting->request().Query, "from");
    nlohmann::json Entries = nlohmann::json::array();
    for (const auto &[Name, Host] : this->Hosts.items()) {
      nlohmann::json Entry = Host;
      Entry.erase("seen_from");
      if (Host.contains("seen_from") && Host["seen_from"].contains(Viewer)) {
        Entry.update(Host["seen_from"][Viewer]);
      }
      Entries.push_back(std::move(Entry));
    }
    answerJson(Waiting, 200,
               {{"generation", this->Generation}, {"hosts", Entries}});
  }

  /// Applies a change after the lag.
  /// @param Change of the kind "state", with "host" and "state" (the state
  ///        "gone" removes the host), or "add", with the host as "entry".
  /// @return whether the kind is known.
  bool scheduleChange(const nlohmann::json &Change) {
    const std::string Kind = textOf(Change, "kind");
    if (Kind != "state" && Kind != "add") {
      return false;
    }
    this->Events.callAfter(Millis{FLAGS_lag_ms}, [this, Change, Kind] {
      ++this->Generation;
      const std::string Name = textOf(Change, "host");
      if (Kind == "add") {
        this->addHosts(nlohmann::json::array({Change["entry"]}));
      } else if (textOf(Change, "state") == "gone") {
        this->Hosts.erase(Name);
      } else if (this->Hosts.contains(Name)) {
        this->Hosts[Name]["state"] = textOf(Change, "state");
      }
    });
    return true;
  }

  Loop &Events;
  /// The hosts without changes that still lag, by name.
  nlohmann::json Hosts;
  /// Incremented with each applied change.
  int64_t Generation = 1;
  /// The HTTP server; the last member, because its handlers use the others.
  StandinServer Server;
};

} // namespace camphornotch::standin

/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  camphornotch::standin::HostListServer List(Loop);
  std::ifstream File(FLAGS_hosts);
  const std::string Text(std::istreambuf_iterator<char>(File), {});
  const nlohmann::json InitialHosts = camphornotch::standin::parseJson(Text);
  if (InitialHosts.is_array()) {
    List.addHosts(InitialHosts);
  }
  Loop.run();
  return 0;
}
