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

FairTurns::FairTurns(FairShare &Shares, std::span<ScheduledItem *const> Sorted)
    : Shares(Shares) {
  for (ScheduledItem *Item : Sorted)
    if (!Item->Account.empty())
      this->Pools[sharePoolOf(*Item)].ByAccount[Item->Account].push_back(Item);
  for (auto &[Pool, Queue] : this->Pools)
    for (const auto &[Account, Items] : Queue.ByAccount) {
      Shares.compete(Pool, Account);
      Queue.Order.insert(Place{Shares.position(Pool, Account), Account});
    }
}

ScheduledItem &FairTurns::next(ScheduledItem &Turn) {
  if (Turn.Account.empty())
    return Turn;
  const SharePool Pool = sharePoolOf(Turn);
  PoolQueue &Queue = this->Pools.at(Pool);
  if (Queue.Taken.has_value() && !Queue.ByAccount[*Queue.Taken].empty())
    Queue.Order.insert(
        Place{this->Shares.position(Pool, *Queue.Taken), *Queue.Taken});
  assert(!Queue.Order.empty());
  Queue.Taken = Queue.Order.extract(Queue.Order.begin()).value().Account;
  std::deque<ScheduledItem *> &Items = Queue.ByAccount[*Queue.Taken];
  ScheduledItem *Next = Items.front();
  Items.pop_front();
  return *Next;
}

void FairTurns::started(const ScheduledItem &Item, double Work) {
  if (!Item.Account.empty())
    this->Shares.started(sharePoolOf(Item), Item.Account, Work);
}

} // namespace camphornotch
