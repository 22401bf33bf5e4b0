/// @file
/// The subcommands. Each prints its output and returns its exit code.

#ifndef CAMPHORNOTCH_CTL_COMMAND_FUNC_H
#define CAMPHORNOTCH_CTL_COMMAND_FUNC_H

#include "ctl/options_type.h"

namespace camphornotch {

/// `check FILE`: names every faulty line.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runCheck(const Options &Wanted);

/// `diff FILE [OTHER]`: compares with the accepted file, or another one.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runDiff(const Options &Wanted);

/// `show`: prints the accepted file, with its offset on the first line.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runShow(const Options &Wanted);

/// `explain`: which rule decides, and why.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runExplain(const Options &Wanted);

/// `publish FILE`: publishes and waits until it is in force.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runPublish(const Options &Wanted);

/// `log`: prints the records of the log.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runLog(const Options &Wanted);

/// `status`: what every host reports.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runStatus(const Options &Wanted);

/// `drain HOST`: orders a host to leave, or takes the order back.
/// @param Wanted the command line.
/// @return the exit code.
ExitCode runDrain(const Options &Wanted);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_COMMAND_FUNC_H
