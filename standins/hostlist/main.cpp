/// @file
/// Stand-in of the platform's lagging list of live and leaving hosts.

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

/// The list: each host may have other addresses for other viewers.
class HostListServer {
public:
  /// @param Events the loop to run on.
  HostListServer(Loop &Events)
      : Events(Events), Hosts(nlohmann::json::object()),
        Server(Events, static_cast<uint16_t>(FLAGS_port),
               {[this](const Exchange &Waiting) { this->list(Waiting); },
                [this](const HttpRequest &) { return this->Hosts; },
                [this](const nlohmann::json &Change) {
                  return this->change(Change);
                },
                nullptr}) {}

  /// Shows some hosts at once.
  /// @param Given an array of hosts.
  void show(const nlohmann::json &Given) {
    for (const nlohmann::json &Host : Given) {
      this->Hosts[textOf(Host, "host")] = Host;
    }
  }

private:
  /// Answers the list as one data centre sees it.
  /// @param Waiting the request.
  void list(const Exchange &Waiting) {
    const std::string Viewer = queryParameter(Waiting->request().Query, "from");
    nlohmann::json Visible = nlohmann::json::array();
    for (const auto &[Name, Host] : this->Hosts.items()) {
      nlohmann::json Seen = Host;
      Seen.erase("seen_from");
      if (Host.contains("seen_from") && Host["seen_from"].contains(Viewer)) {
        Seen.update(Host["seen_from"][Viewer]);
      }
      Visible.push_back(std::move(Seen));
    }
    answerJson(Waiting, 200,
               {{"generation", this->Generation}, {"hosts", Visible}});
  }

  /// Takes a change: it is seen after the lag.
  /// @param Change "host" and "state"; "gone" removes the host. Or "add" with
  ///        a whole host.
  /// @return whether it is understood.
  bool change(const nlohmann::json &Change) {
    const std::string Kind = textOf(Change, "kind");
    if (Kind != "state" && Kind != "add") {
      return false;
    }
    this->Events.callAfter(Millis{FLAGS_lag_ms}, [this, Change, Kind] {
      ++this->Generation;
      const std::string Name = textOf(Change, "host");
      if (Kind == "add") {
        this->show(nlohmann::json::array({Change["entry"]}));
      } else if (textOf(Change, "state") == "gone") {
        this->Hosts.erase(Name);
      } else if (this->Hosts.contains(Name)) {
        this->Hosts[Name]["state"] = textOf(Change, "state");
      }
    });
    return true;
  }

  /// The loop.
  Loop &Events;
  /// The visible hosts, by name.
  nlohmann::json Hosts;
  /// Grows with each visible change.
  int64_t Generation = 1;
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

/// @param ArgCount number of arguments.
/// @param Args the flags above.
/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  camphornotch::standin::HostListServer List(Loop);
  std::ifstream File(FLAGS_hosts);
  const std::string Text(std::istreambuf_iterator<char>(File), {});
  const nlohmann::json Given = camphornotch::standin::parseJson(Text);
  if (Given.is_array()) {
    List.show(Given);
  }
  Loop.run();
  return 0;
}
