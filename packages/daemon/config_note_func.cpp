/// @file
/// Notes in the log lines when a configuration is in force.

#include "daemon/config_note_func.h"

#include "base/clock_func.h"
#include "base/log_func.h"

#include <string>

namespace camphornotch {

void noteConfigInForce(LogOffset Offset) {
  logLine(LogLevel::Info, "configuration in force",
          {{"offset", std::to_string(Offset.Value)},
           {"wall_ms", std::to_string(wallNow().Count)}});
}

} // namespace camphornotch
