/// @file
/// This gateway's part of what each account may run in the whole system.

#include "core/batch/account_quota_func.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

/// Factor on the slots that are divided. Without it, a slot stays free when
/// fewer parts of slots are rounded up than down.
constexpr double Slack = 1.1;

} // namespace

std::map<std::string, double> divideSlots(const AccountLoads &Loads,
                                          double Slots) {
  std::vector<std::pair<int64_t, std::string>> ByDemand;
  for (const auto &[Account, Load] : Loads)
    ByDemand.emplace_back(Load.Running + Load.Waiting, Account);
  std::ranges::sort(ByDemand);
  std::map<std::string, double> Parts;
  auto Accounts = static_cast<double>(ByDemand.size());
  for (const auto &[Demand, Account] : ByDemand) {
    const double Part = std::min(static_cast<double>(Demand), Slots / Accounts);
    Parts[Account] = Part;
    Slots -= Part;
    Accounts -= 1;
  }
  return Parts;
}

std::map<std::string, int64_t> accountQuotas(const AccountLoads &Own,
                                             const AccountLoads &Totals,
                                             int64_t Slots,
                                             std::minstd_rand &Random) {
  const std::map<std::string, double> Parts =
      divideSlots(Totals, static_cast<double>(Slots) * Slack);
  std::uniform_real_distribution<double> Rounding(0.0, 1.0);
  std::map<std::string, int64_t> Quotas;
  for (const auto &[Account, Load] : Own) {
    const auto Total = Totals.find(Account);
    if (Total == Totals.end())
      continue;
    const int64_t Demand = Total->second.Running + Total->second.Waiting;
    const double Part = Parts.at(Account);
    // An account that gets all that it asks for needs no quota.
    if (Part >= static_cast<double>(Demand))
      continue;
    const double OwnPart = Part *
                           static_cast<double>(Load.Running + Load.Waiting) /
                           static_cast<double>(Demand);
    Quotas[Account] =
        static_cast<int64_t>(std::floor(OwnPart + Rounding(Random)));
  }
  return Quotas;
}

} // namespace camphornotch
