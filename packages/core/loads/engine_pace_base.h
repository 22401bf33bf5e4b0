/// @file
/// Measures an engine's pace from its reports.

#ifndef CAMPHORNOTCH_CORE_LOADS_ENGINE_PACE_BASE_H
#define CAMPHORNOTCH_CORE_LOADS_ENGINE_PACE_BASE_H

#include "base/millis_type.h"
#include "core/loads/load_type.h"

#include <map>
#include <span>
#include <string>

namespace camphornotch {

/// The time between two events of one run at the engine's present load, from
/// the runs that two consecutive reports have in common. Deterministic, without
/// I/O.
class EnginePace {
public:
  /// @param Runs the runs in the engine's report.
  /// @param Now when the report arrived.
  void reported(std::span<const EngineRun> Runs, Millis Now);

  /// Forgets all reports, because the engine was lost.
  void reset() { *this = EnginePace(); }

  /// @return the time between two events of one run, in milliseconds; 0: not
  ///   known, because no run was seen to make events lately.
  int64_t paceMs(Millis Now) const;

private:
  /// Events made by each run in the last report.
  std::map<std::string, int64_t> EventsMade;
  /// When the last report arrived.
  Millis ReportedAt{0};
  bool HasReport = false;
  /// Decayed sum of the times for which runs were observed, in milliseconds.
  double RunTimeMs = 0;
  /// Decayed sum of the events that they made in these times.
  double Events = 0;
  /// When a run was last observed.
  Millis MeasuredAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_ENGINE_PACE_BASE_H
