/// @file
/// Checks the runs of items periodically: stalled ones start again, slow ones
/// move.

#include "base/clock_func.h"
#include "core/batch/run_move_func.h"
#include "gateway/item_task_base.h"

#include <optional>
#include <utility>
#include <vector>

namespace camphornotch {

namespace {

/// Interval of the check of all runs.
constexpr Millis CheckInterval{50};
/// Time without an event after which a run moves to another engine. Events
/// arrive every 40 ms, on slowed engines every 150 ms, and loading weights does
/// not delay them.
constexpr Millis StallTimeout{1'200};
/// Events that a run must have received before it may move to a faster engine.
constexpr size_t MoveAfterEvents = 3;

} // namespace

void ItemTask::checkRuns() {
  this->Events.callAfter(CheckInterval, [this] { this->checkRuns(); });
  const Millis Now = steadyNow();
  std::vector<ItemKey> Stalled;
  for (const auto &[Key, Active] : this->Runs) {
    if (Active.Call.Value == 0)
      continue;
    if (Now - Active.LastEventAt > StallTimeout)
      Stalled.push_back(Key);
  }
  for (const ItemKey &Key : Stalled)
    this->requeue(Key, RequeueReason::ConnectionBroken, WorkOutcome::TimedOut,
                  "no event in time");
  this->Reruns.stopStalled();
  if (this->Options.MoveItems && !this->Stopped)
    this->moveSlowRun();
  if (this->Scheduler.waiting() > 0)
    this->scheduleStart();
  else if (this->Options.SecondRuns && !this->Stopped)
    this->startSecondRuns();
}

void ItemTask::moveSlowRun() {
  std::vector<MovableRun> Movable;
  for (const auto &[Key, Active] : this->Runs) {
    const ScheduledItem *Item = this->Scheduler.find(Key);
    const bool Settled =
        Active.Events.size() >= Active.EventsAtStart + MoveAfterEvents;
    if (Active.Call.Value != 0 && Item != nullptr && Settled &&
        this->Callbacks.KnowsEnd(Key.Submission))
      Movable.push_back(MovableRun{Item, Active.Endpoint});
  }
  if (const std::optional<ItemKey> Key = chooseMove(
          this->Scheduler, std::move(Movable), this->Pool, steadyNow()))
    this->requeue(*Key, RequeueReason::Moved, WorkOutcome::Abandoned,
                  "another engine is much faster");
}

} // namespace camphornotch
