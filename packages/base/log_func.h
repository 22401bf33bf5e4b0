/// @file
/// JSON log lines, through log4cxx.

#ifndef CAMPHORNOTCH_BASE_LOG_FUNC_H
#define CAMPHORNOTCH_BASE_LOG_FUNC_H

#include "base/settings_type.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace camphornotch {

/// How much a line matters.
enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

/// One named value of a line.
struct LogField {
  /// The name, for example "request_id".
  std::string_view Name;
  /// The value.
  std::string_view Value;
};

/// Directs log lines as the settings say: level, and file or standard output.
/// @param Settings the common settings; host and role are put on each line.
void setupLogging(const CommonSettings &Settings);

/// Writes one line; nothing below the level that was set up.
/// @param Level how much it matters.
/// @param Message what happened, without values that vary.
/// @param Fields the values, for example {"request_id", Id}.
void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields = {});

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_LOG_FUNC_H
