/// @file
/// Runs an agent.

#include "base/log_func.h"
#include "daemon/run_func.h"

namespace camphornotch {

int runAgent(const AgentSettings & /*Settings*/) {
  logLine(LogLevel::Error, "the agent role is not built in yet");
  return 1;
}

} // namespace camphornotch
