/// @file
/// The order in which waiting items start.

#ifndef CAMPHORNOTCH_CORE_BATCH_ITEM_ORDER_FUNC_H
#define CAMPHORNOTCH_CORE_BATCH_ITEM_ORDER_FUNC_H

#include "core/batch/fair_share_base.h"
#include "core/batch/item_scheduler_type.h"

#include <deque>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace camphornotch {

/// Sorts waiting items; the first one starts first. Items of equal rank keep
/// their order. The share among accounts is not part of it.
void sortWaiting(const ItemOrder &Order, std::vector<ScheduledItem *> &Waiting);

/// @return whether the item's group is beyond those that its caller waits for.
bool isBeyondWanted(const ScheduledItem &Item);

/// @return the items that it competes with for engines.
SharePool sharePoolOf(const ScheduledItem &Item);

/// Gives the turns of sorted items to the accounts by their fair shares. Each
/// turn of an item with an account goes to an item of the same pool: of the
/// account that was given the least work, the first one in the sorted order.
/// Items without an account keep their turns.
class FairTurns {
public:
  /// @param Shares what accounts were given so far; must outlive this.
  /// @param Sorted the waiting items by sortWaiting().
  FairTurns(FairShare &Shares, std::span<ScheduledItem *const> Sorted);

  /// @param Turn the next of the sorted items; each is passed once.
  /// @return the item whose turn it is.
  ScheduledItem &next(ScheduledItem &Turn);

  /// Notes that the item that next() returned started.
  /// @param Work the work that it is charged with.
  void started(const ScheduledItem &Item, double Work);

private:
  /// The items of one account that have not had their turn.
  struct AccountQueue {
    std::string Account;
    std::vector<ScheduledItem *> Items;
    /// Index of the next one in Items.
    size_t Next = 0;
    SharePosition Position;
  };
  struct PoolQueue {
    SharePool Pool;
    std::vector<AccountQueue> Accounts;
    std::map<std::string_view, size_t> ByName;
    /// Indexes in Accounts of those with items, by position; of equal ones, the
    /// account with the first item in the sorted order goes first.
    std::set<std::pair<SharePosition, size_t>> Order;
    /// The account of the last turn.
    size_t Last = 0;
  };

  /// @return the queue of an item's pool; a new one if there is none.
  PoolQueue &queueOf(const ScheduledItem &Item);

  FairShare &Shares;
  /// Few: one for each urgency and service. A deque keeps them in place.
  std::deque<PoolQueue> Pools;
  /// The queue that was found last; neighbours mostly have the same.
  PoolQueue *Found = nullptr;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ITEM_ORDER_FUNC_H
