/// @file
/// Which items run a second time under newer weights.

#include "core/batch/fresh_run_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A submission with groups of two items; item "gN-M" is of group "gN".
struct StepFixture {
  /// The submission.
  SubmissionState State;
  /// Items whose texts are whole.
  std::set<ItemId> Whole;
  /// Items of an earlier submission.
  std::set<ItemId> Returned;

  /// @param Groups how many groups; group N has length hint 10 x N.
  /// @param Wanted groups that the caller waits for.
  StepFixture(int64_t Groups, int64_t Wanted) {
    constexpr int64_t HintStep = 10;
    this->State.Record.WantedGroups = Wanted;
    for (int64_t Group = 0; Group < Groups; ++Group) {
      for (const char *Which : {"-0", "-1"}) {
        wire::BatchItemField Item;
        Item.Group = "g" + std::to_string(Group);
        Item.Id = Item.Group + Which;
        Item.LengthHint = HintStep * Group;
        this->State.Record.Items.push_back(Item);
      }
    }
  }

  /// Lists an item.
  /// @param Id its id.
  void list(const std::string &Id) { this->State.Positions[ItemId{Id}] = 0; }

  /// Lists all items of the first groups.
  /// @param Count how many groups.
  void listGroups(int64_t Count) {
    for (int64_t Group = 0; Group < Count; ++Group) {
      this->list("g" + std::to_string(Group) + "-0");
      this->list("g" + std::to_string(Group) + "-1");
    }
  }

  /// @return the items chosen.
  std::vector<std::string> chosen() const {
    std::vector<std::string> Names;
    for (const ItemId &Id :
         likelyLeftOpen(this->State, this->Whole, this->Returned))
      Names.push_back(Id.Value);
    return Names;
  }
};

using Names = std::vector<std::string>;

} // namespace

Test(likelyLeftOpen, manyGroupsOpen_choosesNone) {
  StepFixture Step(15, 14);
  Step.listGroups(9);
  cr_assert(Step.chosen().empty());
}

Test(likelyLeftOpen, fewGroupsOpen_choosesTheLongestAndOneMore) {
  StepFixture Step(15, 14);
  Step.listGroups(11);
  Step.list("g14-0");
  const Names Expected{"g14-1", "g13-0", "g13-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(likelyLeftOpen, groupThatCameAgain_isWaitedForAndNotChosen) {
  StepFixture Step(15, 14);
  Step.listGroups(13);
  Step.Returned = {ItemId{"g14-0"}};
  const Names Expected{"g13-0", "g13-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(likelyLeftOpen, wholeText_isNotRunAgain) {
  StepFixture Step(15, 14);
  Step.listGroups(14);
  Step.Whole = {ItemId{"g14-0"}};
  const Names Expected{"g14-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(likelyLeftOpen, callerWaitsForAllGroups_choosesNone) {
  StepFixture All(4, 4);
  All.listGroups(3);
  cr_assert(All.chosen().empty());
  StepFixture Unsaid(4, 0);
  Unsaid.listGroups(3);
  cr_assert(Unsaid.chosen().empty());
}
