/// @file
/// The daemon's command line: flags, the settings file and overrides.

#ifndef CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H
#define CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H

#include "base/settings_type.h"

#include <variant>

namespace camphornotch {

/// Exit code for settings that cannot be used.
inline constexpr int BadSettingsExitCode = 2;

/// The process is to end now, with this code; all output is printed.
struct ExitNow {
  /// The exit code.
  int Code = 0;
};

/// What the command line asks for.
using CommandLineResult = std::variant<DaemonSettings, ExitNow>;

/// Parses --config, --set, --check_settings, --help_settings, --help and
/// --version; prints what they ask for, or every fault of the settings.
/// @param Count argc of main.
/// @param Arguments argv of main.
/// @return the settings to run with, or the exit code.
CommandLineResult parseDaemonCommandLine(int Count, char **Arguments);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H
