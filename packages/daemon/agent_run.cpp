/// @file
/// Runs an agent from its settings to its end.

#include "base/log_func.h"
#include "daemon/agent_task_base.h"
#include "daemon/run_func.h"
#include "net/link_settings_func.h"

namespace camphornotch {

namespace {

/// Exit code of an agent whose ports are taken, by another agent for example.
constexpr int PortTakenExitCode = 3;

} // namespace

int runAgent(const AgentSettings &Settings) {
  Loop Events;
  AgentTask Task(Events, Settings, randomBootId());
  const Result<void> Listening = Task.listen();
  if (!Listening.has_value()) {
    logLine(LogLevel::Error, Listening.error().Message,
            {{"remedy", Listening.error().Remedy}});
    return PortTakenExitCode;
  }
  Task.begin();
  Events.run();
  return 0;
}

} // namespace camphornotch
