/// @file
/// Shares of accounts, and the order of waiting items under them.

#include "core/batch/fair_share_base.h"
#include "order_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

const SharePool Pool{false, 0, "s"};

/// Starts the item of the account that goes first.
/// @return the account.
std::string startFirst(FairShare &Shares,
                       const std::map<std::string, double> &Works) {
  for (const auto &[Account, Work] : Works)
    Shares.compete(Pool, Account);
  const auto First =
      std::ranges::min_element(Works, {}, [&Shares](const auto &Each) {
        return Shares.position(Pool, Each.first);
      });
  Shares.started(Pool, First->first, First->second);
  return First->first;
}

rc::Gen<TestSubmission> submissions(bool WithAccounts) {
  return rc::gen::build<TestSubmission>(
      rc::gen::set(&TestSubmission::Account,
                   WithAccounts
                       ? rc::gen::element<std::string>("", "a", "b", "c")
                       : rc::gen::just(std::string())),
      rc::gen::set(&TestSubmission::Hints,
                   rc::gen::container<std::vector<int64_t>>(
                       rc::gen::inRange<int64_t>(0, 50))),
      rc::gen::set(&TestSubmission::Priority, rc::gen::inRange<int64_t>(0, 3)),
      rc::gen::set(&TestSubmission::WantedGroups,
                   rc::gen::inRange<int64_t>(0, 4)),
      rc::gen::set(&TestSubmission::GroupSize, rc::gen::inRange<size_t>(1, 4)));
}

/// @return random submissions with ids of their own.
std::vector<TestSubmission> anySubmissions(bool WithAccounts) {
  constexpr int MaxSize = 8;
  auto Added =
      *rc::gen::resize(MaxSize, rc::gen::container<std::vector<TestSubmission>>(
                                    submissions(WithAccounts)));
  for (size_t Index = 0; Index < Added.size(); ++Index)
    Added[Index].Id = "s" + std::to_string(Index);
  return Added;
}

/// @return the less urgent, the greater.
std::pair<bool, int64_t> urgency(const ScheduledItem &Item) {
  return {Item.WantedGroups > 0 && Item.GroupRank >= Item.WantedGroups,
          Item.Priority};
}

} // namespace

// Guards against an account that starves, or gets more than its weight, beside
// accounts whose items are of other sizes.
Test(fairShare, accountsWithWaitingItems_getWorkByTheirWeights) {
  cr_assert(rc::check("given work differs by an item at most", [] {
    FairShare Shares;
    const std::map<std::string, double> Weights{{"a", 1}, {"b", 1}, {"c", 3}};
    for (const auto &[Account, Weight] : Weights)
      Shares.setWeight(Account, Weight);
    std::map<std::string, double> Given;
    constexpr int MaxWork = 100;
    for (int Start = 0; Start < 300; ++Start) {
      std::map<std::string, double> Works;
      for (const auto &[Account, Weight] : Weights)
        Works[Account] = *rc::gen::inRange(1, MaxWork + 1);
      const std::string Account = startFirst(Shares, Works);
      Given[Account] += Works[Account] / Weights.at(Account);
      for (const auto &[Other, Weight] : Weights)
        RC_ASSERT(Given[Other] + MaxWork >= Given[Account]);
    }
  }));
}

// Guards against a share that is not returned, or repaid for idle time, when
// its account has items again.
Test(fairShare, accountThatReturns_getsTheNextStartAndNoMore) {
  FairShare Shares;
  startFirst(Shares, {{"b", 10}});
  for (int Start = 0; Start < 50; ++Start)
    startFirst(Shares, {{"a", 10}});
  const std::map<std::string, double> Both{{"a", 10}, {"b", 10}};
  cr_assert_eq(startFirst(Shares, Both), "b");
  int StartsOfB = 0;
  for (int Start = 0; Start < 20; ++Start)
    StartsOfB += startFirst(Shares, Both) == "b" ? 1 : 0;
  cr_assert_eq(StartsOfB, 10);
}

// Guards against an account that its name keeps behind others with equal work:
// a fast third account moves the present on between the starts of the two.
Test(fairShare, accountsBehindThePresent_takeTurns) {
  FairShare Shares;
  std::map<std::string, int> Starts;
  for (int Round = 0; Round < 20; ++Round) {
    for (int Start = 0; Start < 5; ++Start)
      startFirst(Shares, {{"fast", 100}});
    ++Starts[startFirst(Shares, {{"x", 1}, {"y", 1}})];
    Shares.trim({"fast", "x", "y"});
  }
  cr_assert_eq(Starts["x"], 10);
}

// Guards against wrong estimates that give an account more than its share.
Test(fairShare, longerItemsThanExpected_areChargedAtTheirEnd) {
  OrderFixture Each(FairShareOrder{});
  Each.submit({"a", "a", std::vector<int64_t>(100, 10)});
  Each.submit({"b", "b", std::vector<int64_t>(100, 10)});
  std::map<std::string, int> Served;
  for (int Turn = 0; Turn < 100; ++Turn) {
    const ItemStart Run = Each.plan().at(0);
    const std::string Account = Run.Key.Submission.Value;
    ++Served[Account];
    Each.finish(Run, ItemEnd{true, Account == "a" ? 40.0 : 10.0});
  }
  cr_assert_geq(Served["a"], 18);
  cr_assert_leq(Served["a"], 22);
}

// Guards against a large account that keeps later ones waiting.
Test(fairShare, laterAccount_getsEverySecondStart) {
  OrderFixture Each(FairShareOrder{});
  Each.submit({"large", "a", std::vector<int64_t>(1'000, 10)});
  for (int Turn = 0; Turn < 30; ++Turn)
    cr_assert_eq(Each.serveOne(), "large");
  Each.submit({"small", "b", std::vector<int64_t>(10, 10)});
  int Small = 0;
  for (int Turn = 0; Turn < 20; ++Turn)
    Small += Each.serveOne() == "small" ? 1 : 0;
  cr_assert_eq(Small, 10);
  cr_assert_eq(Each.serveOne(), "large");
}

// Guards against a run that is charged again each time that its engine breaks.
Test(fairShare, itemThatStartsAgain_isChargedOnce) {
  OrderFixture Each(FairShareOrder{});
  Each.submit({"a", "a", {10, 10}});
  const ItemStart Run = Each.plan().at(0);
  Each.submit({"b", "b", {10, 10}});
  Each.Pool.workEnded(Run.Endpoint, WorkOutcome::Abandoned, Millis{0},
                      Each.Now);
  Each.Scheduler.requeue(Run.Key, RequeueReason::Moved, Run.Endpoint, Each.Now);
  std::string Order;
  for (int Turn = 0; Turn < 4; ++Turn)
    Order += Each.serveOne();
  cr_assert_eq(Order, "baba");
}

// Guards against a changed order where the configuration has no accounts.
Test(itemOrder, withoutAccounts_isThatOfWantedGroups) {
  cr_assert(rc::check("fair_share equals wanted_groups", [] {
    OrderFixture Old(parseItemOrder("wanted_groups"), 2, 2);
    OrderFixture New(parseItemOrder("fair_share"), 2, 2);
    for (const TestSubmission &Each : anySubmissions(false)) {
      Old.submit(Each);
      New.submit(Each);
    }
    std::minstd_rand Random(*rc::gen::arbitrary<uint32_t>());
    while (Old.Scheduler.waiting() + New.Scheduler.waiting() > 0) {
      const std::vector<ItemStart> Expected = Old.plan();
      const std::vector<ItemStart> Starts = New.plan();
      RC_ASSERT(Starts.size() == Expected.size());
      RC_ASSERT(!Starts.empty());
      for (size_t Index = 0; Index < Starts.size(); ++Index) {
        RC_ASSERT(Starts[Index].Key == Expected[Index].Key);
        RC_ASSERT(Starts[Index].Endpoint == Expected[Index].Endpoint);
        const ItemEnd End{Random() % 2 == 0, Random() % 2 == 0 ? 0.0 : 7.0};
        Old.finish(Expected[Index], End);
        New.finish(Starts[Index], End);
      }
    }
    RC_ASSERT(New.Scheduler.waiting() == 0);
  }));
}

// Guards against urgent items that wait behind less urgent ones of their
// account, against items that starve, and against full endpoints.
Test(itemOrder, withAccounts_moreUrgentItemsGoFirstAndAllStart) {
  cr_assert(rc::check("urgent first, all start", [] {
    OrderFixture Each(FairShareOrder{}, 2, 2);
    for (const TestSubmission &Added : anySubmissions(true))
      Each.submit(Added);
    std::minstd_rand Random(*rc::gen::arbitrary<uint32_t>());
    std::vector<ItemStart> Running;
    const size_t Turns = Each.Scheduler.waiting();
    for (size_t Turn = 0; Turn <= Turns; ++Turn) {
      const std::vector<ItemStart> Starts = Each.plan();
      for (const ItemStart &Start : Starts) {
        const ScheduledItem &Started = *Each.Scheduler.find(Start.Key);
        for (const auto &[Key, Other] : Each.Scheduler.all())
          if (!Other.Running && Other.Account == Started.Account)
            RC_ASSERT(urgency(Other) >= urgency(Started));
      }
      Running.insert(Running.end(), Starts.begin(), Starts.end());
      RC_ASSERT(Running.size() <= 4U);
      if (Running.empty())
        break;
      const size_t Index = Random() % Running.size();
      Each.finish(Running[Index], ItemEnd{Random() % 4 != 0, 0});
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
    }
    RC_ASSERT(Each.Scheduler.waiting() == 0);
  }));
}

// Guards against placements at endpoints that may not be chosen.
Test(itemOrder, drainingLeavingAndAvoidedEndpoints_getNoItem) {
  cr_assert(rc::check("only endpoints that may be chosen", [] {
    OrderFixture Each(FairShareOrder{}, 0);
    std::set<EndpointId> Usable;
    const auto Kinds =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (size_t Index = 0; Index < Kinds.size(); ++Index) {
      EndpointRecord Record = engineRecord("e" + std::to_string(Index), 2);
      const EndpointId Id = Record.Id;
      Record.Draining = Kinds[Index] == 1;
      Record.StartedAtMs = 1;
      const EndpointLifetime Lifetime = Record.lifetime();
      Each.Pool.put(std::move(Record));
      if (Kinds[Index] == 2)
        Each.Pool.leavingSeen(Lifetime, Each.Now);
      if (Kinds[Index] == 3) {
        Each.Pool.workStarted(Id);
        Each.Pool.workEnded(Id, WorkOutcome::ConnectionBroken, Millis{0},
                            Each.Now);
      }
      if (Kinds[Index] == 0 || Kinds[Index] == 4)
        Usable.insert(Id);
    }
    for (const TestSubmission &Added : anySubmissions(true))
      Each.submit(Added);
    const size_t Waiting = Each.Scheduler.waiting();
    const std::vector<ItemStart> Starts = Each.plan();
    for (const ItemStart &Start : Starts)
      RC_ASSERT(Usable.contains(Start.Endpoint));
    RC_ASSERT(Starts.size() == std::min(Waiting, Usable.size() * 2));
  }));
}
