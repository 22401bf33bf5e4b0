/// @file
/// Settings of a gateway that are texts with parts.

#ifndef CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H
#define CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H

#include "base/millis_type.h"

#include <map>
#include <string>
#include <string_view>

namespace camphornotch {

/// @param Text "data centre=region", separated by commas.
/// @return region by data centre.
std::map<std::string, std::string> parseRegions(std::string_view Text);

/// Says that changed settings hold from the next start.
/// @param Signal the signal that told of the change.
void logReload(int Signal);

/// @param Seconds a number of seconds, as the settings were checked for.
/// @return the span.
Millis parseGrace(std::string_view Seconds);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_GATEWAY_SETTINGS_FUNC_H
