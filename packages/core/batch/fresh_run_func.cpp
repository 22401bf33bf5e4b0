/// @file
/// Chooses the items of a submission that run a second time with newer weights.

#include "core/batch/fresh_run_func.h"

#include <algorithm>
#include <map>
#include <string>

namespace camphornotch {

namespace {

/// Items are chosen only while at most this many groups are incomplete in
/// addition to those that will remain unfinished: length hints do not tell the
/// longest of more groups apart.
constexpr int64_t MaxExtraIncompleteGroups = 4;
/// Number of groups chosen in addition to those that will remain unfinished,
/// because length hints are wrong by half at times.
constexpr int64_t ExtraChosenGroups = 1;

struct GroupState {
  /// Expected length of its longest incomplete item, in tokens.
  int64_t ExpectedLength = 0;
  std::vector<ItemId> IncompleteItems;
  /// Whether an earlier submission left an item of the group unfinished.
  bool Resubmitted = false;
};

/// @return all groups by name; complete groups have no items.
std::map<std::string, GroupState>
groupsOf(const SubmissionState &State, const std::set<ItemId> &CompleteItems,
         const std::set<ItemId> &ResubmittedItems) {
  std::map<std::string, GroupState> Groups;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const ItemId Id{Item.Id};
    GroupState &Group = Groups[Item.Group];
    Group.Resubmitted |= ResubmittedItems.contains(Id);
    if (State.Positions.contains(Id) || CompleteItems.contains(Id))
      continue;
    Group.ExpectedLength = std::max(Group.ExpectedLength, Item.LengthHint);
    Group.IncompleteItems.push_back(Id);
  }
  return Groups;
}

} // namespace

std::vector<ItemId>
predictUnfinishedItems(const SubmissionState &State,
                       const std::set<ItemId> &CompleteItems,
                       const std::set<ItemId> &ResubmittedItems) {
  const std::map<std::string, GroupState> Groups =
      groupsOf(State, CompleteItems, ResubmittedItems);
  const auto Count = static_cast<int64_t>(Groups.size());
  const int64_t UnfinishedCount =
      Count - std::min(State.Record.WantedGroups, Count);
  std::vector<const GroupState *> Candidates;
  int64_t IncompleteCount = 0;
  for (const auto &[Name, Group] : Groups) {
    IncompleteCount += Group.IncompleteItems.empty() ? 0 : 1;
    if (!Group.IncompleteItems.empty() && !Group.Resubmitted)
      Candidates.push_back(&Group);
  }
  if (State.Record.WantedGroups <= 0 || UnfinishedCount == 0 ||
      IncompleteCount > UnfinishedCount + MaxExtraIncompleteGroups)
    return {};
  std::ranges::stable_sort(Candidates, std::ranges::greater{},
                           &GroupState::ExpectedLength);
  std::vector<ItemId> Chosen;
  for (size_t Index = 0;
       Index < Candidates.size() &&
       static_cast<int64_t>(Index) < UnfinishedCount + ExtraChosenGroups;
       ++Index)
    Chosen.insert(Chosen.end(), Candidates[Index]->IncompleteItems.begin(),
                  Candidates[Index]->IncompleteItems.end());
  return Chosen;
}

} // namespace camphornotch
