/// @file
/// Decides whether a request may proceed, by the API key that it carries.

#ifndef CAMPHORNOTCH_CORE_ACCOUNTS_ACCESS_FUNC_H
#define CAMPHORNOTCH_CORE_ACCOUNTS_ACCESS_FUNC_H

#include "core/accounts/account_table_base.h"

#include <optional>

namespace camphornotch {

/// Outcome of the check of a request's key.
enum class KeyOutcome : uint8_t {
  Unrestricted, ///< The configuration has no client accounts.
  Known,        ///< An account holds the key.
  Public,       ///< The route needs no key.
  Unknown,      ///< No account holds the key.
  Missing,      ///< The request has no usable key.
  Stale,        ///< As Unknown, but a newer configuration may hold the key.
};

/// The decision on one request.
struct AccessDecision {
  KeyOutcome Outcome = KeyOutcome::Unrestricted;
  /// The account that the request belongs to; null: none.
  const Account *Caller = nullptr;

  /// @return whether the request may proceed.
  bool isAllowed() const {
    return this->Outcome == KeyOutcome::Unrestricted ||
           this->Outcome == KeyOutcome::Known ||
           this->Outcome == KeyOutcome::Public;
  }
};

/// @param Accounts the accounts of the configuration in force; null: it has
///   none.
/// @param IsPublic whether the request's route needs no key.
/// @param Key the request's key; absent: it has none, or several.
/// @param IsCurrent whether this process would know of a newer configuration.
AccessDecision decideAccess(const AccountTable *Accounts, bool IsPublic,
                            std::optional<std::string_view> Key,
                            bool IsCurrent);

/// @param AccountName the account that submitted; empty: a caller without a
///   key; absent: the configuration has no accounts.
/// @param CallerId the id that the caller chose.
/// @return the id within this system. Ids of two accounts never coincide, nor
///   does that of a caller without a key with an account's, so that none can
///   learn of, or interfere with, another one's submissions and items.
std::string accountScopedId(std::optional<std::string_view> AccountName,
                            std::string_view CallerId);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ACCOUNTS_ACCESS_FUNC_H
