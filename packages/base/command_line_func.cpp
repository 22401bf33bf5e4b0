/// @file
/// The command line of the daemon, parsed with gflags.

#include "base/command_line_func.h"

#include "base/settings_func.h"
#include "base/text_func.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

DEFINE_string(config, "",
              "settings file (INI); default: the one that the environment "
              "variable CAMPHORNOTCH_CONFIG names");
DEFINE_string(set, "",
              "overrides of settings: section.name=value, comma-separated");
DEFINE_bool(check_settings, false,
            "check the settings, print every fault, and end");
DEFINE_bool(help_settings, false, "print the page of all settings, and end");

namespace camphornotch {

namespace {

/// The version that --version prints.
constexpr const char *VersionText = "0.1.0";

/// The flags of this program, in the order of --help.
constexpr const char *FlagNames[] = {"config", "set", "check_settings",
                                     "help_settings"};

/// @return the content of the file; nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return {};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return std::move(Text).str();
}

void printHelp() {
  std::cout << "camphornotchd [--config FILE] [--set section.name=value,...]\n"
               "Runs an entry or an agent, as [process] role says.\n\n";
  for (const char *Name : FlagNames)
    std::cout << gflags::DescribeOneFlag(
        gflags::GetCommandLineFlagInfoOrDie(Name));
  std::cout << "    --version (print the version, and end)\n"
               "Exit codes: 0 stopped as asked, 1 bad flag or failure, "
               "2 bad settings.\n";
}

/// @param Name a boolean flag that gflags itself defines.
/// @return whether the flag was given.
bool flagGiven(const char *Name) {
  return gflags::GetCommandLineFlagInfoOrDie(Name).current_value == "true";
}

/// Prints an error of the command line.
/// @return the exit code for it.
ExitNow usageError(std::string_view Message, std::string_view Remedy) {
  std::cerr << Message << "; " << Remedy << "\n";
  return ExitNow{BadSettingsExitCode};
}

/// One read of the settings file.
struct SettingsRead {
  /// Absent if the file cannot be read.
  std::optional<std::string> Text;
  SettingsResult Parsed;
};

/// Reads the settings from the file and the overrides that the flags give.
SettingsRead readSettings() {
  std::optional<std::string> Text = readFile(FLAGS_config);
  if (!Text.has_value())
    return SettingsRead{
        std::nullopt,
        std::vector<Error>{Error{ErrorKind::BadSetting,
                                 concat(FLAGS_config, ": cannot be read"),
                                 "give a readable file to --config"}}};
  SettingsResult Parsed = parseSettings(FLAGS_config, *Text, FLAGS_set);
  return SettingsRead{std::move(Text), std::move(Parsed)};
}

/// @param Before the read before.
/// @return whether the file may be one that the platform is still writing.
bool mayBeUnfinished(const SettingsRead &Read, const SettingsRead &Before) {
  if (!Read.Parsed.has_value())
    return true;
  const bool EndsWithinLine = !Read.Text->ends_with('\n');
  const bool HasReplaced =
      !commonSettings(Read.Parsed.value()).Replaced.empty();
  return (EndsWithinLine || HasReplaced) && Before.Text != Read.Text;
}

/// Reads the settings, for a while again as long as they may be unfinished.
SettingsResult awaitSettings() {
  constexpr std::chrono::milliseconds Pause{50};
  constexpr int MaxReads = 40;
  SettingsRead Before{std::nullopt, std::vector<Error>{}};
  SettingsRead Read = readSettings();
  for (int Reads = 1; mayBeUnfinished(Read, Before) && Reads < MaxReads;
       ++Reads) {
    std::this_thread::sleep_for(Pause);
    Before = std::exchange(Read, readSettings());
  }
  return Read.Parsed;
}

/// Reads and checks the settings.
CommandLineResult loadSettings() {
  if (const char *Path = std::getenv("CAMPHORNOTCH_CONFIG");
      FLAGS_config.empty() && Path != nullptr)
    FLAGS_config = Path;
  if (FLAGS_config.empty())
    return usageError("no settings file given", "add --config FILE");
  const SettingsResult Parsed =
      FLAGS_check_settings ? readSettings().Parsed : awaitSettings();
  if (!Parsed.has_value()) {
    std::cerr << renderFaults(Parsed.error());
    return ExitNow{BadSettingsExitCode};
  }
  if (!FLAGS_check_settings)
    return Parsed.value();
  for (const std::string &Each : commonSettings(Parsed.value()).Replaced)
    std::cout << FLAGS_config << ": replaced: " << Each << "\n";
  std::cout << FLAGS_config << ": ok\n";
  return ExitNow{0};
}

} // namespace

CommandLineResult parseDaemonCommandLine(int Count, char **Arguments) {
  gflags::SetVersionString(VersionText);
  gflags::ParseCommandLineNonHelpFlags(&Count, &Arguments, true);
  if (flagGiven("help")) {
    printHelp();
    return ExitNow{0};
  }
  if (flagGiven("version")) {
    std::cout << "camphornotchd " << VersionText << "\n";
    return ExitNow{0};
  }
  if (FLAGS_help_settings) {
    std::cout << renderSettingsPage();
    return ExitNow{0};
  }
  if (Count > 1)
    return usageError(concat("unknown argument \"", Arguments[1], "\""),
                      "see --help");
  return loadSettings();
}

} // namespace camphornotch
