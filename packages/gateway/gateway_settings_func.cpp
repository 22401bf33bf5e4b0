/// @file
/// Parses gateway settings that are structured texts.

#include "gateway/gateway_settings_func.h"

#include "base/log_func.h"
#include "base/text_func.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <cassert>

namespace camphornotch {

namespace {

constexpr Millis DefaultUsageWindow{5'000};

} // namespace

std::map<std::string, std::string> parseRegions(std::string_view Text) {
  std::map<std::string, std::string> Regions;
  for (const absl::string_view Part : absl::StrSplit(toAbsl(Text), ',')) {
    const std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    const absl::string_view Name = absl::StripAsciiWhitespace(Pair.first);
    if (!Name.empty())
      Regions[std::string(Name)] =
          std::string(absl::StripAsciiWhitespace(Pair.second));
  }
  return Regions;
}

void logSettingsChanged(int Signal) {
  logLine(LogLevel::Info, "changed settings apply after the next start",
          {{"signal", concat(Signal)}});
}

Millis parseGracePeriod(std::string_view Seconds) {
  constexpr double MillisPerSecond = 1000.0;
  double Value = 0;
  const bool Parsed = absl::SimpleAtod(toAbsl(Seconds), &Value);
  assert(Parsed);
  (void)Parsed;
  return Millis{static_cast<int64_t>(Value * MillisPerSecond)};
}

Millis parseUsageWindow(std::string_view Seconds) {
  return Seconds.empty() ? DefaultUsageWindow : parseGracePeriod(Seconds);
}

} // namespace camphornotch
