/// @file
/// Parts of the settings as the tasks of packages/net take them.

#ifndef CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H
#define CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H

#include "base/settings_type.h"
#include "net/http_type.h"
#include "net/link_type.h"
#include "net/log_client_base.h"

namespace camphornotch {

/// @param Where an address of the settings.
/// @return the same for the tasks.
HttpTarget targetOf(const Address &Where);

/// @param Settings the common settings.
/// @return times and bounds of links.
LinkSettings linkSettingsOf(const CommonSettings &Settings);

/// @param Settings the common settings.
/// @return bounds of the appender.
LogAppenderSettings appenderSettingsOf(const CommonSettings &Settings);

/// @return a random number for a new boot; never 0 or negative.
BootId drawBoot();

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H
