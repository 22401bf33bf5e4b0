/// @file
/// The endpoints of all services, and the choice among them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H

#include "core/gateway/endpoint_choice_type.h"
#include "core/gateway/endpoint_pool_type.h"

#include <functional>
#include <set>
#include <string_view>
#include <vector>

namespace camphornotch {

/// Where this gateway stands, and which region each data centre is in.
struct Geography {
  /// The data centre of this process.
  std::string LocalDataCentre;
  /// Region by data centre.
  std::map<std::string, std::string> RegionByDataCentre;
};

/// What is wanted of an endpoint.
struct EndpointQuery {
  /// The service.
  std::string_view Service;
  /// The model; empty: any.
  std::string_view Model;
  /// The oldest version of the model that will do.
  int64_t MinVersion = 0;
  /// Endpoints that will not do.
  std::set<EndpointId> ExcludedEndpoints;
  /// Slots that must be free there; 0: it may be full.
  int64_t MinFreeSlots = 0;
};

/// Keeps the endpoints; deterministic, without I/O.
class EndpointPool {
public:
  /// @param Locations where everything stands.
  /// @param Choice how to choose among endpoints that will do.
  explicit EndpointPool(Geography Locations,
                        EndpointChoice Choice = ExpectedTimeChoice{});

  /// Takes in an endpoint's own words.
  /// @param Record what it registered.
  /// @return whether the endpoint, or a fact that decides its use, is new.
  bool put(EndpointRecord Record);

  /// Forgets an endpoint.
  /// @param Id its id.
  void remove(const EndpointId &Id);

  /// Takes in what a loader says of its engine.
  /// @param Where the engine's address.
  /// @param Load the words.
  /// @param Now the time.
  void loadReported(const Address &ListenAddress, const EngineLoad &Load,
                    Millis Now);

  /// Chooses an endpoint; by expected time it is that of the least typical
  /// time, stretched by the work already there. Answers the load of many short
  /// requests while some endpoints are slowed, and of many items at once.
  /// @param Query what is wanted.
  /// @param Now the time.
  /// @return the endpoint, or null if none will do.
  const EndpointState *choose(const EndpointQuery &Query, Millis Now) const;

  /// Notes that work was sent.
  /// @param Id the endpoint.
  void workStarted(const EndpointId &Id);

  /// Notes that work ended.
  /// @param Id the endpoint.
  /// @param Outcome how.
  /// @param Elapsed the time it took, to its first byte; 0: not to be measured.
  /// @param Now the time.
  void workEnded(const EndpointId &Id, WorkOutcome Outcome, Millis Elapsed,
                 Millis Now);

  /// Notes the time between two events of a stream.
  /// @param Id the endpoint.
  /// @param Gap the time.
  /// @param Now the time.
  void paceMeasured(const EndpointId &Id, Millis Gap, Millis Now);

  /// Finds a faster endpoint for a stream that an endpoint makes slowly.
  /// Answers the load of long items on engines that others slow for seconds.
  /// @param Id the endpoint.
  /// @param Query what the stream needs.
  /// @param Now the time.
  /// @return the endpoint, or null if none with a free slot is much faster.
  const EndpointState *findFaster(const EndpointId &Id, EndpointQuery Query,
                                  Millis Now) const;

  /// @param Service a service.
  /// @param Model a model.
  /// @param Now the time.
  /// @return the newest version that any of its engines has; 0: none.
  int64_t newestVersion(std::string_view Service, const std::string &Model,
                        Millis Now) const;

  /// Notes that an engine has the version that its answer named.
  /// @param Id the engine.
  /// @param Model the model.
  /// @param Version its version.
  void versionSeen(const EndpointId &Id, const std::string &Model,
                   int64_t Version);

  /// @param Id an endpoint.
  /// @return it, or null.
  const EndpointState *find(const EndpointId &Id) const;

  /// @return all endpoints.
  const std::map<EndpointId, EndpointState> &all() const {
    return this->Endpoints;
  }

private:
  /// @param State an endpoint.
  /// @param Unmeasured the typical time taken for endpoints not measured.
  /// @param Now the time.
  /// @return what the endpoints are compared by; the least is chosen.
  double rank(const EndpointState &State, double Unmeasured, Millis Now) const;
  /// @param State an engine.
  /// @param Now the time.
  /// @return whether its loader spoke of it lately.
  static bool hasFreshLoad(const EndpointState &State, Millis Now);
  /// @param State an engine.
  /// @param Model a model.
  /// @param Now the time.
  /// @return the version that it has; 0: none.
  static int64_t versionOf(const EndpointState &State, const std::string &Model,
                           Millis Now);
  /// @param State an endpoint.
  /// @param Query what is wanted.
  /// @param Now the time.
  /// @return whether it will do, but for its load.
  static bool isEligible(const EndpointState &State, const EndpointQuery &Query,
                         Millis Now);
  /// @param State an endpoint.
  /// @param Now the time.
  /// @return work at it, of all gateways as far as known.
  int64_t workAt(const EndpointState &State, Millis Now) const;
  /// @param State an endpoint.
  /// @param Now the time.
  /// @return whether its typical time was measured lately.
  static bool isMeasured(const EndpointState &State, Millis Now);
  /// @param Service a service.
  /// @param Now the time.
  /// @return the least typical time measured lately, or a usual one.
  double shortestSmoothedMs(std::string_view Service, Millis Now) const;
  /// Takes a measurement in.
  /// @param State the endpoint.
  /// @param Elapsed the time.
  /// @param Now the time.
  static void addMeasurement(EndpointState &State, Millis Elapsed, Millis Now);
  /// @param State an endpoint.
  /// @param Unmeasured the typical time taken for endpoints not measured.
  /// @param Now the time.
  /// @return its expected time for one more piece of work.
  double expectedTime(const EndpointState &State, double Unmeasured,
                      Millis Now) const;
  /// @param DataCentre a data centre.
  /// @return how far it is.
  NetworkDistance distanceTo(const std::string &DataCentre) const;

  /// Where everything stands.
  Geography Locations;
  /// How to choose among endpoints that will do.
  EndpointChoice Choice;
  /// Choices so far.
  int64_t ChoiceCount = 0;
  /// The endpoints.
  std::map<EndpointId, EndpointState> Endpoints;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_BASE_H
