/// @file
/// Choice of the items that run a second time with newer weights.

#include "core/batch/fresh_run_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A submission with groups of two items; item "gN-M" is of group "gN".
struct StepFixture {
  SubmissionState State;
  std::set<ItemId> CompleteItems;
  std::set<ItemId> ResubmittedItems;

  /// @param Groups number of groups; group N has length hint 10 x N.
  /// @param WantedGroups number of groups that the caller waits for.
  StepFixture(int64_t Groups, int64_t WantedGroups) {
    constexpr int64_t HintStep = 10;
    this->State.Record.WantedGroups = WantedGroups;
    for (int64_t Group = 0; Group < Groups; ++Group) {
      for (const char *Suffix : {"-0", "-1"}) {
        wire::BatchItemField Item;
        Item.Group = "g" + std::to_string(Group);
        Item.Id = Item.Group + Suffix;
        Item.LengthHint = HintStep * Group;
        this->State.Record.Items.push_back(Item);
      }
    }
  }

  void addResult(const std::string &Id) {
    this->State.Positions[ItemId{Id}] = 0;
  }

  /// Adds results of all items of the first groups.
  void addGroupResults(int64_t Count) {
    for (int64_t Group = 0; Group < Count; ++Group) {
      this->addResult("g" + std::to_string(Group) + "-0");
      this->addResult("g" + std::to_string(Group) + "-1");
    }
  }

  std::vector<std::string> chosen() const {
    std::vector<std::string> Names;
    for (const ItemId &Id : predictUnfinishedItems(
             this->State, this->CompleteItems, this->ResubmittedItems))
      Names.push_back(Id.Value);
    return Names;
  }
};

using Names = std::vector<std::string>;

} // namespace

Test(predictUnfinishedItems, manyGroupsIncomplete_choosesNone) {
  StepFixture Step(15, 14);
  Step.addGroupResults(9);
  cr_assert(Step.chosen().empty());
}

Test(predictUnfinishedItems, fewGroupsIncomplete_choosesTheLongestAndOneMore) {
  StepFixture Step(15, 14);
  Step.addGroupResults(11);
  Step.addResult("g14-0");
  const Names Expected{"g14-1", "g13-0", "g13-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(predictUnfinishedItems, resubmittedGroup_isNotChosen) {
  StepFixture Step(15, 14);
  Step.addGroupResults(13);
  Step.ResubmittedItems = {ItemId{"g14-0"}};
  const Names Expected{"g13-0", "g13-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(predictUnfinishedItems, itemWithCompleteText_isNotChosen) {
  StepFixture Step(15, 14);
  Step.addGroupResults(14);
  Step.CompleteItems = {ItemId{"g14-0"}};
  const Names Expected{"g14-1"};
  cr_assert(Step.chosen() == Expected);
}

Test(predictUnfinishedItems, callerWaitsForAllGroups_choosesNone) {
  StepFixture All(4, 4);
  All.addGroupResults(3);
  cr_assert(All.chosen().empty());
  StepFixture Unspecified(4, 0);
  Unspecified.addGroupResults(3);
  cr_assert(Unspecified.chosen().empty());
}
