/// @file
/// Checks a published configuration, and compares two versions of it.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_FUNC_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_FUNC_H

#include "core/config/config_check_type.h"

#include <span>
#include <string_view>

namespace camphornotch {

/// @return errors and warnings in the order of the document: version, entries
///   that were left out, routes, services, limits, accounts.
std::vector<ConfigFinding> checkConfig(const ConfigDocument &Document);

/// @param Before the version that is compared against.
/// @return what differs, and an error if the version is not higher.
std::vector<ConfigFinding> compareConfigs(const ConfigDocument &Before,
                                          const ConfigDocument &After);

/// @return "error", "warning" or "difference".
std::string_view levelName(FindingLevel Level);

/// @return one line for each finding.
std::string renderFindings(std::span<const ConfigFinding> Findings);

/// @return the exit code of a check: 0 without errors and warnings, 1 with
///   errors, 2 with warnings only.
int findingsExitCode(std::span<const ConfigFinding> Findings);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_FUNC_H
