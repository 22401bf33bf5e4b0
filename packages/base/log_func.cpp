/// @file
/// Logging of JSON lines with log4cxx.

#include "base/log_func.h"

#include "base/clock_func.h"
#include "base/log_output_base.h"

#include <algorithm>
#include <array>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <unistd.h>
#include <utility>

namespace camphornotch {

namespace {

/// The names of the levels in the settings, in the order of LogLevel.
constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warn",
                                                     "error"};

/// The fields on each line of this process.
struct ProcessFields {
  std::string Host;
  std::string Role;
};

/// @return the single instance, filled by setupLogging.
ProcessFields &processFields() {
  static ProcessFields Fields;
  return Fields;
}

/// Maximum number of lines of each kind. It is far above what a gateway writes
/// on the busiest days of the sites, and so many lines are cheap to write.
constexpr int64_t MaxLinesPerSecond = 2'000;

/// Limits the rate of the lines of one kind.
struct LineBudget {
  /// The current second.
  int64_t Second = -1;
  /// Lines requested in the current second.
  int64_t Requested = 0;

  /// @param Now the current second.
  /// @return the number of lines dropped in the previous second that had lines,
  ///         if Now is a new second; otherwise 0.
  int64_t startSecond(int64_t Now) {
    if (Now == this->Second)
      return 0;
    this->Second = Now;
    const int64_t Dropped = std::max<int64_t>(
        std::exchange(this->Requested, 0) - MaxLinesPerSecond, 0);
    return Dropped;
  }

  /// Counts one requested line.
  /// @return whether the line may be written.
  bool allowLine() { return ++this->Requested <= MaxLinesPerSecond; }
};

/// @return the budget for lines of the level. Warnings and errors have one of
///         their own, so that other lines cannot use it up.
LineBudget &budgetOf(LogLevel Level) {
  static LineBudget Plain;
  static LineBudget Severe;
  return Level >= LogLevel::Warn ? Severe : Plain;
}

/// Limit on the bytes of log lines that wait for a reader of the output.
constexpr size_t MaxWaitingBytes = size_t{1} << 20;

/// @return the standard output, for log lines.
LogOutput &standardOutput() {
  static LogOutput Output(STDOUT_FILENO, MaxWaitingBytes);
  return Output;
}

/// Appends to standardOutput().
class OutputAppender : public log4cxx::AppenderSkeleton {
public:
  explicit OutputAppender(const log4cxx::LayoutPtr &Layout) {
    // The constructor that takes a layout leaves it unset in log4cxx 1.0.
    this->setLayout(Layout);
  }
  void close() override { standardOutput().flush(); }
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override {
    log4cxx::LogString Line;
    this->getLayout()->format(Line, Event, Pool);
    std::string Bytes;
    log4cxx::helpers::Transcoder::encodeUTF8(Line, Bytes);
    standardOutput().write(Bytes);
  }
};

log4cxx::LoggerPtr processLogger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("camphornotch");
  return Logger;
}

/// @return the level of log4cxx.
log4cxx::LevelPtr toLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    break;
  }
  return log4cxx::Level::getError();
}

/// @param Name the name of a level in the settings.
/// @return the level; Info for unknown names.
LogLevel levelByName(std::string_view Name) {
  for (size_t Index = 0; Index < LevelNames.size(); ++Index)
    if (LevelNames[Index] == Name)
      return static_cast<LogLevel>(Index);
  return LogLevel::Info;
}

/// @param File the path of the log file; empty: standard output.
log4cxx::AppenderPtr makeAppender(const std::string &File) {
  const auto Layout = std::make_shared<log4cxx::JSONLayout>();
  Layout->setLocationInfo(false);
  if (!File.empty())
    return std::make_shared<log4cxx::FileAppender>(Layout, File, true);
  return std::make_shared<OutputAppender>(Layout);
}

} // namespace

void setupLogging(const CommonSettings &Settings) {
  processFields() = ProcessFields{Settings.Host, Settings.Role};
  const log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(makeAppender(Settings.LogFile));
  Root->setLevel(toLevel(levelByName(Settings.LogLevel)));
}

void flushLog() { standardOutput().flush(); }

int64_t logLinesDropped() { return standardOutput().dropped(); }

void logLine(LogLevel Level, std::string_view Message,
             std::initializer_list<LogField> Fields) {
  logLine(Level, Message, std::span(Fields.begin(), Fields.size()));
}

void logLine(LogLevel Level, std::string_view Message,
             std::span<const LogField> Fields) {
  const log4cxx::LoggerPtr Logger = processLogger();
  const log4cxx::LevelPtr NativeLevel = toLevel(Level);
  if (!Logger->isEnabledFor(NativeLevel))
    return;
  constexpr int64_t MillisPerSecond = 1000;
  LineBudget &Budget = budgetOf(Level);
  const int64_t Dropped =
      Budget.startSecond(steadyNow().Count / MillisPerSecond);
  if (Dropped > 0)
    Logger->forcedLog(log4cxx::Level::getWarn(),
                      "log lines dropped: " + std::to_string(Dropped));
  if (!Budget.allowLine())
    return;
  log4cxx::MDC::put("host", processFields().Host);
  log4cxx::MDC::put("role", processFields().Role);
  for (const LogField &Field : Fields)
    log4cxx::MDC::put(std::string(Field.Name), std::string(Field.Value));
  Logger->forcedLog(NativeLevel, std::string(Message));
  log4cxx::MDC::clear();
}

} // namespace camphornotch
