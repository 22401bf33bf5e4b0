/// @file
/// Reading and description of settings, from the table of settings.

#ifndef CAMPHORNOTCH_BASE_SETTINGS_FUNC_H
#define CAMPHORNOTCH_BASE_SETTINGS_FUNC_H

#include "base/settings_type.h"

#include <string_view>

namespace camphornotch {

/// @param FileName the name to put into errors.
/// @param Text the INI text of the file.
/// @param Overrides "section.name=value,..." from the command line.
/// @return settings whose every member is set, or every fault.
SettingsResult parseSettings(std::string_view FileName, std::string_view Text,
                             std::string_view Overrides);

/// @param Settings the settings of either role.
/// @return their common part.
const CommonSettings &commonSettings(const DaemonSettings &Settings);

/// @return the table of settings as a Markdown page (docs/settings.md).
std::string renderSettingsPage();

/// @param Faults what is wrong.
/// @return one line a fault, with its remedy.
std::string renderFaults(const std::vector<Error> &Faults);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_SETTINGS_FUNC_H
