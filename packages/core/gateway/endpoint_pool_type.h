/// @file
/// The state that a gateway keeps of each registered endpoint.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_TYPE_H

#include "base/address_type.h"
#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphornotch {

/// Version by model at one engine.
using ModelVersions = std::map<std::string, int64_t>;

/// One run of an endpoint, from its start to its end.
struct EndpointLifetime {
  EndpointId Id;
  /// As in EndpointRecord.
  int64_t StartedAtMs = 0;

  auto operator<=>(const EndpointLifetime &) const = default;
};

/// An endpoint as it registered itself.
struct EndpointRecord {
  /// Identifies one run of the endpoint.
  EndpointId Id;
  /// When that run started, by the endpoint's own clock; distinguishes two runs
  /// with the same id. 0: it does not say.
  int64_t StartedAtMs = 0;
  std::string Service;
  Address ListenAddress;
  std::string DataCentre;
  /// Requests that it runs concurrently.
  int64_t Slots = 1;
  /// Whether it takes no new work.
  bool Draining = false;
  /// Remaining time of slow operation after its start.
  Millis ColdRemaining{0};
  /// Version of its software. Only endpoints of the same one can go on with a
  /// stream that it began.
  std::string Software;
  /// Empty for plain services.
  ModelVersions Versions;

  /// @return the run that registered.
  EndpointLifetime lifetime() const {
    return EndpointLifetime{this->Id, this->StartedAtMs};
  }
};

/// A loader's report on the engine beside it.
struct EngineLoad {
  int64_t Running = 0;
  int64_t Waiting = 0;
  /// Model whose weights are being loaded; empty: none.
  std::string LoadingModel;
  ModelVersions Versions;
  /// Time between two events of one run at this load; 0: not known.
  int64_t PaceMs = 0;
  /// Cache memory that cannot be evicted, in tokens.
  int64_t KvUsed = 0;
  /// Cache memory, in tokens; 0: not known.
  int64_t KvTotal = 0;
};

/// How a piece of work ended, as it affects the choice of its endpoint.
enum class WorkOutcome : uint8_t {
  Answered,         ///< The endpoint answered.
  Refused,          ///< The endpoint said that it did not run the work.
  Misdirected,      ///< Another endpoint listens at its address.
  ConnectionBroken, ///< The connection broke or the answer was invalid.
  TimedOut,         ///< No data within the time allowed.
  Abandoned,        ///< The gateway cancelled the work.
};

/// How far an endpoint is from this process.
enum class NetworkDistance : uint8_t {
  SameDataCentre,
  SameRegion,
  OtherRegion
};

/// A registered endpoint with its load reports and measured times.
struct EndpointState {
  EndpointRecord Record;
  NetworkDistance Distance = NetworkDistance::SameDataCentre;
  /// When its registration last changed; 0: not known.
  Millis ChangedAt{0};
  /// Whether it said in an answer that it leaves. Nothing in the directory
  /// takes that back.
  bool Leaving = false;
  /// Work of this process at the endpoint.
  int64_t Outstanding = 0;
  /// The loader's last report; absent: none yet.
  std::optional<EngineLoad> Load;
  Millis LoadReceivedAt{0};
  /// Work that this process sent since that report.
  int64_t StartedSinceLoad = 0;
  /// EndpointPool's choice count when work was last sent to it; 0: never.
  int64_t LastChoiceNumber = 0;
  /// Exponentially smoothed time to an answer or between two events, in
  /// milliseconds; 0: not measured yet.
  double SmoothedMs = 0;
  int64_t ConsecutiveFailures = 0;
  /// Other endpoints are preferred until then.
  Millis AvoidUntil{0};
  /// When SmoothedMs was last updated.
  Millis MeasuredAt{0};
  /// Exponentially smoothed time between two events alone, in milliseconds; 0:
  /// not measured yet. The times of plain requests are in SmoothedMs, too.
  double EventMs = 0;
  /// When EventMs was last updated.
  Millis EventMeasuredAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_TYPE_H
