/// @file
/// Runs a gateway or a loader from its settings to its end.

#include "base/log_func.h"
#include "daemon/run_func.h"
#include "gateway/gateway_base.h"
#include "gateway/loader_base.h"

namespace camphornotch {

namespace {

/// Exit code of a process whose addresses are taken.
constexpr int PortTakenExitCode = 3;

/// @tparam TaskT the process's one object.
/// @param Events its loop.
/// @param Task the object.
/// @return the exit code.
template <typename TaskT> int runUntilStopped(Loop &Events, TaskT &Task) {
  const Result<void> Begun = Task.begin();
  if (!Begun.has_value()) {
    logLine(LogLevel::Error, Begun.error().Message,
            {{"remedy", Begun.error().Remedy}});
    return PortTakenExitCode;
  }
  Events.run();
  return 0;
}

} // namespace

int runGateway(const GatewaySettings &Settings) {
  Loop Events;
  Gateway Task(Events, Settings);
  return runUntilStopped(Events, Task);
}

int runLoader(const LoaderSettings &Settings) {
  Loop Events;
  Loader Task(Events, Settings);
  return runUntilStopped(Events, Task);
}

} // namespace camphornotch
