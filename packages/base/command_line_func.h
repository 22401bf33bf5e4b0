/// @file
/// The command line of the daemon: flags, the settings file and overrides.

#ifndef CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H
#define CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H

#include "base/settings_type.h"

#include <variant>

namespace camphornotch {

/// Exit code for settings that cannot be used.
inline constexpr int BadSettingsExitCode = 2;

/// Tells main to exit now with this code; all output has been printed.
struct ExitNow {
  int Code = 0;
};

/// The settings to run with, or the exit code.
using CommandLineResult = std::variant<DaemonSettings, ExitNow>;

/// Parses --config, --set, --check_settings, --help_settings, --help and
/// --version; prints the requested output, or all errors of the settings.
CommandLineResult parseDaemonCommandLine(int Count, char **Arguments);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_COMMAND_LINE_FUNC_H
