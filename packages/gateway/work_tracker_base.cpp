/// @file
/// Learns the work of requests and says what to expect of new ones.

#include "gateway/work_tracker_base.h"

#include "base/text_func.h"

#include <cmath>

namespace camphornotch {

namespace {

/// Mean events of an item and milliseconds of a request by the sites' sheets.
constexpr double PriorMeanEvents = 14;
constexpr double PriorMeanMs = 35;

/// Upper bounds of the buckets of estimate over actual work.
const prometheus::Histogram::BucketBoundaries ErrorBounds{0.2, 0.35, 0.5, 0.7,
                                                          1.4, 2,    3,   5};

std::string_view nameOf(PaceSource Source) {
  switch (Source) {
  case PaceSource::Reported:
    return "report";
  case PaceSource::Measured:
    return "own";
  case PaceSource::Median:
    return "median";
  case PaceSource::Prior:
    return "prior";
  }
  return "";
}

} // namespace

WorkTracker::WorkTracker(Metrics &Counts, WorkUnit Unit)
    : Unit(Unit),
      Estimator(Unit == WorkUnit::Events ? PriorMeanEvents : PriorMeanMs),
      Random(std::random_device{}()),
      ErrorRatio(Counts.histogram(
          Unit == WorkUnit::Events ? "item_estimate_ratio"
                                   : "request_estimate_ratio",
          "Expected work of completed work over its actual work.",
          ErrorBounds)),
      Moves(Counts.counter("item_moves_total",
                           "Runs that moved to a faster engine.")),
      LateRefusals(Counts.counter(
          "forecast_refusals_total",
          "Requests refused because no endpoint could end them in time.")) {}

ExpectedWork WorkTracker::expect(const WorkTraits &Traits) {
  return ExpectedWork{this->Unit,
                      this->Estimator.remaining(Traits),
                      this->Estimator.leastRemaining(Traits),
                      this->Estimator.typicalRemaining(Traits.Route),
                      0,
                      this->Random()};
}

void WorkTracker::finished(std::string_view Route, int64_t LengthHint,
                           double Total, double Estimate) {
  if (Estimate > 0 && Total > 0)
    this->ErrorRatio.Observe(Estimate / Total);
  this->Estimator.learn(Route, LengthHint, Total);
}

ForecastFields::ForecastFields(const ExpectedWork &Work,
                               const WorkForecast &Forecast)
    : Expected(concat(std::lround(Work.Amount))),
      WaitMs(concat(std::lround(Forecast.WaitMs))),
      EndMs(concat(std::lround(Forecast.endMs()))),
      ViewAgeMs(Forecast.ViewAge == Never ? std::string()
                                          : concat(Forecast.ViewAge.Count)),
      PaceFrom(nameOf(Forecast.Source)) {}

void ForecastFields::addTo(std::vector<LogField> &Fields) const {
  Fields.push_back({"expected_work", this->Expected});
  Fields.push_back({"forecast_wait_ms", this->WaitMs});
  Fields.push_back({"forecast_ms", this->EndMs});
  Fields.push_back({"view_age_ms", this->ViewAgeMs});
  Fields.push_back({"pace_from", this->PaceFrom});
}

} // namespace camphornotch
