/// @file
/// Client accounts, as a configuration lists them.

#ifndef CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TYPE_H
#define CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TYPE_H

#include <cstdint>
#include <optional>
#include <string>

namespace camphornotch {

/// A client account.
struct Account {
  std::string Name;
  /// Replaces the priority of its requests' routes; 0 is the highest. Absent:
  /// the route's priority applies.
  std::optional<int64_t> Priority;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TYPE_H
