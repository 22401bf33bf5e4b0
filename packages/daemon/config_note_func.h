/// @file
/// Notes in the log lines when a configuration is in force.

#ifndef CAMPHORNOTCH_DAEMON_CONFIG_NOTE_FUNC_H
#define CAMPHORNOTCH_DAEMON_CONFIG_NOTE_FUNC_H

#include "base/id_type.h"

namespace camphornotch {

/// Writes a line with the offset and the wall clock in milliseconds.
/// @param Offset the offset of the configuration.
void noteConfigInForce(LogOffset Offset);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_CONFIG_NOTE_FUNC_H
