/// @file
/// Runs items at engines, sends their scoring calls and reports their results.

#ifndef CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H

#include "core/batch/item_scheduler_base.h"
#include "core/batch/leftover_table_base.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/forward_task_base.h"
#include "gateway/second_run_base.h"
#include "gateway/work_tracker_base.h"

#include <functional>
#include <map>
#include <random>

namespace camphornotch {

/// What the task asks of its owner and reports to it.
struct ItemTaskCallbacks {
  /// @return the submission if its partition is owned, or null.
  std::function<const SubmissionState *(const SubmissionId &)> FindSubmission;
  /// @return whether this process would know by now if the submission had
  ///   ended.
  std::function<bool(const SubmissionId &)> KnowsEnd;
  /// @return the current routes.
  std::function<const RouteTable &()> CurrentRoutes;
  /// Called when an item has its result.
  std::function<void(const wire::ItemResultRecord &)> OnResult;
  /// Called with new events of an item, to be stored so that another process
  /// can continue its text.
  std::function<void(const wire::ItemProgressRecord &)> OnProgress;
};

/// Settings of an item task.
struct ItemTaskOptions {
  /// Which waiting items start first.
  ItemOrder Order = WantedGroupsFirst{};
  /// Whether items move from engines that are much slower than others.
  bool MoveItems = true;
  /// Whether items that will probably be unfinished at the submission's end run
  /// a second time.
  bool SecondRuns = true;
};

/// Owns the runs of items of the partitions that this process owns.
class ItemTask {
public:
  ItemTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
           ForwardTask &Forward, Metrics &Counts, ItemTaskCallbacks Callbacks,
           ItemTaskOptions Options);

  /// Adds the items of a submission that have no result yet.
  /// @param Resubmitted items that an earlier submission left unfinished.
  /// @return false if the submission has no route; nothing is added then.
  bool addSubmission(const SubmissionState &State,
                     const std::set<ItemId> &Resubmitted);

  /// Applies the current routes to the items of all submissions.
  void updateRoutes();

  /// Sets the text that an earlier submission stored for an item.
  /// @param Key an item that is not added yet.
  /// @param Text a text of usable versions.
  void restoreText(const ItemKey &Key, const StoredText &Text);

  /// @param State a submission that has ended.
  /// @return the items of the groups that its caller may not have received
  ///   completely, with their texts so far.
  wire::LeftoverRecord leftovers(const SubmissionState &State) const;

  /// Ends all work for a submission and forgets its texts.
  void removeSubmission(const SubmissionId &Id);

  /// Ends the work for an item whose result is recorded in the partition.
  void onResultAdded(const ItemKey &Key);

  /// Plans a start of waiting items for the next turn of the loop.
  void scheduleStart();

  /// Records the new events of all runs as progress.
  void saveAllProgress();

  /// Records the new events of a submission's runs as progress.
  void saveProgress(const SubmissionId &Id);

  /// Starts no more items.
  void stop() { this->Stopped = true; }

  /// @return the scheduler, for metrics.
  const ItemScheduler &scheduler() const { return this->Scheduler; }

private:
  /// One item in progress: its text, its call at an engine, then its scoring
  /// call.
  struct Run {
    /// Random id of the event sequence in progress records; 0 before the first
    /// start.
    int64_t RunId = 0;
    /// The text so far.
    std::vector<wire::TextEvent> Events;
    /// Number of events already recorded as progress.
    size_t SavedEvents = 0;
    /// Version of software of the engines that made the text, or make it now.
    std::string Software;
    EndpointId Endpoint;
    /// When the engine's lifetime began that the call was sent to.
    int64_t EngineStartedAtMs = 0;
    /// The call at the engine; 0: none.
    HttpCallId Call;
    /// When the last event arrived, or the call started.
    Millis LastEventAt{0};
    /// Number of events when the call started.
    size_t EventsAtStart = 0;
    /// Events in all that were expected at its first start; 0: not estimated.
    double ExpectedEvents = 0;
    /// Version of the weights that generates the next event; -1: not known.
    int64_t Version = -1;
    /// Size of the text, checked against its limits.
    TextSize Size;
    /// Parser of the answer's events.
    EventStream Stream;
    /// Decoded head of the answer.
    platform::EngineAnswer Head;
    /// The scoring call; 0: none.
    ForwardId Scoring;
    /// Number of answers with status 500 to the scoring call.
    int64_t ScoringFailures = 0;
    /// Whether the text is complete.
    bool Complete = false;
  };

  /// Text of an item that has its result.
  struct FinishedText {
    std::vector<wire::TextEvent> Events;
    std::string Software;
    Millis At{0};
  };

  /// @param MatchedRoute the submission's route.
  /// @return the route with the priority of the submission's account, if the
  ///   account has one.
  Route routeFor(const SubmissionState &State, const Route &MatchedRoute) const;
  /// @return the work to expect of an item's rest.
  ExpectedWork expectWork(const ScheduledItem &Item);
  /// Writes the line of an item's start.
  void logStart(const ItemStart &Start, const Run &Active) const;
  /// Learns from an item whose text is complete.
  void learnWork(const ItemKey &Key, const Run &Active);
  /// Sends an item to the engine that the scheduler chose.
  void startRun(const ItemStart &Start);
  void onHead(const ItemKey &Key, const HttpResponse &Response);
  void onChunk(const ItemKey &Key, std::string_view Part);
  /// Appends an event to the text.
  /// @return false if it does not continue the text, or the text breaks its
  ///   version or size limits.
  bool appendEvent(const ItemKey &Key, Run &Active,
                   platform::EngineEvent &Event);
  /// Tells the scheduler which engines can go on with an item's text.
  void noteSoftware(const ItemKey &Key, const Run &Active);
  /// Discards a text that cannot become a result, so that the item starts
  /// again.
  void discardText(Run &Active);
  /// @return whether the next event has another version than the first, on a
  ///   route that requires a single version for the whole text.
  bool mixesVersions(const ItemKey &Key, const Run &Active) const;
  void onFinished(const ItemKey &Key, const HttpResponse &Response);
  /// Ends the call at the engine and puts the item back into the queue.
  /// @param Why the reason for the scheduler.
  /// @param End the outcome for the engine's statistics.
  /// @param Cause for the log.
  void requeue(const ItemKey &Key, RequeueReason Why, WorkOutcome End,
               std::string_view Cause);
  /// Sends the scoring call of a complete text, or reports the result of an
  /// item without one.
  void startScoring(const ItemKey &Key);
  void onScored(const ItemKey &Key, const HttpResponse &Response);
  /// Retries the scoring call after a pause.
  /// @param Cause for the log.
  void retryScoring(const ItemKey &Key, std::string_view Cause);
  /// Reports a result and ends the item's work.
  /// @param Completed whether the text is complete and scored; otherwise the
  ///   item is given up.
  /// @param Score the receipt of the scoring call.
  /// @param Cause why it was given up, for the log.
  void reportResult(const ItemKey &Key, bool Completed,
                    const std::string &Score, std::string_view Cause);
  /// Periodically requeues stalled runs, moves slow ones and starts second
  /// runs.
  void checkRuns();
  /// Moves one run from an engine that is much slower than another.
  void moveSlowRun();
  /// Starts second runs of items that will probably be unfinished at their
  /// submission's end.
  void startSecondRuns();
  /// @return its items that will probably be unfinished at its end.
  std::vector<ItemKey> predictUnfinished(const SubmissionId &Id) const;
  /// Records a run's new events as progress.
  void saveProgress(const ItemKey &Key, Run &Active);
  /// Removes a run and cancels its calls.
  void removeRun(const ItemKey &Key);
  Run *find(const ItemKey &Key);

  Loop &Events;
  HttpClient &Http;
  EndpointPool &Pool;
  ForwardTask &Forward;
  Metrics &Counts;
  ItemTaskCallbacks Callbacks;
  ItemTaskOptions Options;
  /// Learns how many events items make.
  WorkTracker Work;
  /// Chooses which items run, and where.
  ItemScheduler Scheduler;
  /// Items in progress.
  std::map<ItemKey, Run> Runs;
  /// Texts of items that have a result, until their submissions end.
  std::map<ItemKey, FinishedText> Finished;
  SecondRuns Reruns;
  Millis RerunsCheckedAt{0};
  bool Stopped = false;
  /// Whether a start is planned for the next turn of the loop.
  bool StartScheduled = false;
  /// Random source for run ids and services.
  std::mt19937_64 Random;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H
