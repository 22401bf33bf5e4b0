/// @file
/// Tracks the endpoints of all services and chooses among them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H

#include "core/gateway/endpoint_choice_type.h"
#include "core/gateway/endpoint_index_base.h"
#include "core/gateway/endpoint_pool_type.h"
#include "core/gateway/work_forecast_type.h"

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The local data centre and the region of each data centre.
struct Geography {
  std::string LocalDataCentre;
  std::map<std::string, std::string> RegionByDataCentre;
};

/// The requirements on an endpoint.
struct EndpointQuery {
  std::string_view Service;
  /// The model; empty: any.
  std::string_view Model;
  /// The oldest acceptable version of the model.
  int64_t MinVersion = 0;
  std::set<EndpointId> ExcludedEndpoints;
  /// Slots that must be free; 0: the endpoint may be full.
  int64_t MinFreeSlots = 0;
  /// The work of the request, for RemainingWorkChoice.
  ExpectedWork Work{};
  /// The version of the endpoint's software; absent: any.
  std::optional<std::string> Software{};
};

/// State of the endpoints and choice among them; deterministic, without I/O.
class EndpointPool {
public:
  /// @param Choice the policy for choosing among eligible endpoints.
  explicit EndpointPool(Geography Locations,
                        EndpointChoice Choice = ExpectedTimeChoice{});

  EndpointPool(const EndpointPool &) = delete;
  EndpointPool &operator=(const EndpointPool &) = delete;
  ~EndpointPool() = default;

  /// Adds or updates a registered endpoint.
  /// @return whether the endpoint is new, or its service, versions or draining
  ///         state changed.
  bool put(EndpointRecord Record);

  /// Notes when an endpoint's registration changed, for the log.
  void noteChange(const EndpointId &Id, Millis Now);

  void remove(const EndpointId &Id);

  /// Notes that an endpoint said in an answer that it leaves. Its lifetime is
  /// not chosen any more, whatever the directory says of it, also if its entry
  /// goes and comes back. A new lifetime under the same id is chosen again.
  /// @return whether this was not known.
  bool leavingSeen(const EndpointLifetime &Lifetime, Millis Now);

  /// Stores a loader's report on the engine at an address.
  void loadReported(const Address &ListenAddress, const EngineLoad &Load,
                    Millis Now);

  /// @return the number of lifetimes known to leave.
  size_t leavingMarks() const { return this->LeavingMarks.size(); }

  /// Chooses an eligible endpoint. ExpectedTimeChoice takes the shortest
  /// smoothed time, scaled by the work at the endpoint, so that short requests
  /// avoid slow endpoints and items spread over the engines.
  /// RemainingWorkChoice draws a few candidates of each distance by
  /// ExpectedWork::Draw and takes the one that is expected to end first.
  /// @return the endpoint, or null if none is eligible.
  const EndpointState *choose(const EndpointQuery &Query, Millis Now) const;

  /// Notes that work was sent to an endpoint.
  void workStarted(const EndpointId &Id);

  /// Notes that work at an endpoint ended.
  /// @param Elapsed the time to the first byte; 0: not measured.
  void workEnded(const EndpointId &Id, WorkOutcome Outcome, Millis Elapsed,
                 Millis Now);

  /// Adds the time between two events of a stream to the smoothed time.
  void paceMeasured(const EndpointId &Id, Millis Gap, Millis Now);

  /// Finds an endpoint that is fast enough for a stream to move there from the
  /// given one. Long items move this way when other load slows their engine for
  /// seconds.
  /// @return the endpoint, or null if none with a free slot is at least
  ///         MinSpeedup times as fast.
  const EndpointState *findFaster(const EndpointId &Id, EndpointQuery Query,
                                  Millis Now) const;

  /// @return the newest version of the model at any engine of the service;
  ///         0: none.
  int64_t newestVersion(std::string_view Service, const std::string &Model,
                        Millis Now) const;

  /// Stores the version of a model that an engine's answer named.
  void versionSeen(const EndpointId &Id, const std::string &Model,
                   int64_t Version);

  /// @return whether choices follow the expected work of requests
  ///   (RemainingWorkChoice).
  bool usesForecasts() const;

  /// @return whether an endpoint that takes work serves the query, whatever its
  ///   load.
  bool serves(const EndpointQuery &Query, Millis Now) const;

  /// @return when an endpoint would finish a request that is sent now.
  WorkForecast forecast(const EndpointState &State, const ExpectedWork &Work,
                        Millis Now) const;

  /// @return false if each eligible endpoint has a queue and a fresh report or
  ///   measurement, and none of them could end the least work of the request in
  ///   time. Its
  ///   time grows with the endpoints of the service only if most are too late.
  bool canEndBy(const EndpointQuery &Query, Millis Deadline, Millis Now) const;

  const EndpointState *find(const EndpointId &Id) const;

  /// @param Id an endpoint that work was sent to.
  /// @param Software the version of its software then.
  /// @return false if it has registered with another one since, so that either
  ///   may have done the work.
  bool keepsSoftware(const EndpointId &Id, std::string_view Software) const;

  const std::map<EndpointId, EndpointState> &all() const {
    return this->Endpoints;
  }

private:
  /// The time of an event or request at an endpoint without other work.
  struct Pace {
    double Ms = 0;
    PaceSource Source = PaceSource::Prior;
  };

  /// @return the endpoint's pace, if it was reported or measured lately.
  std::optional<Pace> ownPace(const EndpointState &State, Millis Now) const;
  /// Updates the service's median time if it is due.
  void updateMedian(std::string_view ServiceName, Millis Now);
  WorkForecast forecastAt(const EndpointState &State,
                          const ServiceEndpoints &Service,
                          const ExpectedWork &Work, Millis Now) const;
  /// choose() under RemainingWorkChoice.
  const EndpointState *chooseDrawn(const EndpointQuery &Query,
                                   Millis Now) const;
  /// findFaster() under RemainingWorkChoice.
  const EndpointState *findSooner(const EndpointState &Current,
                                  EndpointQuery Query, Millis Now) const;
  /// @param Unmeasured the time assumed for an endpoint without a recent
  ///        measurement, in milliseconds.
  /// @return the endpoint's cost under the policy; the lowest is chosen.
  double rank(const EndpointState &State, double Unmeasured, Millis Now) const;
  /// @return whether its loader's report is recent enough to use.
  static bool hasFreshLoad(const EndpointState &State, Millis Now);
  /// @return the version of the model at the engine; 0: none.
  static int64_t versionOf(const EndpointState &State, const std::string &Model,
                           Millis Now);
  /// @return whether the endpoint meets the query, its load aside.
  static bool isEligible(const EndpointState &State, const EndpointQuery &Query,
                         Millis Now);
  /// @return whether the endpoint meets the query.
  bool mayTake(const EndpointState &State, const EndpointQuery &Query,
               Millis Now) const;
  /// @return work at the endpoint, of all gateways as far as known.
  int64_t workAt(const EndpointState &State, Millis Now) const;
  /// @return whether its smoothed time is recent enough to use.
  static bool isMeasured(const EndpointState &State, Millis Now);
  /// @return the shortest recent smoothed time of the service's endpoints, or
  ///         UnmeasuredMs if there is none.
  static double shortestSmoothedMs(const ServiceEndpoints &Service, Millis Now);
  /// Adds a measurement to the endpoint's smoothed time.
  static void addMeasurement(EndpointState &State, Millis Elapsed, Millis Now);
  /// @param Unmeasured as for rank().
  /// @return the expected time of one more piece of work, in milliseconds.
  double expectedTime(const EndpointState &State, double Unmeasured,
                      Millis Now) const;
  /// Removes the marks of lifetimes that have gone, and the oldest ones beyond
  /// the limit.
  void trimLeavingMarks(Millis Now);
  NetworkDistance distanceTo(const std::string &DataCentre) const;

  Geography Locations;
  EndpointChoice Choice;
  /// Number of work starts so far; orders them for RoundRobinChoice.
  int64_t ChoiceCount = 0;
  std::map<EndpointId, EndpointState> Endpoints;
  /// Finds them; the policies look at the endpoints of one service only.
  EndpointIndex Index;
  /// When each leaving lifetime last said so. They outlive their entries in the
  /// directory, which may lapse while the endpoint still runs.
  std::map<EndpointLifetime, Millis> LeavingMarks;
  Millis LeavingTrimmedAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H
