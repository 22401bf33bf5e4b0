/// @file
/// What the operator asked for, and the exit codes.

#ifndef CAMPHORNOTCH_CTL_OPTIONS_TYPE_H
#define CAMPHORNOTCH_CTL_OPTIONS_TYPE_H

#include "base/millis_type.h"
#include "net/http_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// The exit codes; docs/operators.md lists them.
enum class ExitCode : int {
  Ok = 0,          ///< Done.
  Usage = 1,       ///< The command line cannot be understood.
  BadRules = 2,    ///< The rule file has faults.
  Conflict = 3,    ///< Somebody else published first; nothing was changed.
  Unavailable = 4, ///< The log, the host list or an entry does not answer.
  Lagging = 5,     ///< Published, but some hosts have not reported it in time.
  NotFound = 6,    ///< The thing asked for does not exist.
};

/// The command line, parsed.
struct Options {
  /// The subcommand.
  std::string Command;
  /// What follows it.
  std::vector<std::string> Arguments;
  /// The log service.
  HttpTarget Log;
  /// The host list.
  HttpTarget HostList;
  /// Print JSON for programs.
  bool Json = false;
  /// Who publishes.
  std::string Author;
  /// The offset that the file is based on; -2: as its "; base N" line says,
  /// else the accepted one.
  int64_t Base = -2;
  /// The longest that a command waits.
  Millis Timeout;
  /// The first offset that `log` shows; 0: the oldest kept.
  int64_t From = 0;
  /// `drain` takes the order back.
  bool Cancel = false;
  /// @name What `explain` asks about
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
