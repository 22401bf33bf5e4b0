/// @file
/// Settings of an agent as its controller and its client take them.

#ifndef CAMPHORNOTCH_DAEMON_AGENT_SETTINGS_FUNC_H
#define CAMPHORNOTCH_DAEMON_AGENT_SETTINGS_FUNC_H

#include "base/settings_type.h"
#include "core/agent/agent_type.h"
#include "daemon/agent_endpoint_base.h"

namespace camphornotch {

/// @param Settings the settings.
/// @param Boot this run of the agent.
/// @return settings of the controller.
AgentControllerSettings controllerSettingsOf(const AgentSettings &Settings,
                                             BootId Boot);

/// @param Settings the settings.
/// @return where the endpoint is and how long it may take.
EndpointConfig endpointConfigOf(const AgentSettings &Settings);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_AGENT_SETTINGS_FUNC_H
