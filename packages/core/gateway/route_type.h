/// @file
/// What operators publish for gateways: routes, services, limits of callers.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H

#include "base/millis_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphornotch {

/// What may be repeated on a route.
enum class RouteKind : uint8_t {
  Idempotent, ///< May run any number of times.
  AtMostOnce, ///< May run once for each request of a caller.
  Stream,     ///< Answered event by event; at most once unless resumable.
  Rollout,    ///< Takes batch submissions.
};

/// A service's part of a route's requests.
struct ServiceShare {
  /// The service.
  std::string Service;
  /// Its part, against the sum of all parts of the route.
  int64_t Weight = 1;
};

/// One route.
struct Route {
  /// The route's name.
  std::string Name;
  /// The Host header that it is for.
  std::string Host;
  /// The start of its paths.
  std::string Prefix;
  /// What may be repeated.
  RouteKind Kind = RouteKind::Idempotent;
  /// Longest time that a request may be kept waiting; 0: not bounded.
  Millis Timeout{0};
  /// Time within which an answer is worth its all; 0: not said.
  Millis Objective{0};
  /// Rank among routes; 0 goes first.
  int64_t Priority = 0;
  /// Who serves it.
  std::vector<ServiceShare> Services;
  /// Most endpoints that one request may be sent to.
  int64_t Attempts = 1;
  /// Whether a stream may go on at another endpoint.
  bool Resumable = false;
  /// Whether one version must make all of an item's text.
  bool SingleVersion = false;
  /// Age of a batch submission at which all results are due.
  Millis ResultDue{0};
  /// Age of a batch submission at which its items may be given up; 0: never.
  Millis Retention{0};
};

/// What the engines of a service can do.
struct EngineTraits {
  /// Requests that run at once.
  int64_t Slots = 1;
  /// The models that they serve.
  std::vector<std::string> Models;
};

/// One service.
struct ServiceInfo {
  /// The service's name.
  std::string Name;
  /// Connections that each endpoint takes from all callers together.
  int64_t ConnectionLimit = 0;
  /// Absent: a plain service.
  std::optional<EngineTraits> Engine;
};

/// What callers may send; 0: not bounded.
struct CallerLimits {
  /// Longest head of a request.
  int64_t HeaderBytes = 0;
  /// Longest body of a request.
  int64_t BodyBytes = 0;
  /// Time for the head of a request to arrive.
  Millis HeaderTimeout{0};
  /// Time that a kept connection may stay idle.
  Millis IdleTimeout{0};
};

/// One published configuration.
struct RouteTable {
  /// Its version; larger is newer.
  int64_t Version = 0;
  /// The routes.
  std::vector<Route> Routes;
  /// The services.
  std::vector<ServiceInfo> Services;
  /// What callers may send.
  CallerLimits Limits;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H
