/// @file
/// The entry's table of endpoints and their load, kept from replies.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TABLE_BASE_H

#include "core/routing/endpoint_type.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The endpoints that serve one model or service, by distance.
struct EndpointPool {
  /// Members, one list a distance.
  std::array<std::vector<EndpointIndex>, DistanceCount> ByDistance;
  /// Smoothed microseconds per token over all replies; 0: none yet.
  double TokenMicros = 0;
};

/// All endpoints that this entry can send work to.
///
/// The figures in replies are the truth about load; work sent since the last
/// figure is added on top, so that a burst spreads before answers return.
class EndpointTable {
public:
  /// @param HomeCentre the data centre of this entry.
  /// @param HomeRegion the region of this entry.
  EndpointTable(DataCentreId HomeCentre, RegionId HomeRegion);

  /// Adds an endpoint or updates what the host list says of it.
  /// @param Info the host list's view.
  /// @return its index, which stays the same until it is removed.
  EndpointIndex upsert(const EndpointInfo &Info);

  /// Forgets an endpoint.
  /// @param Endpoint its name; unknown names are ignored.
  void remove(const EndpointId &Endpoint);

  /// @param Endpoint a name.
  /// @return its index, if known.
  std::optional<EndpointIndex> find(const EndpointId &Endpoint) const;

  /// @param Index a known index.
  /// @return the state.
  /// @pre the index was returned by upsert() and not removed.
  const EndpointState &at(EndpointIndex Index) const;

  /// @param Serves a model's or service's name.
  /// @return its pool; empty if nobody serves it.
  const EndpointPool &pool(std::string_view Serves) const;

  /// Marks whether work can be sent.
  /// @param Index the endpoint.
  /// @param Reachable whether its agent's link is up.
  void setReachable(EndpointIndex Index, bool Reachable);

  /// Marks an endpoint as leaving, as the host list or an operator says.
  /// @param Index the endpoint.
  /// @param Leaving whether it leaves.
  void setLeaving(EndpointIndex Index, bool Leaving);

  /// Takes a figure from a reply or heartbeat.
  /// @param Index the endpoint.
  /// @param Load the figure.
  /// @param Now the time.
  void noteLoad(EndpointIndex Index, const wire::LoadFigure &Load, Millis Now);

  /// Work was sent.
  /// @param Index the endpoint.
  /// @param Tokens how many tokens the work is expected to generate.
  void noteSent(EndpointIndex Index, int64_t Tokens);

  /// Work was answered, refused or given up.
  /// @param Index the endpoint.
  /// @param Tokens what noteSent() was told.
  void noteSettled(EndpointIndex Index, int64_t Tokens);

  /// Short work was answered.
  /// @param Index the endpoint.
  /// @param Latency from send to answer.
  void noteShortLatency(EndpointIndex Index, Millis Latency);

  /// Work failed at the endpoint: it is passed over for a growing time.
  /// @param Index the endpoint.
  /// @param Now the time.
  void noteFailure(EndpointIndex Index, Millis Now);

  /// Work succeeded at the endpoint.
  /// @param Index the endpoint.
  void noteSuccess(EndpointIndex Index);

  /// @param Index the endpoint.
  /// @param Now the time.
  /// @return whether new work may be sent there.
  bool isEligible(EndpointIndex Index, Millis Now) const;

  /// @param Index the endpoint.
  /// @return own work that waits there, with what was sent since the figure
  ///         beyond the places that were free then.
  int32_t ownWaiting(EndpointIndex Index) const;

  /// @param Index the endpoint.
  /// @return work there, running, waiting and on the way.
  int32_t outstanding(EndpointIndex Index) const;

  /// @return how many endpoints are known.
  size_t size() const { return this->ByName.size(); }

private:
  /// @param Info the host list's view of an endpoint.
  /// @return how far it is.
  Distance distanceTo(const EndpointInfo &Info) const;

  /// Enters an endpoint into its pool.
  /// @param Index the endpoint.
  void joinPool(EndpointIndex Index);

  /// Takes an endpoint out of its pool.
  /// @param Index the endpoint.
  void leavePool(EndpointIndex Index);

  /// Data centre of this entry.
  DataCentreId HomeCentre;
  /// Region of this entry.
  RegionId HomeRegion;
  /// All states; removed ones are reused.
  std::deque<EndpointState> States;
  /// Removed positions.
  std::vector<EndpointIndex> Unused;
  /// Index by name.
  absl::flat_hash_map<std::string, EndpointIndex> ByName;
  /// Pools by model or service name.
  absl::flat_hash_map<std::string, EndpointPool> Pools;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TABLE_BASE_H
