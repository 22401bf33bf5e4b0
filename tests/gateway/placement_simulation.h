/// @file
/// Gateways that place items on engines, on simulated time.

#ifndef CAMPHORNOTCH_TESTS_GATEWAY_PLACEMENT_SIMULATION_H
#define CAMPHORNOTCH_TESTS_GATEWAY_PLACEMENT_SIMULATION_H

#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/work_estimate_base.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <utility>

namespace camphornotch {

/// What is simulated; the same seed gives the same engines and items.
struct PlacementCase {
  EndpointChoice Choice;
  uint64_t Seed = 1;
  size_t Gateways = 30;
  size_t Engines = 37;
  /// Engines that are slowed 3.5 to 6 times.
  size_t Slowed = 20;
  size_t Items = 200;
  /// Time over which the items arrive.
  Millis Arrivals{0};
  /// Whether items move to faster engines.
  bool Moves = false;
  /// Whether one loader reports a pace of 1 ms and no work.
  bool WrongReports = false;
};

/// When items ended, from their arrival on.
struct PlacementResult {
  double MeanMs = 0;
  double P90Ms = 0;
  double LastMs = 0;
  int64_t Moves = 0;
  /// Most items that one engine had at once.
  size_t MostAtOnce = 0;
};

/// Engines share their time among up to six runs and queue the others. Reports
/// are made every 200 ms and arrive 200 ms later.
class PlacementSimulation {
public:
  explicit PlacementSimulation(const PlacementCase &Case)
      : Case(Case), Random(Case.Seed), Estimator(12) {
    for (int Count = 0; Count < 500; ++Count) {
      const double Length = this->drawLength();
      this->Estimator.learn("r", this->drawHint(Length), Length);
    }
    this->makeEngines();
    this->makeItems();
    for (size_t Index = 0; Index < Case.Gateways; ++Index)
      this->Pools.push_back(this->makePool());
  }

  PlacementResult run() {
    for (; this->Unfinished > 0; this->Now += Step) {
      this->report();
      for (size_t Index = 0; Index < this->Items.size(); ++Index)
        this->place(Index);
      this->advanceEngines();
      this->requeueStalled();
      if (this->Case.Moves && this->Now.Count % 50 == 0)
        for (size_t Gateway = 0; Gateway < this->Pools.size(); ++Gateway)
          this->moveOne(Gateway);
    }
    std::vector<double> Times;
    for (const Item &Each : this->Items)
      Times.push_back(static_cast<double>((Each.EndedAt - Each.At).Count));
    std::ranges::sort(Times);
    for (const double Time : Times)
      this->Result.MeanMs += Time / static_cast<double>(Times.size());
    this->Result.P90Ms = Times[Times.size() * 9 / 10];
    this->Result.LastMs = Times.back();
    return this->Result;
  }

private:
  static constexpr Millis Step{5};
  static constexpr Millis ReportInterval{200};
  static constexpr int64_t Slots = 6;
  static constexpr size_t None = SIZE_MAX;

  struct Item {
    size_t Gateway = 0;
    Millis At{0};
    int64_t Hint = 0;
    double Length = 0;
    double Made = 0;
    /// The engine that has it.
    size_t Engine = None;
    size_t MovedFrom = None;
    double MadeHere = 0;
    /// When it got its last event at the engine; 0: it got none there.
    Millis LastEventAt{0};
    Millis StartedAt{0};
    Millis EndedAt{-1};
  };

  struct Engine {
    Address ListenAddress;
    double EventMs = 0;
    /// Items in the order of their arrival; the first six run.
    std::deque<size_t> Runs;
    /// Runs of other users that do not end.
    size_t Background = 0;
    std::deque<EngineLoad> Reports;

    double paceMs() const {
      const size_t Running =
          std::min<size_t>(this->Runs.size() + this->Background, Slots);
      return this->EventMs * (0.9 + 0.1 * static_cast<double>(Running));
    }
  };

  double drawLength() {
    const double Mean = this->Random() % 12 == 0 ? 45.0 : 9.0;
    std::exponential_distribution<double> Spread(1 / Mean);
    return std::clamp(std::ceil(Spread(this->Random)), 1.0, 148.0);
  }

  int64_t drawHint(double Length) {
    std::normal_distribution<double> Off(0, 0.8);
    const double Hint = Length * std::exp(Off(this->Random));
    return this->Random() % 2 == 0 ? std::max(1L, std::lround(Hint)) : 0;
  }

  void makeEngines() {
    std::uniform_real_distribution<double> Healthy(25, 33);
    std::uniform_real_distribution<double> Factor(3.5, 6);
    for (size_t Index = 0; Index < this->Case.Engines; ++Index) {
      Engine Each;
      Each.ListenAddress = Address{"10.0." + std::to_string(Index / 200) + "." +
                                       std::to_string(Index % 200),
                                   80};
      Each.EventMs = Healthy(this->Random);
      Each.Background = this->Random() % 3;
      this->Engines.push_back(std::move(Each));
    }
    std::vector<size_t> Order(this->Case.Engines);
    for (size_t Index = 0; Index < Order.size(); ++Index)
      Order[Index] = Index;
    std::ranges::shuffle(Order, this->Random);
    for (size_t Index = 0; Index < this->Case.Slowed; ++Index)
      this->Engines[Order[Index]].EventMs *= Factor(this->Random);
  }

  void makeItems() {
    for (size_t Index = 0; Index < this->Case.Items; ++Index) {
      Item Each;
      Each.Gateway = this->Random() % this->Case.Gateways;
      Each.Length = this->drawLength();
      Each.Hint = this->drawHint(Each.Length);
      Each.At = this->Now +
                Millis{static_cast<int64_t>(
                    this->Random() %
                    static_cast<uint64_t>(this->Case.Arrivals.Count + 1))};
      this->Items.push_back(Each);
    }
    this->Unfinished = this->Items.size();
  }

  std::unique_ptr<EndpointPool> makePool() const {
    auto Pool = std::make_unique<EndpointPool>(
        Geography{"dc-0", {{"dc-0", "r"}, {"dc-1", "r"}, {"dc-2", "r"}}},
        this->Case.Choice);
    for (size_t Index = 0; Index < this->Engines.size(); ++Index) {
      EndpointRecord Record;
      Record.Id = PlacementSimulation::idOf(Index);
      Record.Service = "s";
      Record.DataCentre = "dc-" + std::to_string(Index % 3);
      Record.ListenAddress = this->Engines[Index].ListenAddress;
      Record.Slots = Slots;
      Pool->put(std::move(Record));
    }
    return Pool;
  }

  static EndpointId idOf(size_t Engine) {
    return EndpointId{std::to_string(Engine)};
  }

  /// Makes the reports and delivers those of one interval ago.
  void report() {
    if (this->Now.Count % ReportInterval.Count != 0)
      return;
    for (Engine &Each : this->Engines) {
      const size_t Runs = Each.Runs.size() + Each.Background;
      EngineLoad Load;
      Load.Running = std::min<int64_t>(static_cast<int64_t>(Runs), Slots);
      Load.Waiting = static_cast<int64_t>(Runs) - Load.Running;
      Load.PaceMs = Runs > 0 ? std::lround(Each.paceMs()) : 0;
      if (this->Case.WrongReports && &Each == &this->Engines.front())
        Load = EngineLoad{0, 0, "", {}, 1, 0, 0};
      Each.Reports.push_back(Load);
      if (Each.Reports.size() < 2)
        Each.Reports.push_back(Load);
      for (const auto &Pool : this->Pools)
        Pool->loadReported(Each.ListenAddress, Each.Reports.front(), this->Now);
      Each.Reports.pop_front();
    }
  }

  ExpectedWork workOf(const Item &Each) {
    const double Done = std::floor(Each.Made);
    return ExpectedWork{WorkUnit::Events,
                        this->Estimator.remaining({"r", Each.Hint, Done}),
                        0,
                        this->Estimator.typicalRemaining("r"),
                        0,
                        this->Random()};
  }

  EndpointQuery queryFor(const Item &Each) {
    return EndpointQuery{"s", "", 0, {}, 1, this->workOf(Each)};
  }

  void place(size_t Index) {
    Item &Each = this->Items[Index];
    if (Each.EndedAt.Count >= 0 || Each.Engine != None || Each.At > this->Now)
      return;
    EndpointPool &Pool = *this->Pools[Each.Gateway];
    EndpointQuery Query = this->queryFor(Each);
    if (Each.MovedFrom != None)
      Query.ExcludedEndpoints = {PlacementSimulation::idOf(Each.MovedFrom)};
    const EndpointState *Chosen = Pool.choose(Query, this->Now);
    if (Chosen == nullptr)
      return;
    Each.Engine = std::stoul(Chosen->Record.Id.Value);
    Each.MadeHere = 0;
    Each.LastEventAt = Millis{0};
    Each.StartedAt = this->Now;
    Pool.workStarted(Chosen->Record.Id);
    std::deque<size_t> &Runs = this->Engines[Each.Engine].Runs;
    Runs.push_back(Index);
    this->Result.MostAtOnce = std::max(this->Result.MostAtOnce, Runs.size());
  }

  void advanceEngines() {
    for (Engine &Each : this->Engines) {
      const double Events = static_cast<double>(Step.Count) / Each.paceMs();
      const size_t Running =
          std::min<size_t>(Each.Runs.size(), Slots - Each.Background);
      std::vector<size_t> Ended;
      for (size_t Place = 0; Place < Running; ++Place)
        if (this->advance(this->Items[Each.Runs[Place]], Events))
          Ended.push_back(Each.Runs[Place]);
      for (const size_t Index : Ended)
        std::erase(Each.Runs, Index);
    }
  }

  /// @return whether the item ended.
  bool advance(Item &Each, double Events) {
    EndpointPool &Pool = *this->Pools[Each.Gateway];
    const EndpointId Engine = PlacementSimulation::idOf(Each.Engine);
    const bool HasEvent =
        std::floor(Each.Made + Events) > std::floor(Each.Made);
    Each.Made += Events;
    Each.MadeHere += Events;
    if (HasEvent) {
      if (Each.LastEventAt > Millis{0})
        Pool.paceMeasured(Engine, this->Now - Each.LastEventAt, this->Now);
      Each.LastEventAt = this->Now;
    }
    if (Each.Made < Each.Length)
      return false;
    Pool.workEnded(Engine, WorkOutcome::Answered, Millis{0}, this->Now);
    Each.EndedAt = this->Now + Step;
    --this->Unfinished;
    return true;
  }

  /// Takes an item off its engine, to be placed again.
  void takeBack(size_t Index, WorkOutcome Why) {
    Item &Each = this->Items[Index];
    this->Pools[Each.Gateway]->workEnded(PlacementSimulation::idOf(Each.Engine),
                                         Why, Millis{0}, this->Now);
    std::erase(this->Engines[Each.Engine].Runs, Index);
    Each.MovedFrom = std::exchange(Each.Engine, None);
  }

  /// Takes back the items without an event for 1,200 ms, as ItemTask does.
  void requeueStalled() {
    for (size_t Index = 0; Index < this->Items.size(); ++Index) {
      const Item &Each = this->Items[Index];
      const Millis Last = std::max(Each.LastEventAt, Each.StartedAt);
      if (Each.EndedAt.Count < 0 && Each.Engine != None &&
          this->Now - Last > Millis{1'200})
        this->takeBack(Index, WorkOutcome::TimedOut);
    }
  }

  /// Moves one item of a gateway, as ItemTask does.
  void moveOne(size_t Gateway) {
    for (size_t Index = 0; Index < this->Items.size(); ++Index) {
      Item &Each = this->Items[Index];
      if (Each.Gateway != Gateway || Each.EndedAt.Count >= 0 ||
          Each.Engine == None || Each.MadeHere < 3)
        continue;
      EndpointPool &Pool = *this->Pools[Gateway];
      const EndpointId Engine = PlacementSimulation::idOf(Each.Engine);
      if (Pool.findFaster(Engine, this->queryFor(Each), this->Now) == nullptr)
        continue;
      this->takeBack(Index, WorkOutcome::Abandoned);
      ++this->Result.Moves;
      return;
    }
  }

  PlacementCase Case;
  std::mt19937_64 Random;
  WorkEstimator Estimator;
  Millis Now = seconds(100);
  std::vector<Engine> Engines;
  std::vector<Item> Items;
  std::vector<std::unique_ptr<EndpointPool>> Pools;
  size_t Unfinished = 0;
  PlacementResult Result;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_GATEWAY_PLACEMENT_SIMULATION_H
