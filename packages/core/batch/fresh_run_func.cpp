/// @file
/// Which items of a submission are worth a second run under newer weights.

#include "core/batch/fresh_run_func.h"

#include <algorithm>
#include <map>
#include <string>

namespace camphornotch {

namespace {

/// Groups beyond those that will be left over which may be open for a choice
/// to be worth its slots: hints do not tell the longest of more apart.
constexpr int64_t OpenBeyondLeft = 4;
/// Groups beyond those that will be left over whose items run a second time,
/// as hints are off by half at times.
constexpr int64_t ChosenBeyondLeft = 1;

/// A group that is not complete.
struct OpenGroup {
  /// Expected length of its longest open item.
  int64_t Length = 0;
  /// Its open items.
  std::vector<ItemId> Items;
  /// Whether it comes from an earlier submission.
  bool Returned = false;
};

/// @param State a submission.
/// @param Whole items whose texts are whole.
/// @param Returned items of an earlier submission.
/// @return all groups by name, the complete ones without items.
std::map<std::string, OpenGroup> groupsOf(const SubmissionState &State,
                                          const std::set<ItemId> &Whole,
                                          const std::set<ItemId> &Returned) {
  std::map<std::string, OpenGroup> Groups;
  for (const wire::BatchItemField &Item : State.Record.Items) {
    const ItemId Id{Item.Id};
    OpenGroup &Group = Groups[Item.Group];
    Group.Returned |= Returned.contains(Id);
    if (State.Positions.contains(Id) || Whole.contains(Id))
      continue;
    Group.Length = std::max(Group.Length, Item.LengthHint);
    Group.Items.push_back(Id);
  }
  return Groups;
}

} // namespace

std::vector<ItemId> likelyLeftOpen(const SubmissionState &State,
                                   const std::set<ItemId> &Whole,
                                   const std::set<ItemId> &Returned) {
  const std::map<std::string, OpenGroup> Groups =
      groupsOf(State, Whole, Returned);
  const auto Count = static_cast<int64_t>(Groups.size());
  const int64_t Left = Count - std::min(State.Record.WantedGroups, Count);
  std::vector<const OpenGroup *> Open;
  int64_t OpenCount = 0;
  for (const auto &[Name, Group] : Groups) {
    OpenCount += Group.Items.empty() ? 0 : 1;
    if (!Group.Items.empty() && !Group.Returned)
      Open.push_back(&Group);
  }
  if (State.Record.WantedGroups <= 0 || Left == 0 ||
      OpenCount > Left + OpenBeyondLeft)
    return {};
  std::ranges::stable_sort(Open, std::ranges::greater{}, &OpenGroup::Length);
  std::vector<ItemId> Chosen;
  for (size_t Index = 0; Index < Open.size() &&
                         static_cast<int64_t>(Index) < Left + ChosenBeyondLeft;
       ++Index)
    Chosen.insert(Chosen.end(), Open[Index]->Items.begin(),
                  Open[Index]->Items.end());
  return Chosen;
}

} // namespace camphornotch
