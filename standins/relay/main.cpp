/// @file
/// Stand-in for the lines between data centres: relays TCP with a delay.

#include "standins/common/json_func.h"
#include "standins/common/standin_server.h"
#include "standins/relay/relay_base.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7003, "port on the loopback address, for control");
DEFINE_string(routes, "", "file with the routes");

namespace camphornotch::standin {

namespace {

/// @return the fault of this name, or nothing if it is unknown.
std::optional<LineFault> parseLineFault(std::string_view Kind) {
  if (Kind == "drop") {
    return LineFault::Drop;
  }
  if (Kind == "silence") {
    return LineFault::Silence;
  }
  if (Kind == "cut") {
    return LineFault::Cut;
  }
  return std::nullopt;
}

/// @return the traffic of each line as JSON.
nlohmann::json countsJson(Relay &TcpRelay) {
  nlohmann::json Lines = nlohmann::json::object();
  for (const auto &[Group, Counts] : TcpRelay.counts()) {
    Lines[Group] = {{"bytes", Counts.Bytes},
                    {"connections", Counts.Connections}};
  }
  return Lines;
}

/// @param Fault the body of a fault request.
/// @return whether the kind of fault is known.
bool injectFault(Relay &TcpRelay, const nlohmann::json &Fault) {
  const auto Parsed = parseLineFault(textOf(Fault, "kind"));
  if (!Parsed) {
    return false;
  }
  TcpRelay.inject(
      {*Parsed, textOf(Fault, "group", "*"), intOf(Fault, "for_ms")});
  return true;
}

} // namespace

} // namespace camphornotch::standin

/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  using namespace camphornotch::standin;
  camphornotch::Loop Loop;
  endOnSignal(Loop);
  Relay TcpRelay(parseRoutes(FLAGS_routes));
  const StandinServer Server(
      Loop, static_cast<uint16_t>(FLAGS_port),
      {[](const Exchange &Waiting) {
         answerJson(Waiting, 404, {{"error", "unknown path"}});
       },
       [&TcpRelay](const camphornotch::HttpRequest &) {
         return countsJson(TcpRelay);
       },
       [&TcpRelay](const nlohmann::json &Fault) {
         return injectFault(TcpRelay, Fault);
       },
       nullptr});
  Loop.run();
  return 0;
}
