/// @file
/// Stand-in of the platform's append-only log.

#include "standins/log/log_server.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7000, "port on the loopback address");
DEFINE_int32(appends_per_second, 400, "appends taken a second");
DEFINE_int32(burst, 100, "appends taken at once after a rest");
DEFINE_int32(retention_ms, 86400000, "how long a record is kept");

/// @return 0 after SIGTERM.
int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  camphornotch::standin::LogSettings Settings;
  Settings.AppendsPerSecond = FLAGS_appends_per_second;
  Settings.Burst = FLAGS_burst;
  Settings.Retention = camphornotch::Millis{FLAGS_retention_ms};
  camphornotch::Loop Loop;
  camphornotch::standin::endOnSignal(Loop);
  const camphornotch::standin::LogServer Server(
      Loop, static_cast<uint16_t>(FLAGS_port), Settings);
  Loop.run();
  return 0;
}
