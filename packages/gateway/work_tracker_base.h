/// @file
/// Learns the work of requests and says what to expect of new ones.

#ifndef CAMPHORNOTCH_GATEWAY_WORK_TRACKER_BASE_H
#define CAMPHORNOTCH_GATEWAY_WORK_TRACKER_BASE_H

#include "base/log_func.h"
#include "core/gateway/work_estimate_base.h"
#include "core/gateway/work_forecast_type.h"
#include "net/metrics_base.h"

#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The estimates of one kind of work, with their metrics and draws.
class WorkTracker {
public:
  /// @param Unit in what the work is counted.
  WorkTracker(Metrics &Counts, WorkUnit Unit);

  /// @return the work to expect of a request, with a new draw.
  ExpectedWork expect(const WorkTraits &Traits);

  /// Learns from a completed request.
  /// @param Total its work in all.
  /// @param Estimate the total expected when it started; 0: not estimated.
  void finished(std::string_view Route, int64_t LengthHint, double Total,
                double Estimate);

  /// Counts a run that moves to another engine.
  void countMove() { this->Moves.Increment(); }

  /// Counts a request that is refused because none could end it in time.
  void countLate() { this->LateRefusals.Increment(); }

private:
  WorkUnit Unit;
  WorkEstimator Estimator;
  /// Draws candidates and spreads retries.
  std::mt19937_64 Random;
  prometheus::Histogram &ErrorRatio;
  prometheus::Counter &Moves;
  prometheus::Counter &LateRefusals;
};

/// The estimate, the forecast and the age of the view, for a log line.
class ForecastFields {
public:
  ForecastFields(const ExpectedWork &Work, const WorkForecast &Forecast);

  /// Adds the fields, which are valid as long as this object.
  void addTo(std::vector<LogField> &Fields) const;

private:
  std::string Expected;
  std::string WaitMs;
  std::string EndMs;
  std::string ViewAgeMs;
  std::string_view PaceFrom;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_WORK_TRACKER_BASE_H
