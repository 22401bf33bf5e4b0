/// @file
/// Maps the API keys of a configuration to client accounts.

#ifndef CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H

#include "core/accounts/account_type.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace camphornotch {

/// SHA-256 digest of an API key.
using KeyDigest = std::array<uint8_t, 32>;

/// @return the digest under which an account's key is stored.
KeyDigest digestOfKey(std::string_view Key);

/// A client account as the configuration lists it, with its keys.
struct AccountEntry {
  Account Info;
  std::vector<std::string> Keys;
};

/// A key that the configuration lists for two accounts.
struct KeyConflict {
  /// Name of the account that keeps the key.
  std::string Kept;
  /// Name of the account for which it is ignored.
  std::string Ignored;
};

/// The client accounts of one configuration. It keeps digests of the keys only,
/// so that no memory dump or log of the table shows a key.
class AccountTable {
public:
  AccountTable() = default;

  /// @param Entries the accounts in the order of the configuration. An entry
  ///   whose name was listed before adds its keys to that account.
  explicit AccountTable(std::span<const AccountEntry> Entries);

  /// @return the account that holds the key, or null.
  const Account *findByKey(std::string_view Key) const;

  /// @return the account of that name, or null.
  const Account *findByName(std::string_view Name) const;

  /// @return keys that were listed for two accounts.
  std::span<const KeyConflict> conflicts() const { return this->Conflicts; }

  /// @return the number of accounts.
  size_t size() const { return this->Accounts.size(); }

private:
  std::vector<Account> Accounts;
  /// Index in Accounts by name.
  absl::flat_hash_map<std::string, uint32_t> ByName;
  /// Index in Accounts by the key's digest.
  absl::flat_hash_map<KeyDigest, uint32_t> ByKey;
  std::vector<KeyConflict> Conflicts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H
