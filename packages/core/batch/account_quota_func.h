/// @file
/// This gateway's part of what each account may run in the whole system.

#ifndef CAMPHORNOTCH_CORE_BATCH_ACCOUNT_QUOTA_FUNC_H
#define CAMPHORNOTCH_CORE_BATCH_ACCOUNT_QUOTA_FUNC_H

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace camphornotch {

/// Items of an account.
struct AccountLoad {
  int64_t Running = 0;
  int64_t Waiting = 0;
};

/// By account.
using AccountLoads = std::map<std::string, AccountLoad>;

/// Divides slots among accounts so that none with waiting items gets less than
/// another one; what an account does not use is divided among the others.
/// @param Loads the items of each account.
/// @param Slots slots of all engines.
std::map<std::string, double> divideSlots(const AccountLoads &Loads,
                                          double Slots);

/// @param Own the items of each account at this gateway.
/// @param Totals the same of all gateways; may be some seconds old. Accounts
///   that it lacks get no quota.
/// @param Slots slots of all engines.
/// @param Random rounds a part of a slot up or down, so that all gateways
///   together run what an account may run.
/// @return the most items of each account that may run at this gateway.
std::map<std::string, int64_t> accountQuotas(const AccountLoads &Own,
                                             const AccountLoads &Totals,
                                             int64_t Slots,
                                             std::minstd_rand &Random);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ACCOUNT_QUOTA_FUNC_H
