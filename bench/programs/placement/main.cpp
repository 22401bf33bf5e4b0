/// @file
/// Processor time of placement decisions, by endpoints and waiting items.
///
/// Prints one JSON line for each policy, number of endpoints and decision; see
/// bench/placement.

#include "base/text_func.h"
#include "core/batch/item_scheduler_base.h"
#include "core/gateway/work_estimate_base.h"

#include <chrono>
#include <cstdio>
#include <functional>

using namespace camphornotch;

namespace {

/// How often each decision is measured.
constexpr int Rounds = 2'000;
constexpr int64_t Slots = 6;
/// Slots of full endpoints are exceeded by this many waiting requests.
constexpr int64_t QueueLength = 40;

/// @return endpoints in three data centres of two regions, with reports.
/// @param Full whether they all have a long queue.
std::unique_ptr<EndpointPool> makePool(const char *Policy, int64_t Endpoints,
                                       bool Full, Millis Now) {
  auto Pool = std::make_unique<EndpointPool>(
      Geography{"dc-0", {{"dc-0", "r1"}, {"dc-1", "r1"}, {"dc-2", "r2"}}},
      parseEndpointChoice(Policy));
  for (int64_t Index = 0; Index < Endpoints; ++Index) {
    EndpointRecord Record;
    Record.Id = EndpointId{concat("engine-", Index)};
    Record.Service = "s";
    Record.DataCentre = concat("dc-", Index % 3);
    Record.ListenAddress = Address{
        concat("10.", Index / 65'536, ".", Index / 256 % 256, ".", Index % 256),
        80};
    Record.Slots = Slots;
    Record.Versions["m"] = 4;
    const Address ListenAddress = Record.ListenAddress;
    Pool->put(std::move(Record));
    EngineLoad Load;
    Load.Running = Full ? Slots : Index % Slots;
    Load.Waiting = Full ? QueueLength : 0;
    Load.PaceMs = Index % 2 == 0 ? 35 : 150;
    Load.Versions["m"] = 4;
    Pool->loadReported(ListenAddress, Load, Now);
  }
  return Pool;
}

/// Prints the mean and the 99 % time of a decision, in microseconds.
void measure(const char *Policy, int64_t Endpoints, int64_t Items,
             const char *Decision, int Repeats,
             const std::function<void(uint64_t)> &Decide) {
  using Clock = std::chrono::steady_clock;
  std::vector<double> Times;
  double Sum = 0;
  for (int Round = 0; Round < Repeats; ++Round) {
    const Clock::time_point Begin = Clock::now();
    Decide(static_cast<uint64_t>(Round));
    const std::chrono::duration<double, std::micro> Took = Clock::now() - Begin;
    Times.push_back(Took.count());
    Sum += Took.count();
  }
  std::ranges::sort(Times);
  std::printf("{\"policy\":\"%s\",\"endpoints\":%ld,\"items\":%ld,"
              "\"decision\":\"%s\",\"mean_us\":%.2f,\"p99_us\":%.2f}\n",
              Policy, static_cast<long>(Endpoints), static_cast<long>(Items),
              Decision, Sum / Repeats, Times[Times.size() * 99 / 100]);
}

/// @return a scheduler with one submission of that many items.
std::unique_ptr<ItemScheduler> makeScheduler(int64_t Items,
                                             const WorkEstimator &Estimator) {
  auto Draw = std::make_shared<uint64_t>(0);
  auto Scheduler = std::make_unique<ItemScheduler>(
      WantedGroupsFirst{}, [&Estimator, Draw](const ScheduledItem &Item) {
        return ExpectedWork{
            WorkUnit::Events,
            Estimator.remaining({Item.RouteName, Item.LengthHint, 0}),
            0,
            Estimator.typicalRemaining(Item.RouteName),
            Item.PromptTokens,
            (*Draw)++};
      });
  SubmissionState State;
  State.Record.Id = "submission";
  State.Record.Model = "m";
  State.Record.MinVersion = 4;
  for (int64_t Index = 0; Index < Items; ++Index) {
    wire::BatchItemField Item;
    Item.Id = concat("item-", Index);
    Item.Group = concat("group-", Index / 8);
    Item.LengthHint = 1 + Index % 60;
    State.Record.Items.push_back(std::move(Item));
  }
  Route Rollout;
  Rollout.Name = "r";
  Rollout.Services = {{"s", 1}};
  Scheduler->add(State, Rollout);
  return Scheduler;
}

void measureChoices(const char *Policy, int64_t Endpoints, Millis Now) {
  const auto Free = makePool(Policy, Endpoints, false, Now);
  const auto Full = makePool(Policy, Endpoints, true, Now);
  const ExpectedWork Work{WorkUnit::Events, 20, 5, 10, 400, 0};
  const auto QueryOf = [&Work](uint64_t Draw, int64_t FreeSlots) {
    EndpointQuery Query{"s", "m", 4, {}, FreeSlots, Work};
    Query.Work.Draw = Draw;
    return Query;
  };
  measure(Policy, Endpoints, 1, "item", Rounds,
          [&](uint64_t Draw) { Free->choose(QueryOf(Draw, 1), Now); });
  measure(Policy, Endpoints, 1, "request", Rounds,
          [&](uint64_t Draw) { Free->choose(QueryOf(Draw, 0), Now); });
  measure(Policy, Endpoints, 1, "item, all full", Rounds,
          [&](uint64_t Draw) { Full->choose(QueryOf(Draw, 1), Now); });
  measure(Policy, Endpoints, 1, "move", Rounds, [&](uint64_t Draw) {
    Free->findFaster(EndpointId{"engine-1"}, QueryOf(Draw, 0), Now);
  });
  measure(Policy, Endpoints, 1, "refusal, all late", Rounds,
          [&](uint64_t Draw) {
            Full->canEndBy(QueryOf(Draw, 0), Now + Millis{100}, Now);
          });
  measure(Policy, Endpoints, 1, "report", Rounds, [&](uint64_t Draw) {
    const auto Index = static_cast<int64_t>(Draw) % Endpoints;
    const EndpointState *State =
        Free->find(EndpointId{concat("engine-", Index)});
    Free->loadReported(State->Record.ListenAddress, *State->Load,
                       Now + Millis{static_cast<int64_t>(Draw)});
  });
}

void measurePlans(const char *Policy, int64_t Endpoints, Millis Now,
                  const WorkEstimator &Estimator) {
  constexpr int PlanRounds = 5;
  for (const int64_t Items : {1, 100, 10'000}) {
    std::vector<std::unique_ptr<EndpointPool>> Pools;
    std::vector<std::unique_ptr<ItemScheduler>> Schedulers;
    for (int Round = 0; Round < PlanRounds; ++Round) {
      Pools.push_back(makePool(Policy, Endpoints, false, Now));
      Schedulers.push_back(makeScheduler(Items, Estimator));
    }
    size_t Placed = 0;
    measure(Policy, Endpoints, Items, "plan, all items", PlanRounds,
            [&](uint64_t Round) {
              Placed = Schedulers[Round]->plan(*Pools[Round], Now).size();
            });
    std::printf("{\"policy\":\"%s\",\"endpoints\":%ld,\"items\":%ld,"
                "\"decision\":\"placed\",\"count\":%zu}\n",
                Policy, static_cast<long>(Endpoints), static_cast<long>(Items),
                Placed);
  }
}

} // namespace

int main() {
  const Millis Now = seconds(100);
  WorkEstimator Estimator(12);
  for (int Count = 0; Count < 1'000; ++Count)
    Estimator.learn("r", Count % 60, 1 + Count % 60);
  measure("any", 0, 1, "estimate", Rounds, [&](uint64_t Draw) {
    Estimator.remaining({"r", static_cast<int64_t>(Draw % 60), 3});
  });
  measure("any", 0, 1, "learn", Rounds, [&](uint64_t Draw) {
    Estimator.learn("r", 20, 1 + static_cast<double>(Draw % 60));
  });
  for (const char *Policy : {"expected_time", "remaining_work"})
    for (const int64_t Endpoints : {30, 350, 5'000}) {
      measureChoices(Policy, Endpoints, Now);
      measurePlans(Policy, Endpoints, Now, Estimator);
    }
}
