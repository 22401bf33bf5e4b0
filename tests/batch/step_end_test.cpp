/// @file
/// The end of a step: which groups are finished first, and which runs move.

#include "core/batch/run_move_func.h"
#include "order_fixture.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace camphornotch;

namespace {

constexpr int Slots = 8;
constexpr int StepGroups = 20;
constexpr size_t StepGroupSize = 4;
constexpr int64_t StepWanted = 18;

/// Plays two steps of one account on an engine that makes one token of each
/// running item at a time. Lengths differ from hints, and some items are given
/// up.
/// @return the sum of the times at which the steps had their wanted groups
///   complete, in tokens; -1: they never had.
int64_t playStep(ItemOrder Order, uint32_t Seed) {
  std::minstd_rand Random(Seed);
  OrderFixture Each(Order, 1, Slots);
  std::map<ItemKey, int64_t> Left;
  std::set<ItemKey> GivenUp;
  for (const std::string Name : {"one", "two"}) {
    TestSubmission Step{Name, "a", {}, 0, StepWanted, StepGroupSize};
    for (size_t Index = 0; Index < StepGroups * StepGroupSize; ++Index) {
      const auto Hint = static_cast<int64_t>(1 + Random() % 20);
      Step.Hints.push_back(Hint);
      const ItemKey Key{SubmissionId{Name},
                        ItemId{"i" + std::to_string(Index)}};
      Left[Key] = std::max<int64_t>(
          Hint * static_cast<int64_t>(1 + Random() % 4) / 2, 1);
      // Two of the groups with short hints cannot become complete.
      if (Index == 0 || Index == StepGroupSize)
        GivenUp.insert(Key);
    }
    for (size_t Index = 0; Index < 2 * StepGroupSize; ++Index)
      Step.Hints[Index] = 1;
    Each.submit(Step);
  }
  std::map<std::pair<std::string, std::string>, size_t> Done;
  std::map<std::string, int64_t> Complete;
  std::vector<ItemStart> Running;
  int64_t Sum = 0;
  for (int64_t Now = 0; Now < 100'000; ++Now) {
    const std::vector<ItemStart> Starts = Each.plan();
    Running.insert(Running.end(), Starts.begin(), Starts.end());
    std::erase_if(Running, [&](const ItemStart &Run) {
      if (--Left[Run.Key] > 0)
        return false;
      const ScheduledItem Item = *Each.Scheduler.find(Run.Key);
      const bool Completed = !GivenUp.contains(Run.Key);
      Each.finish(Run, ItemEnd{Completed, 0});
      const std::string &Name = Item.Key.Submission.Value;
      if (Completed && ++Done[{Name, Item.Group}] == StepGroupSize &&
          ++Complete[Name] == StepWanted)
        Sum += Now;
      return true;
    });
    if (Complete["one"] >= StepWanted && Complete["two"] >= StepWanted)
      return Sum;
  }
  return -1;
}

/// An engine that is slow, a fast one, and two groups of two items.
struct MoveFixture : OrderFixture {
  std::map<std::string, ItemStart> Runs;

  /// @param Account empty: none.
  explicit MoveFixture(const std::string &Account)
      : OrderFixture(FairShareOrder{}, 1, 4) {
    this->submit({"s", Account, {5, 5, 9, 9}, 0, 2, 2});
    for (const ItemStart &Start : this->plan())
      this->Runs.emplace(Start.Key.Item.Value, Start);
    this->Pool.put(engineRecord("fast", 4));
    this->Pool.paceMeasured(EndpointId{"e0"}, Millis{150}, this->Now);
    this->Pool.paceMeasured(EndpointId{"fast"}, Millis{40}, this->Now);
  }

  /// @return the item that moves; empty: none.
  std::string chosen() {
    std::vector<MovableRun> Movable;
    for (const auto &[Name, Run] : this->Runs)
      if (const ScheduledItem *Item = this->Scheduler.find(Run.Key))
        Movable.push_back(MovableRun{Item, Run.Endpoint});
    const auto Key =
        chooseMove(this->Scheduler, Movable, this->Pool, this->Now);
    return Key.has_value() ? Key->Item.Value : "";
  }
};

} // namespace

// Guards against groups that take the place of lost ones but still wait behind
// the items of other submissions.
Test(stepEnd, wantedGroups_areCompleteNoLaterThanByFixedRanks) {
  int64_t Old = 0;
  int64_t New = 0;
  for (uint32_t Seed = 1; Seed <= 20; ++Seed) {
    const int64_t Fixed = playStep(WantedGroupsFirst{}, Seed);
    const int64_t Renewed = playStep(FairShareOrder{}, Seed);
    cr_assert_geq(Fixed, 0);
    cr_assert_geq(Renewed, 0);
    Old += Fixed;
    New += Renewed;
  }
  cr_log_info("steps complete after %ld by fixed ranks, %ld by fair_share",
              static_cast<long>(Old), static_cast<long>(New));
  cr_assert_leq(New, Old);
}

// Guards against ranks that keep a group with an item that was given up among
// the wanted ones.
Test(stepEnd, lostGroup_isReplacedByTheNextOne) {
  OrderFixture Each(FairShareOrder{}, 1, 1);
  Each.submit({"step", "a", {1, 1, 9, 9}, 0, 1, 2});
  Each.submit({"later", "a", {5, 5}, 0, 1, 1});
  const ItemStart First = Each.plan().at(0);
  Each.finish(First, ItemEnd{false, 0});
  const ItemStart Second = Each.plan().at(0);
  cr_assert_eq(Second.Key.Submission.Value, "step");
  cr_assert_eq(Each.Scheduler.find(Second.Key)->Group, "g1");
}

// Guards against a step whose groups are complete and still delays others.
Test(stepEnd, enoughGroupsComplete_theOthersAreBeyondTheWantedOnes) {
  OrderFixture Each(FairShareOrder{}, 1, 2);
  Each.submit({"step", "a", {1, 1, 9, 9}, 0, 1, 2});
  for (const ItemStart &Start : Each.plan())
    Each.finish(Start);
  Each.submit({"later", "a", {5, 5}, 0, 1, 1});
  cr_assert_eq(Each.plan().at(0).Key.Submission.Value, "later");
}

// Guards against the last item of a wanted group that stays on a slowed engine
// behind the moves of others.
Test(runMove, lastItemOfAWantedGroup_movesFirst) {
  MoveFixture Each("a");
  cr_assert_eq(Each.chosen(), "i0");
  Each.finish(Each.Runs.at("i2"));
  cr_assert_eq(Each.chosen(), "i3");
}

// Guards against a changed order of moves where there are no accounts.
Test(runMove, withoutAccount_runsMoveInTheOrderOfTheirKeys) {
  MoveFixture Each("");
  Each.finish(Each.Runs.at("i2"));
  cr_assert_eq(Each.chosen(), "i0");
  Each.Pool.paceMeasured(EndpointId{"e0"}, Millis{1}, Each.Now);
  for (int Times = 0; Times < 30; ++Times)
    Each.Pool.paceMeasured(EndpointId{"e0"}, Millis{40}, Each.Now);
  cr_assert_eq(Each.chosen(), "");
}
