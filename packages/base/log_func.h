/// @file
/// Logging of JSON lines with log4cxx.

#ifndef CAMPHORNOTCH_BASE_LOG_FUNC_H
#define CAMPHORNOTCH_BASE_LOG_FUNC_H

#include "base/settings_type.h"

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>

namespace camphornotch {

/// The severity of a log line.
enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

/// One named value of a log line.
struct LogField {
  /// The name, for example "request_id".
  std::string_view Name;
  std::string_view Value;
};

/// Sets the log level and the destination (a file or standard output) from the
/// settings. Each line has the host and role of the settings.
void setupLogging(const CommonSettings &Settings);

/// Writes lines that a slow reader of the standard output left waiting, as far
/// as that takes no wait.
void flushLog();

/// @return the number of lines dropped so far since nobody read the standard
///   output.
int64_t logLinesDropped();

/// Writes one line, as the overload below does.
/// @param Fields the values; some of them may depend on the line.
void logLine(LogLevel Level, std::string_view Message,
             std::span<const LogField> Fields);

/// Writes one line, unless its level is below that of the settings or too many
/// lines were written in this second.
/// @param Message what happened, without values that vary.
/// @param Fields the values, for example {"request_id", Id}.
void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields = {});

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_LOG_FUNC_H
