/// @file
/// What the launcher calls in the daemon's library.

#ifndef CAMPHORNOTCH_DAEMON_DAEMON_MAIN_H
#define CAMPHORNOTCH_DAEMON_DAEMON_MAIN_H

/// Runs the role that the settings name, until it is told to stop.
/// @param Count how many arguments.
/// @param Arguments the command line.
/// @return the exit code.
extern "C" int camphornotchMain(int Count, char **Arguments);

#endif // CAMPHORNOTCH_DAEMON_DAEMON_MAIN_H
