/// @file
/// Runs a gateway or a loader from its settings to its end.

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "daemon/run_func.h"
#include "gateway/gateway_base.h"
#include "gateway/loader_base.h"
#include "net/listen_func.h"

#include <initializer_list>
#include <thread>

namespace camphornotch {

namespace {

/// Exit code of a process whose addresses are taken.
constexpr int PortTakenExitCode = 3;

constexpr Millis AddressCheckInterval{20};
constexpr Millis AddressLogInterval{1'000};

/// Waits until the addresses are free. A process that is being replaced keeps
/// its own until it has sent its last answers.
void waitForAddresses(std::initializer_list<Address> Addresses) {
  const Millis Begin = steadyNow();
  for (const Address &Each : Addresses) {
    Millis LoggedAt{0};
    while (isAddressTaken(HttpTarget{Each.Ip, Each.Port})) {
      const Millis Now = steadyNow();
      if (LoggedAt == Millis{0} || Now - LoggedAt >= AddressLogInterval) {
        LoggedAt = Now;
        logLine(LogLevel::Warn, "address taken; waiting until it is free",
                {{"address", concat(Each.Ip, ":", Each.Port)},
                 {"waited_ms", concat((Now - Begin).Count)}});
      }
      std::this_thread::sleep_for(
          std::chrono::milliseconds(AddressCheckInterval.Count));
    }
  }
}

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
  waitForAddresses({Settings.Common.ListenLinks, Settings.Common.ListenHttp,
                    Settings.ListenPeers, Settings.Front});
  Loop Events;
  Gateway Task(Events, Settings);
  return runUntilStopped(Events, Task);
}

int runLoader(const LoaderSettings &Settings) {
  waitForAddresses({Settings.Common.ListenLinks, Settings.Common.ListenHttp});
  Loop Events;
  Loader Task(Events, Settings);
  return runUntilStopped(Events, Task);
}

} // namespace camphornotch
