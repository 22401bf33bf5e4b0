/// @file
/// Measures an engine's pace from its reports.

#include "core/loads/engine_pace_base.h"

#include <algorithm>
#include <cmath>

namespace camphornotch {

namespace {

/// Weight that earlier observations keep at each report. Engines become slow
/// within one report interval, so two reports have to show it.
constexpr double KeptWeight = 0.4;
/// Reports further apart say little about the present: engines are slow for
/// seconds at a time.
constexpr Millis MaxReportGap{2'000};
/// Age of the last observation from which the pace is not known.
constexpr Millis MaxAge{1'500};
/// Observed events below which there is no pace yet.
constexpr double MinEvents = 0.2;
/// Upper bound of a pace; runs without an event for longer are moved.
constexpr double MaxPaceMs = 10'000;

} // namespace

void EnginePace::reported(std::span<const EngineRun> Runs, Millis Now) {
  const Millis Gap = Now - this->ReportedAt;
  const bool Usable = this->HasReport && Gap > Millis{0} && Gap <= MaxReportGap;
  std::map<std::string, int64_t> Made;
  int64_t Observed = 0;
  int64_t NewEvents = 0;
  for (const EngineRun &Run : Runs) {
    if (!Made.emplace(Run.Id, Run.Events).second)
      continue;
    const auto Before = this->EventsMade.find(Run.Id);
    // A run without an event may wait or read its prompt. One with fewer events
    // than before is another run with the same id.
    if (!Usable || Before == this->EventsMade.end() || Before->second <= 0 ||
        Run.Events < Before->second)
      continue;
    ++Observed;
    NewEvents += Run.Events - Before->second;
  }
  this->EventsMade = std::move(Made);
  this->ReportedAt = Now;
  this->HasReport = true;
  if (Observed == 0)
    return;
  if (Now - this->MeasuredAt > MaxAge) {
    this->RunTimeMs = 0;
    this->Events = 0;
  }
  this->RunTimeMs =
      this->RunTimeMs * KeptWeight + static_cast<double>(Observed * Gap.Count);
  this->Events = this->Events * KeptWeight + static_cast<double>(NewEvents);
  this->MeasuredAt = Now;
}

int64_t EnginePace::paceMs(Millis Now) const {
  if (this->RunTimeMs <= 0 || Now - this->MeasuredAt > MaxAge)
    return 0;
  // Without any event, the pace is at least the time observed.
  const double Pace = this->RunTimeMs / std::max(this->Events, MinEvents);
  return std::llround(std::clamp(Pace, 1.0, MaxPaceMs));
}

} // namespace camphornotch
