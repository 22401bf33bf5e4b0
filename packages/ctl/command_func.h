/// @file
/// The subcommands of camphornotch. Each prints its output and returns the
/// exit code of the process.

#ifndef CAMPHORNOTCH_CTL_COMMAND_FUNC_H
#define CAMPHORNOTCH_CTL_COMMAND_FUNC_H

#include "ctl/options_type.h"

namespace camphornotch {

/// `check FILE`: reports every faulty line of a rule file.
ExitCode runCheck(const Options &Wanted);

/// `check-config FILE`: checks a file of the platform's configuration, with
/// exit codes of its own (docs/operators.md).
ExitCode runCheckConfig(const Options &Wanted);

/// `diff FILE [OLD]`: compares a rule file with the accepted one or with OLD.
ExitCode runDiff(const Options &Wanted);

/// `show`: prints the accepted rule file, with its offset on the first line.
ExitCode runShow(const Options &Wanted);

/// `explain [FILE]`: prints which rules apply to a request, and why.
ExitCode runExplain(const Options &Wanted);

/// `publish FILE`: publishes a rule file and waits until all live hosts have
/// applied it.
ExitCode runPublish(const Options &Wanted);

/// `log`: prints the records of the log.
ExitCode runLog(const Options &Wanted);

/// `status`: prints what every host reports.
ExitCode runStatus(const Options &Wanted);

/// `drain HOST`: orders a host to leave, or cancels that order.
ExitCode runDrain(const Options &Wanted);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_COMMAND_FUNC_H
