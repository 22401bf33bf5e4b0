/// @file
/// The expected work of a request, and when an endpoint would finish it.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_WORK_FORECAST_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_WORK_FORECAST_TYPE_H

#include "base/millis_type.h"

#include <cstdint>

namespace camphornotch {

/// In what work is counted.
enum class WorkUnit : uint8_t {
  Events, ///< Events of an item; an engine's pace is the time of one.
  Millis, ///< Time of a request at an endpoint of the service's median speed.
};

/// The work that a request causes, as far as it is known. RemainingWorkChoice
/// reads it; the other policies do not.
struct ExpectedWork {
  WorkUnit Unit = WorkUnit::Millis;
  /// Expected remaining work of the request; 0: not known.
  double Amount = 0;
  /// Work that nearly every such request has left; 0: not known.
  double Least = 0;
  /// Expected remaining work of a request that runs at an endpoint; 0: as
  /// Amount.
  double Typical = 0;
  /// Tokens that an engine reads before the first event.
  int64_t PromptTokens = 0;
  /// A random number of the caller, from which the candidates are drawn.
  uint64_t Draw = 0;
};

/// What the pace of a forecast is based on.
enum class PaceSource : uint8_t {
  Reported, ///< The loader's report.
  Measured, ///< This process's own requests.
  Median,   ///< The other endpoints of the service.
  Prior,    ///< Nothing is measured.
};

/// When an endpoint would finish a request.
struct WorkForecast {
  /// Time until the request starts to run.
  double WaitMs = 0;
  /// Time that it runs, with the way to the endpoint.
  double RunMs = 0;
  PaceSource Source = PaceSource::Prior;
  /// Age of the loader's report; Never: there is none.
  Millis ViewAge = Never;

  double endMs() const { return this->WaitMs + this->RunMs; }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_WORK_FORECAST_TYPE_H
