/// @file
/// Chooses the run that moves from a slow engine to a much faster one.

#ifndef CAMPHORNOTCH_CORE_BATCH_RUN_MOVE_FUNC_H
#define CAMPHORNOTCH_CORE_BATCH_RUN_MOVE_FUNC_H

#include "core/batch/item_scheduler_base.h"

#include <optional>
#include <vector>

namespace camphornotch {

/// A run that may move.
struct MovableRun {
  const ScheduledItem *Item = nullptr;
  EndpointId Endpoint;
};

/// @param Scheduler the scheduler of the items.
/// @param Runs the runs in the order of their keys. With FairShareOrder, items
///   with an account whose groups are wanted go first, those of the groups
///   with the fewest open items before the others: they alone keep their group
///   incomplete.
/// @return the item that moves now; nothing if no engine is much faster. Only
///   one moves at a time, as it takes a slot that the next one then lacks.
std::optional<ItemKey> chooseMove(const ItemScheduler &Scheduler,
                                  std::vector<MovableRun> Runs,
                                  const EndpointPool &Pool, Millis Now);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_RUN_MOVE_FUNC_H
