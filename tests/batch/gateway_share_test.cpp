/// @file
/// Shares of accounts whose submissions are at different gateways, played
/// without a network.

#include "order_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <random>
#include <utility>

using namespace camphornotch;

namespace {

constexpr int Engines = 20;
constexpr int64_t EngineSlots = 6;
constexpr int SmallAccounts = 4;
/// Items that each submission keeps waiting.
constexpr size_t Backlog = 30;
constexpr int64_t StepMs = 10;
constexpr int64_t EventMs = 40;
constexpr int64_t PlanEveryMs = 50;
constexpr int64_t ReportEveryMs = 250;
constexpr int64_t ExchangeEveryMs = 500;
constexpr int64_t EndMs = 40'000;
/// Work is counted from here on; all accounts have items waiting throughout.
constexpr int64_t CountFromMs = 10'000;

/// A gateway and its view of the engines.
struct PlayedGateway {
  OrderFixture Own;
  int64_t Submissions = 0;
  /// Its accounts; each keeps one submission waiting.
  std::vector<std::string> Accounts;

  explicit PlayedGateway(ItemOrder Order) : Own(Order, Engines, EngineSlots) {}
};

/// Plays gateways that see engines by their totals alone. The large account has
/// a submission at each gateway, each small one at a single gateway.
/// @param Exchange whether gateways learn the totals of accounts, half a second
///   to a second late.
/// @return the work of each account that ended within the counted time.
std::map<std::string, double> playGateways(size_t Gateways, uint32_t Seed,
                                           bool Exchange) {
  std::minstd_rand Random(Seed);
  // A deque, as gateways cannot be moved.
  std::deque<PlayedGateway> All;
  for (size_t Index = 0; Index < Gateways; ++Index) {
    All.emplace_back(FairShareOrder{});
    All.back().Accounts.push_back("large");
  }
  for (int Index = 0; Index < SmallAccounts; ++Index)
    All[Random() % Gateways].Accounts.push_back("small" +
                                                std::to_string(Index));
  struct PlayedRun {
    size_t Gateway;
    ItemStart Start;
    std::string Account;
    int64_t Work;
    int64_t EndsAt;
  };
  std::vector<PlayedRun> Running;
  std::map<EndpointId, int64_t> Taken;
  std::map<std::string, double> Ended{{"large", 0}};
  for (int Index = 0; Index < SmallAccounts; ++Index)
    Ended["small" + std::to_string(Index)] = 0;
  AccountLoads Totals;
  AccountLoads NextTotals;
  const auto Start = [&](size_t Index, int64_t NowMs) {
    OrderFixture &Own = All[Index].Own;
    for (const std::string &Account : All[Index].Accounts) {
      const size_t Waiting = static_cast<size_t>(std::ranges::count_if(
          Own.Scheduler.all(), [&Account](const auto &Each) {
            return Each.second.Account == Account && !Each.second.Running;
          }));
      if (Waiting >= Backlog / 2)
        continue;
      TestSubmission Added{
          "s" + std::to_string(++All[Index].Submissions), Account, {}};
      for (size_t Item = 0; Item < Backlog; ++Item)
        Added.Hints.push_back(static_cast<int64_t>(1 + Random() % 27));
      Own.submit(Added);
    }
    for (const ItemStart &Each : Own.plan()) {
      const ScheduledItem &Item = *Own.Scheduler.find(Each.Key);
      if (Taken[Each.Endpoint] >= EngineSlots) {
        Own.Pool.workEnded(Each.Endpoint, WorkOutcome::Refused, Millis{0},
                           Own.Now);
        Own.Scheduler.requeue(Each.Key, RequeueReason::NotRun, Each.Endpoint,
                              Own.Now);
        continue;
      }
      ++Taken[Each.Endpoint];
      Running.push_back(PlayedRun{Index, Each, Item.Account, Item.LengthHint,
                                  NowMs + Item.LengthHint * EventMs});
    }
  };
  for (int64_t NowMs = 0; NowMs < EndMs; NowMs += StepMs) {
    if (Exchange && NowMs % ExchangeEveryMs == 0) {
      Totals = std::exchange(NextTotals, AccountLoads{});
      for (const PlayedGateway &Each : All)
        for (const auto &[Account, Load] : Each.Own.Scheduler.accountLoads()) {
          NextTotals[Account].Running += Load.Running;
          NextTotals[Account].Waiting += Load.Waiting;
        }
      for (PlayedGateway &Each : All)
        Each.Own.Scheduler.setQuotas(
            accountQuotas(Each.Own.Scheduler.accountLoads(), Totals,
                          Engines * EngineSlots, Random));
    }
    std::vector<size_t> Planning;
    std::erase_if(Running, [&](const PlayedRun &Run) {
      if (Run.EndsAt > NowMs)
        return false;
      --Taken[Run.Start.Endpoint];
      All[Run.Gateway].Own.finish(Run.Start,
                                  ItemEnd{true, static_cast<double>(Run.Work)});
      if (NowMs >= CountFromMs)
        Ended[Run.Account] += static_cast<double>(Run.Work);
      Planning.push_back(Run.Gateway);
      return true;
    });
    for (size_t Index = 0; Index < Gateways; ++Index) {
      OrderFixture &Own = All[Index].Own;
      Own.Now = seconds(100) + Millis{NowMs};
      const auto Phase = static_cast<int64_t>(Index) * StepMs;
      if ((NowMs + Phase) % PlanEveryMs == 0)
        Planning.push_back(Index);
      if ((NowMs + Phase) % ReportEveryMs == 0)
        for (const auto &[Id, State] : Own.Pool.all()) {
          EngineLoad Load;
          Load.Running = Taken[Id];
          Load.Versions["m"] = 5;
          Own.Pool.loadReported(State.Record.ListenAddress, Load, Own.Now);
        }
    }
    for (const size_t Index : Planning)
      Start(Index, NowMs);
  }
  return Ended;
}

/// The target: no account gets less than this part of what all get on average
/// while it has work waiting.
constexpr double LeastPart = 0.25;

/// Plays gateways and prints each account's part of the mean.
/// @return the least part.
double leastPart(size_t Gateways, uint32_t Seed, bool Exchange) {
  const auto Ended = playGateways(Gateways, Seed, Exchange);
  double Sum = 0;
  double Least = 1e9;
  for (const auto &[Account, Work] : Ended) {
    Sum += Work;
    Least = std::min(Least, Work);
  }
  const double Mean = Sum / static_cast<double>(Ended.size());
  cr_log_info(
      "%zu gateways, seed %u, exchange %d: work %.0f, large %.3f of the mean, "
      "least %.3f",
      Gateways, Seed, Exchange ? 1 : 0, Sum, Ended.at("large") / Mean,
      Least / Mean);
  return Least / Mean;
}

} // namespace

// Guards against small accounts that starve beside one whose submissions are at
// all gateways.
Test(gatewayShare, largeAccountAtAllGateways_leavesOthersTheirShare) {
  for (const size_t Gateways : {30, 100, 300})
    for (const uint32_t Seed : {1, 2, 3})
      cr_assert_geq(leastPart(Gateways, Seed, true), LeastPart);
}

// Shows what the exchange of totals is for; a figure, not a bound.
Test(gatewayShare, withoutExchange_isPrinted) {
  for (const size_t Gateways : {30, 100, 300})
    leastPart(Gateways, 1, false);
}
