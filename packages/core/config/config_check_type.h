/// @file
/// A published configuration as it is checked, and what the check finds.

#ifndef CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_TYPE_H
#define CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_TYPE_H

#include "core/gateway/route_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphornotch {

/// A client account with digests of its keys.
struct CheckedAccount {
  Account Info;
  std::vector<KeyDigest> Keys;
};

/// A service and what the configuration says of the number of its endpoints.
struct CheckedService {
  ServiceInfo Info;
  /// Most endpoints in all data centres; absent: not given.
  std::optional<int64_t> MaxEndpoints;
};

/// A configuration with all of its entries in their order.
struct ConfigDocument {
  /// Absent: it has none.
  std::optional<int64_t> Version;
  std::vector<Route> Routes;
  std::vector<CheckedService> Services;
  CallerLimits Limits;
  std::vector<CheckedAccount> Accounts;
  /// Places of entries that cannot be decoded and are left out, such as
  /// "routes[3]".
  std::vector<std::string> UnreadableEntries;
};

/// How much a finding matters.
enum class FindingLevel : uint8_t {
  Error,      ///< An entry is ignored or cannot work.
  Warning,    ///< An entry has no effect, or limits contradict each other.
  Difference, ///< Differs from the other version.
};

enum class FindingKind : uint8_t {
  MissingVersion,
  VersionNotHigher,
  UnreadableEntry,
  UnknownService,
  KeyOfTwoAccounts,
  HiddenRoute,
  UnmatchableRoute,
  RouteWithoutService,
  ShareWithoutWeight,
  RepeatedService,
  RepeatedAccount,
  AccountWithoutKeys,
  HeaderLimitOverBodyLimit,
  HeaderTimeoutOverIdleTimeout,
  ObjectiveOverTimeout,
  AttemptsOverEndpoints,
  Added,
  Removed,
  Changed,
};

/// One finding.
struct ConfigFinding {
  FindingLevel Level = FindingLevel::Error;
  FindingKind Kind = FindingKind::UnreadableEntry;
  /// The entry, such as "route a".
  std::string Entry;
  /// What is found, as the rest of a sentence; never has a key.
  std::string Text;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CONFIG_CONFIG_CHECK_TYPE_H
