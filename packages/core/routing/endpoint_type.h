/// @file
/// What an entry knows of one endpoint, for choosing among them.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TYPE_H
#define CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <string>

namespace camphornotch {

/// Whether an endpoint is a model engine or a plain service.
enum class EndpointKind : uint8_t { Engine, Service };

/// How far an endpoint is from this entry.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion };

/// Number of Distance values.
inline constexpr size_t DistanceCount = 3;

/// Position of an endpoint in the table of this process.
using EndpointIndex = StrongId<struct EndpointIndexTag, uint32_t>;

/// What the host list says of an endpoint.
struct EndpointInfo {
  /// The endpoint's name.
  EndpointId Endpoint;
  /// The host of the agent beside it.
  HostId Host;
  /// Engine or service.
  EndpointKind Kind = EndpointKind::Engine;
  /// The model or the service's name.
  std::string Serves;
  /// Where it is.
  DataCentreId DataCentre;
  /// Where its data centre is.
  RegionId Region;
};

/// What this entry has learnt about an endpoint.
struct EndpointState {
  /// What the host list says.
  EndpointInfo Info;
  /// How far it is from this entry.
  Distance Away = Distance::SameDataCentre;
  /// Work can be sent: its agent's link is up and it is not gone.
  bool Reachable = false;
  /// It takes no new work.
  bool Leaving = false;
  /// The newest figure from its agent.
  wire::LoadFigure Load;
  /// When the figure came; Count 0: never.
  Millis LoadAt;
  /// Work sent since the figure came.
  int32_t SentSince = 0;
  /// Expected tokens of the work sent since the figure came.
  int64_t TokensSince = 0;
  /// Own work sent and not yet answered.
  int32_t InFlight = 0;
  /// Expected tokens of own work not yet answered.
  int64_t InFlightTokens = 0;
  /// Smoothed time from send to answer of short work; 0: none yet.
  double ShortLatencyMs = 0;
  /// Until when it is passed over after a failure.
  Millis AvoidUntil;
  /// Failures in a row.
  int32_t Failures = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ENDPOINT_TYPE_H
