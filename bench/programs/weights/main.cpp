/// @file
/// Measures how a new weight version reaches the engines of one model: real
/// weight controllers, a rate-limited store and engines on virtual time.

#include "base/hash_func.h"
#include "core/agent/weight_base.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace camphornotch;

/// One case that is measured.
struct Scenario {
  /// Engines of the model.
  int Engines = 10;
  /// Seconds that the store needs for one engine alone.
  double LoadSeconds = 0.2;
  /// Loads that the store serves at full speed at once; more share that.
  double StoreLoads = 1e9;
  /// Swaps in a hundred that fail.
  int FailPercent = 0;
  /// When engines swap.
  SwapPolicy Policy = SwapStaggered{};
  /// The policy's name.
  const char *Name = "staggered";
};

/// What was seen in one case.
struct Outcome {
  /// When the last engine had the version.
  Millis Done;
  /// When half of the engines had it.
  Millis Half;
  /// Engines that swapped at once at most.
  int Swapping = 0;
};

/// Versions announced one after the other; the last one is measured.
constexpr int64_t Versions = 4;
/// Time between steps of the virtual clock.
constexpr Millis Step{10};
/// Time without generation at the end of each swap.
constexpr Millis StallTime{100};
/// The case is given up after this.
constexpr Millis Limit = seconds(300);
/// Seed of failures and of the moments at which the news arrives.
constexpr unsigned Seed = 20261204;

/// One engine with its controller.
struct Engine {
  /// The controller under test.
  WeightController Weights;
  /// The order under way; 0: none.
  int64_t Order = 0;
  /// Seconds of loading left.
  double Left = 0;
  /// When the swap after the load is over; Never: still loading.
  Millis StallEnd = Never;
  /// The version that it has.
  WeightVersion Has{1};
  /// The version that it was ordered to load.
  WeightVersion Ordered{1};
  /// When the news arrives.
  Millis HeardAt;
  /// Its place in the order of swapping.
  int Rank = 0;
  /// Whether it was told.
  bool Told = false;
};

/// Carries out what a controller asked for.
void carry(Engine &Each, const std::vector<WeightAction> &Actions,
           const Scenario &Case, Millis Now) {
  for (const WeightAction &Action : Actions) {
    if (const auto *Ask = std::get_if<AskVersion>(&Action)) {
      carry(Each,
            Each.Weights.handle(VersionAnswered{Ask->Query, Each.Has}, Now),
            Case, Now);
    }
    if (const auto *Order = std::get_if<SendOrder>(&Action)) {
      Each.Order = Order->Order;
      Each.Ordered = Order->Version;
      Each.Left = Case.LoadSeconds;
      Each.StallEnd = Never;
    }
  }
}

/// Moves an engine's swap on.
void advance(Engine &Each, const Scenario &Case, double Share, Millis Now,
             std::mt19937 &Random) {
  if (Each.Order == 0)
    return;
  if (Each.StallEnd == Never) {
    Each.Left -= Share * static_cast<double>(Step.Count) / 1000.0;
    if (Each.Left <= 0)
      Each.StallEnd = Now + StallTime;
    return;
  }
  if (Now < Each.StallEnd)
    return;
  const int64_t Order = std::exchange(Each.Order, 0);
  const bool Fails = static_cast<int>(Random() % 100) < Case.FailPercent;
  Each.Has = Fails ? Each.Has : Each.Ordered;
  const WeightEvent Event = Fails ? WeightEvent{OrderFailed{Order}}
                                  : WeightEvent{OrderDone{Order, Each.Has}};
  carry(Each, Each.Weights.handle(Event, Now), Case, Now);
}

/// @param Case a case.
/// @return its engines, ready for the news.
std::vector<Engine> makeEngines(const Scenario &Case) {
  std::vector<Engine> Engines;
  Engines.reserve(Case.Engines);
  for (int Index = 0; Index < Case.Engines; ++Index) {
    WeightSettings Settings;
    Settings.Endpoint = EndpointId{absl::StrFormat("engine-%d", Index)};
    Settings.Policy = Case.Policy;
    Settings.OrderTimeout = seconds(60);
    Engine Each{WeightController(Settings)};
    carry(Each, Each.Weights.handle(WeightTick{}, Millis{0}), Case, Millis{0});
    Each.Weights.handle(OrdersAllowed{LogOffset{1}}, Millis{0});
    Engines.push_back(std::move(Each));
  }
  return Engines;
}

/// Prepares the news of a version.
/// @param Engines the engines; get a rank and a time at which they hear.
/// @param Version the version.
/// @param Now the present.
/// @param Random draws the times.
void announce(std::vector<Engine> &Engines, WeightVersion Version, Millis Now,
              std::mt19937 &Random) {
  std::vector<std::pair<uint64_t, size_t>> Order;
  for (size_t Index = 0; Index < Engines.size(); ++Index) {
    const std::string Name = absl::StrFormat("engine-%d", Index);
    const uint64_t Score = rendezvousScore(std::to_string(Version.Value), Name);
    Order.emplace_back(Score, Index);
  }
  std::sort(Order.rbegin(), Order.rend());
  for (size_t Rank = 0; Rank < Order.size(); ++Rank) {
    Engine &Each = Engines[Order[Rank].second];
    Each.Rank = static_cast<int>(Rank);
    Each.HeardAt = Now + Millis{static_cast<int64_t>(Random() % 1000)};
    Each.Told = false;
  }
}

/// Moves one engine on by a step.
void step(Engine &Each, const Scenario &Case, WeightVersion Version,
          double Share, Millis Now, std::mt19937 &Random) {
  if (!Each.Told && Now >= Each.HeardAt) {
    Each.Told = true;
    const WeightsAnnounced News{Version, "", Case.Engines, Each.Rank};
    carry(Each, Each.Weights.handle(News, Now), Case, Now);
  }
  advance(Each, Case, Share, Now, Random);
  if (Now >= Each.Weights.nextDeadline())
    carry(Each, Each.Weights.handle(WeightTick{}, Now), Case, Now);
}

/// Brings one version to all engines.
/// @param Engines the engines.
/// @param Case the case.
/// @param Version the version.
/// @param Start the present.
/// @param Random draws failures.
/// @return what was seen.
Outcome spread(std::vector<Engine> &Engines, const Scenario &Case,
               WeightVersion Version, Millis Start, std::mt19937 &Random) {
  Outcome Seen;
  Seen.Half = Never;
  announce(Engines, Version, Start, Random);
  for (Millis Now = Start; Now < Start + Limit; Now += Step) {
    const auto Loading =
        std::count_if(Engines.begin(), Engines.end(), [](const Engine &Each) {
          return Each.Order != 0 && Each.StallEnd == Never;
        });
    const double Share =
        std::min(1.0, Case.StoreLoads / std::max<double>(1, Loading));
    int Swapping = 0;
    int Have = 0;
    for (Engine &Each : Engines) {
      step(Each, Case, Version, Share, Now, Random);
      Swapping += Each.Order != 0 ? 1 : 0;
      Have += Each.Has == Version ? 1 : 0;
    }
    Seen.Swapping = std::max(Seen.Swapping, Swapping);
    Seen.Done = Now - Start;
    if (2 * Have >= Case.Engines)
      Seen.Half = std::min(Seen.Half, Seen.Done);
    if (Have == Case.Engines)
      break;
  }
  return Seen;
}

/// Runs one case.
/// @param Case the case.
/// @return what was seen with its last version.
Outcome run(const Scenario &Case) {
  std::mt19937 Random(Seed);
  std::vector<Engine> Engines = makeEngines(Case);
  Outcome Seen;
  for (int64_t Version = 2; Version < 2 + Versions; ++Version) {
    const Millis Start = Limit * Version;
    Seen = spread(Engines, Case, WeightVersion{Version}, Start, Random);
  }
  return Seen;
}

/// Runs and prints one case.
/// @param Case the case.
void report(const Scenario &Case) {
  const Outcome Seen = run(Case);
  const std::string Line = absl::StrFormat(
      R"({"scenario":"weights","engines":%d,"policy":"%s","load_s":%.1f,)"
      R"("store_loads":%.0f,"fail_percent":%d,"half_ms":%d,"done_ms":%d,)"
      R"("swapping_percent":%.1f,"seed":%d})",
      Case.Engines, Case.Name, Case.LoadSeconds, Case.StoreLoads,
      Case.FailPercent, Seen.Half.Count, Seen.Done.Count,
      100.0 * Seen.Swapping / Case.Engines, Seed);
  std::puts(Line.c_str());
}

/// Runs one deployment under every policy.
/// @param Engines how many engines.
/// @param StoreLoads loads that the store serves at full speed at once.
/// @param FailPercent swaps in a hundred that fail.
void reportAll(int Engines, double StoreLoads, int FailPercent) {
  const std::pair<const char *, SwapPolicy> Policies[] = {
      {"all_at_once", SwapAllAtOnce{}},
      {"staggered_25", SwapStaggered{.MaxSwappingPercent = 25}},
      {"staggered_50", SwapStaggered{.MaxSwappingPercent = 50}},
      {"staggered_50_bound_8",
       SwapStaggered{.MaxSwappingPercent = 50, .MaxSwapping = 8}}};
  for (const auto &[Name, Policy] : Policies) {
    Scenario Case;
    Case.Engines = Engines;
    Case.LoadSeconds = 1.5;
    Case.StoreLoads = StoreLoads;
    Case.FailPercent = FailPercent;
    Case.Policy = Policy;
    Case.Name = Name;
    report(Case);
  }
}

} // namespace

/// @return 0.
int main() {
  for (const int Engines : {10, 5000}) {
    for (const int FailPercent : {0, 10})
      reportAll(Engines, Engines / 4.0, FailPercent);
  }
  return 0;
}
