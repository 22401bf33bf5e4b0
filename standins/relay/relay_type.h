/// @file
/// Routes, faults and counters of the relay.

#ifndef CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H
#define CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// A relayed port.
struct Route {
  /// The listening port.
  uint16_t Port = 0;
  /// The port to connect to.
  uint16_t Target = 0;
  /// Delay in one direction, in microseconds.
  int64_t DelayMicros = 0;
  /// The line that it belongs to, such as "dc1-dc2".
  std::string Group;
};

/// A fault of a line between data centres.
enum class LineFault : uint8_t {
  Drop,    ///< Resets its connections; new ones work.
  Silence, ///< Its connections never pass bytes again; new ones work.
  Cut,     ///< Delays all bytes until the cut ends.
};

/// A fault to inject.
struct FaultRequest {
  LineFault Fault = LineFault::Drop;
  /// The line; "*" stands for all lines.
  std::string Group;
  /// Duration of a cut in milliseconds.
  int64_t DurationMs = 0;
};

/// Traffic over a line.
struct LineCounts {
  /// Bytes in both directions.
  int64_t Bytes = 0;
  /// Opened connections.
  int64_t Connections = 0;
};

/// Traffic of all lines, by group.
using LineTable = std::map<std::string, LineCounts>;

/// @param Path a file with one route per line: port, target port, delay in
///        microseconds and group, separated by blanks.
/// @return the routes; lines that do not parse are skipped.
std::vector<Route> parseRoutes(const std::string &Path);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_RELAY_RELAY_TYPE_H
