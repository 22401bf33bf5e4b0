/// @file
/// Routes, orders and counts of the relay.

#ifndef CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H
#define CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// One port that is relayed.
struct Route {
  /// The port listened on.
  uint16_t Port = 0;
  /// The port connected to.
  uint16_t Target = 0;
  /// Microseconds that bytes take one way.
  int64_t DelayMicros = 0;
  /// The line that it belongs to, such as "dc1-dc2".
  std::string Group;
};

/// What happens to a line.
enum class LineFault : uint8_t {
  Drop,    ///< Its connections are reset; new ones work.
  Silence, ///< Its connections go silent for good; new ones work.
  Cut,     ///< Nothing passes for a time; then all goes on.
};

/// An order to inject a fault.
struct LineOrder {
  /// The fault.
  LineFault Fault = LineFault::Drop;
  /// The line; "*" for all.
  std::string Group;
  /// Milliseconds that a cut lasts.
  int64_t ForMs = 0;
};

/// What passed over a line.
struct LineCounts {
  /// Bytes, both ways.
  int64_t Bytes = 0;
  /// Connections made.
  int64_t Connections = 0;
};

/// Counts of all lines, by group.
using LineTable = std::map<std::string, LineCounts>;

/// @param Path a file with a route a line: port, target port, microseconds,
///        group, with blanks between.
/// @return the routes.
std::vector<Route> parseRoutes(const std::string &Path);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H
