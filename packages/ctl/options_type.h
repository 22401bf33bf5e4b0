/// @file
/// The parsed command line and the exit codes.

#ifndef CAMPHORNOTCH_CTL_OPTIONS_TYPE_H
#define CAMPHORNOTCH_CTL_OPTIONS_TYPE_H

#include "base/millis_type.h"
#include "net/http_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// The exit codes of the process, documented in docs/operators.md.
enum class ExitCode : int {
  Ok = 0,          ///< Success.
  Usage = 1,       ///< The command line is invalid.
  BadRules = 2,    ///< The rule file is invalid.
  Conflict = 3,    ///< Another publication came first; nothing changed.
  Unavailable = 4, ///< The log, the host list or an entry does not answer.
  Lagging = 5,     ///< Published, but some hosts have not reported it in time.
  NotFound = 6,    ///< The requested file or host does not exist.
};

/// The parsed command line.
struct Options {
  std::string Command;
  /// The positional arguments after the subcommand.
  std::vector<std::string> Arguments;
  /// Address of the log service.
  HttpTarget Log;
  /// Address of the host list.
  HttpTarget HostList;
  /// Whether to print JSON instead of text.
  bool Json = false;
  /// Who publishes or drains; recorded in the log.
  std::string Author;
  /// Log offset of the configuration that the file is based on. -2: taken
  /// from the file's "; base N" line, or else the accepted configuration.
  int64_t Base = -2;
  /// Limit on the time that a command waits for the log and the hosts.
  Millis Timeout;
  /// The first offset that `log` prints; 0: the oldest that the log keeps.
  int64_t FirstOffset = 0;
  /// File that `check-config` compares with; empty: none.
  std::string Against;
  /// Whether `drain` cancels the order to leave.
  bool Cancel = false;
  /// @name The request or host that `explain` evaluates the rules for
  /// @{
  std::string Caller;
  std::string Serves;
  std::string Method;
  std::string Path;
  std::string Endpoint;
  std::string Host;
  /// @}
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CTL_OPTIONS_TYPE_H
