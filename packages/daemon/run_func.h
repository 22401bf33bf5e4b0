/// @file
/// What the daemon runs in each role.

#ifndef CAMPHORNOTCH_DAEMON_RUN_FUNC_H
#define CAMPHORNOTCH_DAEMON_RUN_FUNC_H

#include "base/settings_type.h"

namespace camphornotch {

/// Runs an entry until it is told to stop.
/// @param Settings its settings.
/// @return the exit code.
int runEntry(const EntrySettings &Settings);

/// Runs an agent until it is told to stop.
/// @param Settings its settings.
/// @return the exit code.
int runAgent(const AgentSettings &Settings);

/// Runs a gateway until it is told to stop.
/// @param Settings its settings.
/// @return the exit code.
int runGateway(const GatewaySettings &Settings);

/// Runs a loader until it is told to stop.
/// @param Settings its settings.
/// @return the exit code.
int runLoader(const LoaderSettings &Settings);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_RUN_FUNC_H
