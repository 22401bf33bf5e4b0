/// @file
/// Slopes of the endpoint table, of decisions, open requests and slots.

#include "capacity/probes.h"
#include "core/routing/rollout_scheduler_base.h"
#include "core/routing/route_controller_base.h"

#include <memory>
#include <string>

namespace camphornotch::bench {

namespace {

/// Numbers of endpoints, up to the target's.
constexpr int EndpointCounts[] = {625, 1250, 2500, 5000};
/// Numbers of requests and slots, up to one trainer's step.
constexpr int WorkCounts[] = {1024, 2048, 4096, 8192};
/// Data centres of the target.
constexpr int CentreCount = 14;
/// Decisions timed at each number of endpoints.
constexpr int Decisions = 20000;
/// The time of all events.
constexpr Millis Now{1000};

/// @param Count how many endpoints.
/// @return a table with that many, spread over the data centres.
std::unique_ptr<EndpointTable> makeTable(int Count) {
  auto Table =
      std::make_unique<EndpointTable>(DataCentreId{"dc0"}, RegionId{"r0"});
  for (int Number = 0; Number < Count; ++Number) {
    const int Centre = Number % CentreCount;
    EndpointInfo Info;
    Info.Endpoint.Value = "engine-" + std::to_string(Number);
    Info.Host.Value = "host-" + std::to_string(Number);
    Info.Serves = "grind";
    Info.DataCentre.Value = "dc" + std::to_string(Centre);
    Info.Region.Value = "r" + std::to_string(Centre % 4);
    const EndpointIndex Index = Table->upsert(Info);
    Table->setReachable(Index, true);
    wire::LoadFigure Load;
    Load.Slots = 16;
    Load.Running = Number % 16;
    Load.TokenMicros = 9000 + Number % 1000;
    Table->noteLoad(Index, Load, Now);
  }
  return Table;
}

/// @return memory of one endpoint.
Slope endpointMemory() {
  std::vector<Point> Points;
  for (const int Count : EndpointCounts) {
    const double Before = heapBytes();
    const auto Table = makeTable(Count);
    Points.push_back({static_cast<double>(Count), heapBytes() - Before});
  }
  return fitSlope("endpoint_memory", "bytes/endpoint", Points);
}

/// @param Name of the slope.
/// @param Policy how to choose.
/// @param Affinity key of the requests.
/// @return time of one decision against the number of endpoints.
Slope decisionTime(const std::string &Name, const ChoicePolicy &Policy,
                   const std::string &Affinity) {
  std::vector<Point> Points;
  for (const int Count : EndpointCounts) {
    const auto Table = makeTable(Count);
    ChoicePolicy Chosen = Policy;
    RandomSource Random(1);
    ChoiceRequest Request;
    Request.Serves = "grind";
    Request.ExpectedTokens = 100;
    Request.Affinity = Affinity;
    const double Micros = leastMicros([&] {
      for (int Number = 0; Number < Decisions; ++Number)
        chooseEndpoint(Chosen, *Table, Request, Now, Random);
    });
    Points.push_back({static_cast<double>(Count), Micros / Decisions});
  }
  return fitSlope(Name, "us/decision/endpoint", Points);
}

/// @return time of taking one figure into the table.
Slope figureTime() {
  std::vector<Point> Points;
  const auto Table = makeTable(5000);
  wire::LoadFigure Load;
  Load.Slots = 16;
  Load.TokenMicros = 9000;
  for (const int Count : {10000, 20000, 40000, 80000}) {
    const double Micros = leastMicros([&] {
      for (int Number = 0; Number < Count; ++Number) {
        const EndpointIndex Index{static_cast<uint32_t>(Number % 5000)};
        Table->noteLoad(Index, Load, Now);
      }
    });
    Points.push_back({static_cast<double>(Count), Micros});
  }
  return fitSlope("figure_time", "us/figure", Points);
}

/// @param Number of the request.
/// @return a short completion.
RouteSpec shortRequest(int64_t Number) {
  RouteSpec Spec;
  Spec.Request.Value = Number;
  Spec.Serves = "grind";
  Spec.ExpectedTokens = 40;
  Spec.Bytes = 400;
  Spec.Repeatable = true;
  return Spec;
}

/// Opens requests and leaves them open.
/// @param Table the endpoints.
/// @param WorkIds numbers for attempts.
/// @param Count how many.
/// @return the controller that holds them.
std::unique_ptr<RouteController>
openRequests(EndpointTable &Table, WorkIdSource &WorkIds, int Count) {
  auto Controller =
      std::make_unique<RouteController>(RouteSettings{}, Table, WorkIds, 1);
  for (int Number = 0; Number < Count; ++Number)
    Controller->handle(RouteRequested{shortRequest(Number)}, Now);
  return Controller;
}

/// Adds memory and time of open requests.
/// @param Out takes the slopes.
void requestSlopes(std::vector<Slope> &Out) {
  std::vector<Point> Memory;
  std::vector<Point> Times;
  for (const int Count : WorkCounts) {
    const auto Table = makeTable(5000);
    WorkIdSource WorkIds;
    const auto Size = static_cast<double>(Count);
    Times.push_back(
        {Size, leastMicros([&] { openRequests(*Table, WorkIds, Count); })});
    const double Before = heapBytes();
    const auto Controller = openRequests(*Table, WorkIds, Count);
    Memory.push_back({Size, heapBytes() - Before});
  }
  Out.push_back(fitSlope("open_request_memory", "bytes/request", Memory));
  Out.push_back(fitSlope("open_request_time", "us/request", Times));
}

/// @param Number of the slot.
/// @return a slot of a step with groups of eight.
RolloutSpec slotSpec(int64_t Number) {
  RolloutSpec Spec;
  Spec.Slot.Value = Number;
  Spec.Trainer.Value = "trainer-1";
  Spec.Model = "grind";
  Spec.Step = 1;
  Spec.Group = "group-" + std::to_string(Number / 8);
  Spec.MaxTokens = 4000;
  return Spec;
}

/// Asks for slots, and leaves them running or waiting.
/// @param Table the endpoints.
/// @param WorkIds numbers for attempts.
/// @param Count how many.
/// @return the scheduler that holds them.
std::unique_ptr<RolloutScheduler>
scheduleSlots(EndpointTable &Table, WorkIdSource &WorkIds, int Count) {
  auto Scheduler =
      std::make_unique<RolloutScheduler>(RolloutSettings{}, Table, WorkIds, 1);
  for (int Number = 0; Number < Count; ++Number)
    Scheduler->handle(SlotNeeded{slotSpec(Number)}, Now);
  return Scheduler;
}

/// Adds memory and time of scheduled slots, and time of a tick over them.
/// @param Out takes the slopes.
void slotSlopes(std::vector<Slope> &Out) {
  std::vector<Point> Memory;
  std::vector<Point> Times;
  std::vector<Point> Ticks;
  for (const int Count : WorkCounts) {
    WorkIdSource WorkIds;
    const auto Size = static_cast<double>(Count);
    Times.push_back({Size, leastMicros([&] {
                       const auto Table = makeTable(5000);
                       scheduleSlots(*Table, WorkIds, Count);
                     })});
    const auto Table = makeTable(5000);
    const double Before = heapBytes();
    const auto Scheduler = scheduleSlots(*Table, WorkIds, Count);
    Memory.push_back({Size, heapBytes() - Before});
    Millis TickAt = Now;
    Ticks.push_back({Size, leastMicros([&] {
                       TickAt += seconds(1);
                       Scheduler->handle(RolloutTick{}, TickAt);
                     })});
  }
  Out.push_back(fitSlope("slot_memory", "bytes/slot", Memory));
  Out.push_back(fitSlope("slot_time", "us/slot", Times));
  Out.push_back(fitSlope("scheduler_tick", "us/slot", Ticks));
}

} // namespace

std::vector<Slope> routingSlopes() {
  std::vector<Slope> Out;
  Out.push_back(endpointMemory());
  Out.push_back(figureTime());
  Out.push_back(decisionTime("decision_probing", ProbingPolicy{}, ""));
  Out.push_back(
      decisionTime("decision_probing_affine", ProbingPolicy{}, "prompt"));
  Out.push_back(
      decisionTime("decision_least_outstanding", LeastOutstandingPolicy{}, ""));
  requestSlopes(Out);
  slotSlopes(Out);
  return Out;
}

} // namespace camphornotch::bench
