/// @file
/// The order in which waiting items start.

#include "core/batch/item_order_func.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace camphornotch {

namespace {

/// Sort key of waiting items; the smallest starts first.
using ItemRank = std::tuple<bool, int64_t, int64_t, bool, int64_t, int64_t>;

ItemRank rankOf(const WantedGroupsFirst & /*Order*/,
                const ScheduledItem &Item) {
  return ItemRank{isBeyondWanted(Item), Item.Priority,    Item.Arrival,
                  !Item.Resubmitted,    -Item.LengthHint, Item.GroupRank};
}

ItemRank rankOf(const ArrivalOrder & /*Order*/, const ScheduledItem &Item) {
  return ItemRank{false, 0, Item.Arrival, false, Item.IndexInSubmission, 0};
}

ItemRank rankOf(const FairShareOrder & /*Order*/, const ScheduledItem &Item) {
  return rankOf(WantedGroupsFirst{}, Item);
}

} // namespace

bool isBeyondWanted(const ScheduledItem &Item) {
  return Item.WantedGroups > 0 && Item.GroupRank >= Item.WantedGroups;
}

SharePool sharePoolOf(const ScheduledItem &Item) {
  return SharePool{isBeyondWanted(Item), Item.Priority, Item.Service};
}

void sortWaiting(const ItemOrder &Order,
                 std::vector<ScheduledItem *> &Waiting) {
  std::ranges::stable_sort(Waiting, {}, [&Order](const ScheduledItem *Item) {
    return std::visit(
        [Item](const auto &Chosen) { return rankOf(Chosen, *Item); }, Order);
  });
}

FairTurns::PoolQueue &FairTurns::queueOf(const ScheduledItem &Item) {
  const bool Beyond = isBeyondWanted(Item);
  const auto Matches = [&Item, Beyond](const PoolQueue &Each) {
    return Each.Pool.BeyondWanted == Beyond &&
           Each.Pool.Priority == Item.Priority &&
           Each.Pool.Service == Item.Service;
  };
  if (this->Found != nullptr && Matches(*this->Found))
    return *this->Found;
  const auto Known = std::ranges::find_if(this->Pools, Matches);
  if (Known == this->Pools.end())
    this->Found = &this->Pools.emplace_back(PoolQueue{sharePoolOf(Item)});
  else
    this->Found = &*Known;
  return *this->Found;
}

FairTurns::FairTurns(FairShare &Shares, std::span<ScheduledItem *const> Sorted)
    : Shares(Shares) {
  for (ScheduledItem *Item : Sorted) {
    if (Item->Account.empty())
      continue;
    PoolQueue &Queue = this->queueOf(*Item);
    const auto [Named, IsNew] =
        Queue.ByName.try_emplace(Item->Account, Queue.Accounts.size());
    if (IsNew)
      Queue.Accounts.push_back(AccountQueue{Item->Account});
    Queue.Accounts[Named->second].Items.push_back(Item);
  }
  for (PoolQueue &Queue : this->Pools)
    for (const auto &[Name, Index] : Queue.ByName) {
      AccountQueue &Each = Queue.Accounts[Index];
      Shares.compete(Queue.Pool, Each.Account);
      Each.Position = Shares.position(Queue.Pool, Each.Account);
      Queue.Order.emplace(Each.Position, Index);
    }
}

ScheduledItem &FairTurns::next(ScheduledItem &Turn) {
  if (Turn.Account.empty())
    return Turn;
  PoolQueue &Queue = this->queueOf(Turn);
  assert(!Queue.Order.empty());
  Queue.Last = Queue.Order.begin()->second;
  AccountQueue &First = Queue.Accounts[Queue.Last];
  ScheduledItem &Next = *First.Items[First.Next++];
  if (First.Next == First.Items.size())
    Queue.Order.erase(Queue.Order.begin());
  return Next;
}

void FairTurns::started(const ScheduledItem &Item, double Work) {
  if (Item.Account.empty())
    return;
  PoolQueue &Queue = this->queueOf(Item);
  AccountQueue &Started = Queue.Accounts[Queue.Last];
  assert(Started.Account == Item.Account);
  this->Shares.started(Queue.Pool, Item.Account, Work);
  if (Queue.Order.erase({Started.Position, Queue.Last}) == 0)
    return;
  Started.Position = this->Shares.position(Queue.Pool, Item.Account);
  Queue.Order.emplace(Started.Position, Queue.Last);
}

} // namespace camphornotch
