/// @file
/// Maps the API keys of a configuration to client accounts.

#ifndef CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H

#include "core/accounts/account_type.h"

namespace camphornotch {

/// The client accounts of one configuration.
class AccountTable {};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ACCOUNTS_ACCOUNT_TABLE_BASE_H
