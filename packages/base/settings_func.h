/// @file
/// Parsing and documentation of settings, driven by the table of settings.

#ifndef CAMPHORNOTCH_BASE_SETTINGS_FUNC_H
#define CAMPHORNOTCH_BASE_SETTINGS_FUNC_H

#include "base/settings_type.h"

#include <string_view>

namespace camphornotch {

/// @param FileName the name to show in errors.
/// @param Text the INI text of the file.
/// @param Overrides "section.name=value,..." from the command line.
/// @return settings with every member set, or all errors.
SettingsResult parseSettings(std::string_view FileName, std::string_view Text,
                             std::string_view Overrides);

/// @return the settings that all roles have.
const CommonSettings &commonSettings(const DaemonSettings &Settings);
CommonSettings &commonSettings(DaemonSettings &Settings);

/// @return the table of settings as a Markdown page (docs/settings.md).
std::string renderSettingsPage();

/// @return one line for each error, with its remedy.
std::string renderFaults(const std::vector<Error> &Faults);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_SETTINGS_FUNC_H
