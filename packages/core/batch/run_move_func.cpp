/// @file
/// Chooses the run that moves from a slow engine to a much faster one.

#include "core/batch/run_move_func.h"

#include "core/batch/item_order_func.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace camphornotch {

std::optional<ItemKey> chooseMove(const ItemScheduler &Scheduler,
                                  std::vector<MovableRun> Runs,
                                  const EndpointPool &Pool, Millis Now) {
  std::ranges::stable_sort(Runs, {}, [&Scheduler](const MovableRun &Run) {
    const size_t Open = Scheduler.openInGroup(*Run.Item);
    const bool First = Open > 0 && !isBeyondWanted(*Run.Item);
    return std::tuple(!First, First ? Open : 0);
  });
  using RunKind = std::tuple<EndpointId, std::string_view, std::string_view,
                             int64_t, std::optional<std::string>>;
  // Runs of the same kind for which no faster engine exists; each kind is
  // looked up once.
  std::set<RunKind> Unmovable;
  for (const MovableRun &Run : Runs) {
    const ScheduledItem &Item = *Run.Item;
    const RunKind Kind(Run.Endpoint, Item.Service, Item.Model, Item.MinVersion,
                       Item.Software);
    if (Unmovable.contains(Kind))
      continue;
    EndpointQuery Query{Item.Service, Item.Model, Item.MinVersion};
    Query.Software = Item.Software;
    if (Pool.findFaster(Run.Endpoint, Query, Now) != nullptr)
      return Item.Key;
    Unmovable.insert(Kind);
  }
  return std::nullopt;
}

} // namespace camphornotch
