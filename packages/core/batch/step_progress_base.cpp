/// @file
/// Which groups of a submission can still be among those that its caller waits
/// for.

#include "core/batch/step_progress_base.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace camphornotch {

StepProgress::StepProgress(const SubmissionState &State,
                           std::set<std::string> ResubmittedGroups,
                           double AssumedWork)
    : ResubmittedGroups(std::move(ResubmittedGroups)) {
  for (const wire::BatchItemField &Item : State.Record.Items) {
    this->GroupOf.emplace(ItemId{Item.Id}, Item.Group);
    this->Groups[Item.Group].Open[ItemId{Item.Id}] =
        Item.LengthHint > 0 ? static_cast<double>(Item.LengthHint)
                            : AssumedWork;
  }
  for (const wire::ItemResultRecord &Result : State.Results)
    this->itemEnded(ItemId{Result.Item}, Result.Completed);
}

void StepProgress::itemEnded(const ItemId &Item, bool Completed) {
  const auto Group = this->GroupOf.find(Item);
  if (Group == this->GroupOf.end())
    return;
  GroupState &State = this->Groups[Group->second];
  if (State.Open.erase(Item) == 0)
    return;
  State.Lost |= !Completed;
  this->RanksValid = false;
}

const std::map<std::string, int64_t> &StepProgress::ranks() {
  if (this->RanksValid)
    return this->Ranks;
  constexpr int Complete = 0;
  constexpr int Open = 1;
  constexpr int Lost = 2;
  std::vector<std::tuple<int, bool, double, std::string>> Order;
  for (const auto &[Name, Group] : this->Groups) {
    double Longest = 0;
    for (const auto &[Item, Work] : Group.Open)
      Longest = std::max(Longest, Work);
    const int Unlost = Group.Open.empty() ? Complete : Open;
    Order.emplace_back(Group.Lost ? Lost : Unlost,
                       !this->ResubmittedGroups.contains(Name), Longest, Name);
  }
  std::ranges::sort(Order);
  for (size_t Rank = 0; Rank < Order.size(); ++Rank)
    this->Ranks[std::get<std::string>(Order[Rank])] =
        static_cast<int64_t>(Rank);
  this->RanksValid = true;
  return this->Ranks;
}

size_t StepProgress::openItems(const std::string &Group) const {
  const auto Found = this->Groups.find(Group);
  return Found == this->Groups.end() ? 0 : Found->second.Open.size();
}

} // namespace camphornotch
