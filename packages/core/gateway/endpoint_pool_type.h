/// @file
/// What a gateway knows of each registered endpoint.

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

/// The versions of the models at one engine.
using ModelVersions = std::map<std::string, int64_t>;

/// An endpoint as it registered itself.
struct EndpointRecord {
  /// One run of the endpoint.
  EndpointId Id;
  /// When that run began, by the endpoint's own clock: tells two runs with one
  /// id apart.
  int64_t StartedAtMs = 0;
  /// The service that it belongs to.
  std::string Service;
  /// Where it listens.
  Address ListenAddress;
  /// The data centre it stands in.
  std::string DataCentre;
  /// Requests that it runs at once.
  int64_t Slots = 1;
  /// Whether it takes no new work.
  bool Draining = false;
  /// How much longer it stays slow after its start.
  Millis ColdRemaining{0};
  /// The versions of its models; empty for plain services.
  ModelVersions Versions;
};

/// What the loader beside an engine says of it.
struct EngineLoad {
  /// Work running.
  int64_t Running = 0;
  /// Work waiting in the engine.
  int64_t Waiting = 0;
  /// The model whose weights are being loaded; empty: none.
  std::string LoadingModel;
  /// The versions of its models.
  ModelVersions Versions;
};

/// How a piece of work at an endpoint ended, for the judgement of the endpoint.
enum class WorkOutcome : uint8_t {
  Answered,         ///< It gave its answer.
  Refused,          ///< It said that it did not run the work.
  Misdirected,      ///< Another endpoint has its address.
  ConnectionBroken, ///< The connection broke, or the answer was no answer.
  TimedOut,         ///< Nothing came in the time allowed.
  Abandoned,        ///< We gave up for reasons of our own.
};

/// How far an endpoint is.
enum class NetworkDistance : uint8_t {
  SameDataCentre,
  SameRegion,
  OtherRegion
};

/// One endpoint.
struct EndpointState {
  /// As it registered itself.
  EndpointRecord Record;
  /// How far it is.
  NetworkDistance Distance = NetworkDistance::SameDataCentre;
  /// Work of ours at it now.
  int64_t Outstanding = 0;
  /// What its loader said last; absent: nothing.
  std::optional<EngineLoad> Load;
  /// When that arrived.
  Millis LoadReceivedAt{0};
  /// Work of ours begun since.
  int64_t StartedSinceLoad = 0;
  /// Number of the choice that last fell on it; 0: none did.
  int64_t LastChoiceNumber = 0;
  /// Smoothed time that it takes, in milliseconds: of an answer, or between two
  /// events; 0: not known yet.
  double SmoothedMs = 0;
  /// Failures in a row.
  int64_t ConsecutiveFailures = 0;
  /// Until when others are preferred.
  Millis AvoidUntil{0};
  /// When the time it takes was measured last.
  Millis MeasuredAt{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_TYPE_H
