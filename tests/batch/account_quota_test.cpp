/// @file
/// Division of slots among accounts, and the cost of a plan.

#include "base/clock_func.h"
#include "core/batch/account_quota_func.h"
#include "order_fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

// Guards against slots that are given twice, kept unused, or taken from an
// account that asks for less than the others get.
Test(accountQuota, dividedSlots_addUpAndServeSmallDemandsFirst) {
  cr_assert(rc::check("parts add up", [] {
    AccountLoads Loads;
    int64_t Demand = 0;
    const auto Waiting = *rc::gen::container<std::vector<int64_t>>(
        rc::gen::inRange<int64_t>(0, 100));
    for (size_t Index = 0; Index < Waiting.size(); ++Index) {
      Loads[std::to_string(Index)].Waiting = Waiting[Index];
      Demand += Waiting[Index];
    }
    const auto Slots =
        static_cast<double>(*rc::gen::inRange<int64_t>(1, 2'000));
    double Sum = 0;
    double Least = Slots;
    const auto Parts = divideSlots(Loads, Slots);
    for (const auto &[Account, Part] : Parts) {
      Sum += Part;
      if (Part < static_cast<double>(Loads[Account].Waiting) - 1e-6)
        Least = std::min(Least, Part);
    }
    RC_ASSERT(Sum <= Slots + 1e-6);
    RC_ASSERT(Sum >= std::min(Slots, static_cast<double>(Demand)) - 1e-6);
    for (const auto &[Account, Part] : Parts)
      RC_ASSERT(Part <= Least + 1e-6 || Least == Slots);
  }));
}

// Guards against an unused share that is not lent.
Test(accountQuota, otherAccountsIdle_leavesTheOnlyOneUnbounded) {
  std::minstd_rand Random(1);
  const AccountLoads Own{{"a", {2, 3}}};
  AccountLoads Totals{{"a", {10, 20}}, {"b", {0, 0}}};
  cr_assert(accountQuotas(Own, Totals, 40, Random).empty());
  Totals["b"].Waiting = 100;
  cr_assert_eq(accountQuotas(Own, Totals, 40, Random).size(), 1);
  cr_assert(accountQuotas(Own, {}, 40, Random).empty());
}

// Guards against items that run beyond their account's quota.
Test(accountQuota, quota_boundsTheAccountsRunningItems) {
  OrderFixture Each(FairShareOrder{}, 1, 10);
  Each.submit({"a", "a", std::vector<int64_t>(10, 5)});
  Each.submit({"plain", "", std::vector<int64_t>(3, 5)});
  Each.Scheduler.setQuotas({{"a", 4}});
  cr_assert_eq(Each.plan().size(), 7);
  cr_assert(Each.plan().empty());
  Each.Scheduler.setQuotas({});
  cr_assert_eq(Each.plan().size(), 3);
}

// Prints the cost of a plan with many waiting items; no bound.
Test(itemOrder, planOfManyItems_isPrinted) {
  for (const char *Name : {"wanted_groups", "fair_share"}) {
    OrderFixture Each(parseItemOrder(Name), 40, 6);
    for (int Index = 0; Index < 100; ++Index)
      Each.submit({"s" + std::to_string(Index),
                   "a" + std::to_string(Index % 20),
                   std::vector<int64_t>(100, 10), Index % 3, 20, 4});
    std::vector<ItemStart> Running = Each.plan();
    constexpr int Plans = 50;
    const Millis Began = steadyNow();
    for (int Times = 0; Times < Plans; ++Times) {
      Each.finish(Running.back());
      Running.pop_back();
      for (const ItemStart &Start : Each.plan())
        Running.push_back(Start);
    }
    cr_log_info("%s: %.2f ms for a plan of %zu waiting items", Name,
                static_cast<double>((steadyNow() - Began).Count) / Plans,
                Each.Scheduler.waiting());
  }
}
