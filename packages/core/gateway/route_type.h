/// @file
/// The configuration that operators publish for gateways.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H

#include "base/millis_type.h"
#include "core/accounts/account_table_base.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphornotch {

/// Whether requests of a route may be repeated.
enum class RouteKind : uint8_t {
  Idempotent, ///< A request may run any number of times.
  AtMostOnce, ///< A request may run only once.
  Stream,     ///< Answered as events; at most once unless resumable.
  Rollout,    ///< Takes batch submissions.
};

/// A service's share of a route's requests.
struct ServiceShare {
  std::string Service;
  /// Relative to the sum of the route's weights.
  int64_t Weight = 1;
};

/// A route from a host and path prefix to services.
struct Route {
  std::string Name;
  /// Matches the Host header without its port.
  std::string Host;
  /// Path prefix.
  std::string Prefix;
  RouteKind Kind = RouteKind::Idempotent;
  /// Longest time that a request may wait for its answer; 0: unbounded.
  Millis Timeout{0};
  /// Time within which an answer has its full value; 0: none given.
  Millis Objective{0};
  /// 0 is the highest priority.
  int64_t Priority = 0;
  std::vector<ServiceShare> Services;
  /// Most attempts of one request that ran or may have run.
  int64_t Attempts = 1;
  /// Whether a stream may continue at another endpoint.
  bool Resumable = false;
  /// Whether all of an item's text must come from one model version.
  bool SingleVersion = false;
  /// Age of a batch submission at which all results are due.
  Millis ResultDue{0};
  /// Age of a batch submission at which its items may be given up; 0: never.
  Millis Retention{0};
  /// Whether its requests need no key of a client account.
  bool Public = false;
};

/// Properties of the engines of a service.
struct EngineTraits {
  /// Concurrent requests per engine.
  int64_t Slots = 1;
  std::vector<std::string> Models;
};

/// A service that endpoints provide.
struct ServiceInfo {
  std::string Name;
  /// Connections that each endpoint accepts in total.
  int64_t ConnectionLimit = 0;
  /// Absent: a plain service.
  std::optional<EngineTraits> Engine;
};

/// Bounds on callers' connections and requests; 0: unbounded.
struct CallerLimits {
  int64_t HeaderBytes = 0;
  int64_t BodyBytes = 0;
  /// Time for a request's header to arrive.
  Millis HeaderTimeout{0};
  /// Idle time after which a persistent connection is closed.
  Millis IdleTimeout{0};
};

/// One published configuration.
struct RouteTable {
  /// Increases with each publication.
  int64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceInfo> Services;
  CallerLimits Limits;
  /// Null: the configuration has no client accounts, and requests need no key.
  std::shared_ptr<const AccountTable> Accounts;
  /// Accounts that were left out because they could not be read.
  size_t SkippedAccounts = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ROUTE_TYPE_H
