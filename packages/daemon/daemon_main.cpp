/// @file
/// The daemon itself; main.cpp loads it.

#include "daemon/daemon_main.h"
#include "base/command_line_func.h"
#include "base/descriptor_limit_func.h"
#include "base/log_func.h"
#include "base/settings_func.h"
#include "base/text_func.h"
#include "daemon/run_func.h"

#include <absl/strings/str_join.h>
#include <variant>

namespace {

using namespace camphornotch;

/// Runs the role that the settings name.
struct RoleRunner {
  /// @param Settings an entry's settings.
  /// @return the exit code.
  int operator()(const EntrySettings &Settings) const {
    return runEntry(Settings);
  }
  /// @param Settings an agent's settings.
  /// @return the exit code.
  int operator()(const AgentSettings &Settings) const {
    return runAgent(Settings);
  }
  /// @param Settings a gateway's settings.
  /// @return the exit code.
  int operator()(const GatewaySettings &Settings) const {
    return runGateway(Settings);
  }
  /// @param Settings a loader's settings.
  /// @return the exit code.
  int operator()(const LoaderSettings &Settings) const {
    return runLoader(Settings);
  }
};

} // namespace

int camphornotchMain(int Count, char **Arguments) {
  CommandLineResult Parsed = parseDaemonCommandLine(Count, Arguments);
  if (const auto *Exit = std::get_if<ExitNow>(&Parsed))
    return Exit->Code;
  auto &Settings = std::get<DaemonSettings>(Parsed);
  CommonSettings &Common = commonSettings(Settings);
  setupLogging(Common);
  if (!Common.Replaced.empty())
    logLine(LogLevel::Warn, "unusable settings replaced",
            {{"settings", absl::StrJoin(Common.Replaced, "; ")}});
  const int64_t Wanted = Common.FileDescriptors;
  Common.FileDescriptors = raiseDescriptorLimit(Wanted);
  if (Common.FileDescriptors < Wanted)
    logLine(LogLevel::Warn, "the host allows fewer descriptors than [limits]",
            {{"file_descriptors", concat(Wanted)},
             {"allowed", concat(Common.FileDescriptors)}});
  return std::visit(RoleRunner{}, Settings);
}
