/// @file
/// Tests of the rate limit of log lines.

#include "base/clock_func.h"
#include "base/log_func.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <string>

using namespace camphornotch;

namespace {

/// A log in a file of its own.
struct LogFixture {
  LogFixture() {
    cr_assert(mkstemp(this->Name) >= 0);
    CommonSettings Settings;
    Settings.LogFile = this->Name;
    Settings.LogLevel = "info";
    setupLogging(Settings);
  }
  ~LogFixture() { std::remove(this->Name); }
  LogFixture(const LogFixture &) = delete;
  LogFixture &operator=(const LogFixture &) = delete;

  char Name[32] = "/tmp/camphornotch-log-XXXXXX";
};

} // namespace

Test(logLine, manyLinesInASecond_areBoundedAndCounted) {
  const LogFixture Log;
  constexpr int Requested = 20'000;
  const Millis Begin = steadyNow();
  for (int Index = 0; Index < Requested; ++Index)
    logLine(LogLevel::Info, "filler");
  const int64_t Seconds = (steadyNow() - Begin).Count / 1000 + 2;
  logLine(LogLevel::Error, "still written");
  std::ifstream File(Log.Name);
  int64_t Fillers = 0;
  bool Severe = false;
  for (std::string Line; std::getline(File, Line);) {
    Fillers += Line.find("filler") != std::string::npos ? 1 : 0;
    Severe = Severe || Line.find("still written") != std::string::npos;
  }
  cr_assert(Fillers <= 2'000 * Seconds);
  cr_assert(Fillers < Requested);
  cr_assert(Severe);
}

// Guards against a process that ends at a name of another writer.
Test(logLine, bytesThatAreNoText_areWrittenAsALine) {
  const LogFixture Log;
  logLine(LogLevel::Warn, "odd",
          {{"name", std::string_view("\xff\r\n\0\x7f\xed\xa0\x80", 8)}});
  logLine(LogLevel::Warn, "after");
  std::ifstream File(Log.Name);
  int Lines = 0;
  for (std::string Line; std::getline(File, Line);)
    ++Lines;
  cr_assert_eq(Lines, 2);
}
