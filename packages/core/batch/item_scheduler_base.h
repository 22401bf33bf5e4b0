/// @file
/// Decides which waiting items run next, and where.

#ifndef CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H

#include "core/batch/item_scheduler_type.h"
#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/route_type.h"

namespace camphornotch {

/// Why an item goes back to waiting.
enum class ItemSetback : uint8_t {
  NotRun, ///< The engine did not run it.
  Broken, ///< The connection broke or the answer made no sense.
  Failed, ///< The engine answered 500.
  TooOld, ///< The engine had an older version than told.
  Moved,  ///< Another engine is much faster.
  Held,   ///< It was not sent, since its submission may have ended.
};

/// Keeps the items of the submissions that this process owns; deterministic,
/// without I/O.
class ItemScheduler {
public:
  /// @param Order which waiting items start first.
  explicit ItemScheduler(ItemOrder Order = WantedGroupsFirst{})
      : Order(Order) {}

  /// Adds the items of a submission that have no result yet.
  /// @param State the submission.
  /// @param By its route.
  /// @param Returned those of its items that an earlier submission left open.
  void add(const SubmissionState &State, const Route &By,
           const std::set<ItemId> &Returned = {});

  /// Drops an item that has its result.
  /// @param Key which.
  void drop(const ItemKey &Key);

  /// Drops all items of a submission.
  /// @param Id which.
  /// @return those that run.
  std::vector<ItemKey> dropAll(const SubmissionId &Id);

  /// Chooses what starts now. With WantedGroupsFirst it answers the load of
  /// whole steps that arrive at once: groups that the caller waits for first,
  /// older submissions before younger ones, groups that come again before
  /// others, and then the longest items, so that the last to end started first.
  /// @param Pool the endpoints; each start is noted there.
  /// @param Now the time.
  /// @return the items to start, which count as running from now on.
  std::vector<StartItem> plan(EndpointPool &Pool, Millis Now);

  /// Puts a running item back.
  /// @param Key which.
  /// @param Why what happened.
  /// @param At the engine.
  /// @param Now the time.
  void setBack(const ItemKey &Key, ItemSetback Why, const EndpointId &At,
               Millis Now);

  /// Notes that an item made progress, so that its breaks start anew.
  /// @param Key which.
  void progressed(const ItemKey &Key);

  /// @param Key which.
  /// @return the item, or null.
  const ScheduledItem *find(const ItemKey &Key) const;

  /// @return items waiting.
  size_t waiting() const;

  /// @return items running.
  size_t running() const { return this->RunningCount; }

private:
  /// @param Item a waiting item.
  /// @param Pool the endpoints.
  /// @param Now the time.
  /// @return the endpoint that should run it now, or null.
  static const EndpointState *place(const ScheduledItem &Item,
                                    const EndpointPool &Pool, Millis Now);

  /// Which waiting items start first.
  ItemOrder Order;
  /// The items.
  std::map<ItemKey, ScheduledItem> Items;
  /// How many of them run.
  size_t RunningCount = 0;
  /// Submissions taken in so far.
  int64_t Arrivals = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H
