/// @file
/// Parses gateway settings that are structured texts.

#ifndef CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H
#define CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H

#include "base/millis_type.h"

#include <map>
#include <string>
#include <string_view>

namespace camphornotch {

/// @param Text pairs "data centre=region", separated by commas.
/// @return the regions, by data centre.
std::map<std::string, std::string> parseRegions(std::string_view Text);

/// Logs that changed settings apply after the next start.
/// @param Signal the signal that reported the change.
void logSettingsChanged(int Signal);

/// @param Seconds a number of seconds, already validated.
Millis parseGracePeriod(std::string_view Seconds);

/// @param Seconds a number of seconds, already validated; empty: the default.
Millis parseUsageWindow(std::string_view Seconds);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H
