/// @file
/// Conversion of the common settings to those of packages/net.

#ifndef CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H
#define CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H

#include "base/settings_type.h"
#include "net/http_type.h"
#include "net/link_type.h"
#include "net/log_client_base.h"

namespace camphornotch {

HttpTarget targetOf(const Address &Value);

LinkSettings linkSettingsOf(const CommonSettings &Settings);

LogAppenderSettings appenderSettingsOf(const CommonSettings &Settings);

/// @return a random id for this start of the process; always positive.
BootId randomBootId();

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LINK_SETTINGS_FUNC_H
