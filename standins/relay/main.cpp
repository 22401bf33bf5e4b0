/// @file
/// Stand-in of the lines between data centres: relays TCP with a delay.

#include "standins/common/json_func.h"
#include "standins/common/standin_server.h"
#include "standins/relay/relay_base.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7003, "port on the loopback address, for control");
DEFINE_string(routes, "", "file with the routes");

namespace camphornotch::standin {

namespace {

/// @param Kind a fault's name.
/// @return the fault.
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

/// @param Wires the relay.
/// @return what passed over each line, as JSON.
nlohmann::json countsJson(Relay &Wires) {
  nlohmann::json Lines = nlohmann::json::object();
  for (const auto &[Group, Counts] : Wires.counts()) {
    Lines[Group] = {{"bytes", Counts.Bytes},
                    {"connections", Counts.Connections}};
  }
  return Lines;
}

/// @param Wires the relay.
/// @param Fault a fault as asked for.
/// @return whether it is known.
bool injectFault(Relay &Wires, const nlohmann::json &Fault) {
  const auto Parsed = parseLineFault(textOf(Fault, "kind"));
  if (!Parsed) {
    return false;
  }
  Wires.order({*Parsed, textOf(Fault, "group", "*"), intOf(Fault, "for_ms")});
  return true;
}

} // namespace

} // namespace camphornotch::standin

/// @param ArgCount number of arguments.
/// @param Args the flags above.
/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  using namespace camphornotch::standin;
  camphornotch::Loop Loop;
  endOnSignal(Loop);
  Relay Wires(parseRoutes(FLAGS_routes));
  const StandinServer Server(
      Loop, static_cast<uint16_t>(FLAGS_port),
      {[](const Exchange &Waiting) {
         answerJson(Waiting, 404, {{"error", "unknown path"}});
       },
       [&Wires](const camphornotch::HttpRequest &) {
         return countsJson(Wires);
       },
       [&Wires](const nlohmann::json &Fault) {
         return injectFault(Wires, Fault);
       },
       nullptr});
  Loop.run();
  return 0;
}
