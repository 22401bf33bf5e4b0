/// @file
/// Runs items at engines, has their texts scored and hands on their results.

#ifndef CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H

#include "core/batch/item_scheduler_base.h"
#include "core/batch/leftover_table_base.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/forward_task_base.h"
#include "gateway/fresh_run_base.h"

#include <functional>
#include <map>
#include <random>

namespace camphornotch {

/// What the task needs of its owner.
struct ItemTaskEvents {
  /// @return a submission of an owned partition, or null.
  std::function<const SubmissionState *(const SubmissionId &)> Submission;
  /// @return whether the end of a submission would be known by now.
  std::function<bool(const SubmissionId &)> KnowsEnd;
  /// @return the routes in force.
  std::function<const RouteTable &()> Routes;
  /// An item has its result.
  std::function<void(const wire::ItemResultRecord &)> Result;
  /// Events of an item that may outlast this process.
  std::function<void(const wire::ItemProgressRecord &)> Progress;
};

/// What a task does beyond running each item once.
struct ItemTaskOptions {
  /// Which waiting items start first.
  ItemOrder Order = WantedGroupsFirst{};
  /// Whether items move off engines that are much slower than others.
  bool MoveItems = true;
  /// Whether items that will probably be left open run a second time.
  bool SecondRuns = true;
};

/// Owns the runs of the items of this process's partitions.
class ItemTask {
public:
  /// @param Events the loop.
  /// @param Http sends the runs.
  /// @param Pool the endpoints.
  /// @param Forward sends the scoring calls.
  /// @param Counts counts retries.
  /// @param Tell what the task needs.
  /// @param Options what it does.
  ItemTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
           ForwardTask &Forward, Metrics &Counts, ItemTaskEvents Tell,
           ItemTaskOptions Options);

  /// Takes over a submission's items that have no result.
  /// @param State the submission.
  /// @param Returned those of its items that an earlier submission left open.
  /// @return whether there is a route for it; without one nothing is done.
  bool adopt(const SubmissionState &State, const std::set<ItemId> &Returned);

  /// Gives an item the text that an earlier submission left of it.
  /// @param Key the item, before it was adopted.
  /// @param Text its text, which fits.
  void seed(const ItemKey &Key, const StoredText &Text);

  /// @param State a submission that ends.
  /// @return the items of its groups that its caller may not have whole, with
  ///   what there is of their texts.
  wire::LeftoverRecord leftovers(const SubmissionState &State) const;

  /// Ends all work for a submission.
  /// @param Id the submission.
  void drop(const SubmissionId &Id);

  /// Ends the work for an item that got its result.
  /// @param Key the item.
  void listed(const ItemKey &Key);

  /// Starts what can start.
  void wake();

  /// Notes the events of all runs as progress.
  void saveAll();

  /// Notes the events of a submission's runs as progress.
  /// @param Id the submission.
  void save(const SubmissionId &Id);

  /// Starts nothing more.
  void stop() { this->Stopped = true; }

  /// @return the scheduler's counts.
  const ItemScheduler &scheduler() const { return this->Scheduler; }

private:
  /// One item under way: its text, its run, then its scoring call.
  struct Run {
    /// Names the chain of events.
    int64_t Chain = 0;
    /// The events so far.
    std::vector<wire::TextEvent> Events;
    /// Events of the chain that are noted as progress.
    size_t Saved = 0;
    /// The engine.
    EndpointId Endpoint;
    /// The call at the engine.
    HttpCallId Call;
    /// When the last event came.
    Millis LastAt{0};
    /// Events had when the call began.
    size_t HadAtStart = 0;
    /// The version that makes the next event.
    int64_t Version = -1;
    /// How long the text is.
    TextSize Size;
    /// What is not taken of its answer yet.
    EventStream Stream;
    /// What the head of the answer says.
    platform::EngineAnswer Head;
    /// The scoring call.
    ForwardId Scoring;
    /// Answers of status 500 to its scoring call.
    int64_t ScoringFailures = 0;
    /// Whether the text is whole.
    bool Whole = false;
  };

  /// The text of an item that has its result.
  struct FinishedText {
    /// The events.
    std::vector<wire::TextEvent> Events;
    /// When it was finished.
    Millis At{0};
  };

  /// Sends an item to an engine.
  /// @param Start which, and where.
  void begin(const StartItem &Start);
  /// @param Key the item.
  /// @param Response the head of the answer.
  void onHead(const ItemKey &Key, const HttpResponse &Response);
  /// @param Key the item.
  /// @param Part a part of the stream.
  void onChunk(const ItemKey &Key, std::string_view Part);
  /// @param Key the item.
  /// @param Each its run.
  /// @param Event one event.
  /// @return whether it follows the one before.
  bool takeEvent(const ItemKey &Key, Run &Each, platform::EngineEvent &Event);
  /// Forgets a run's text, which belongs to no result.
  /// @param Each the run.
  void forgetText(Run &Each);
  /// @param Key the item.
  /// @param Each its run.
  /// @return whether the next event is of another version than the first, on
  ///         a route where one must make all of the text.
  bool mixesVersions(const ItemKey &Key, const Run &Each) const;
  /// @param Key the item.
  /// @param Response the end of the answer.
  void onFinished(const ItemKey &Key, const HttpResponse &Response);
  /// Ends the call at the engine; the item waits for another.
  /// @param Key the item.
  /// @param Why what happened.
  /// @param End what it says of the engine.
  /// @param Cause why, for the log.
  void setBack(const ItemKey &Key, ItemSetback Why, WorkOutcome End,
               std::string_view Cause);
  /// Sends the scoring call of a whole text.
  /// @param Key the item.
  void score(const ItemKey &Key);
  /// @param Key the item.
  /// @param Response the answer to its scoring call.
  void onScored(const ItemKey &Key, const HttpResponse &Response);
  /// Sends the scoring call again.
  /// @param Key the item.
  /// @param Cause why.
  void scoreAgain(const ItemKey &Key, std::string_view Cause);
  /// Hands on a result.
  /// @param Key the item.
  /// @param Completed whether the text is whole and scored.
  /// @param Score the receipt of its scoring call.
  /// @param Cause why it was given up.
  void report(const ItemKey &Key, bool Completed, const std::string &Score,
              std::string_view Cause);
  /// Looks for runs that stand still or are slow.
  void look();
  /// Moves runs off engines that are much slower than others.
  void moveSlow();
  /// Runs items that their submissions will probably leave open a second time.
  void runLeftAgain();
  /// @param Id a submission.
  /// @return those of its items that are likely to be left open.
  std::vector<ItemKey> likelyLeft(const SubmissionId &Id) const;
  /// Notes a run's new events as progress.
  /// @param Key the item.
  /// @param Each its run.
  void save(const ItemKey &Key, Run &Each);
  /// Ends a run's call and scoring call.
  /// @param Key the item.
  void forget(const ItemKey &Key);
  /// @param Key an item.
  /// @return its run, or null.
  Run *find(const ItemKey &Key);
  /// @param Key an item.
  /// @return its route, or null.
  const Route *routeOf(const ItemKey &Key);

  /// The loop.
  Loop &Events;
  /// Sends the runs.
  HttpClient &Http;
  /// The endpoints.
  EndpointPool &Pool;
  /// Sends the scoring calls.
  ForwardTask &Forward;
  /// Counts retries.
  Metrics &Counts;
  /// What the task needs.
  ItemTaskEvents Tell;
  /// What it does.
  ItemTaskOptions Options;
  /// Chooses what runs.
  ItemScheduler Scheduler;
  /// Items under way.
  std::map<ItemKey, Run> Runs;
  /// Texts of items with a result, until their submissions end.
  std::map<ItemKey, FinishedText> Finished;
  /// Second runs of items that will probably be left open.
  FreshRuns Fresh;
  /// When second runs were last considered.
  Millis FreshLookedAt{0};
  /// Whether nothing more starts.
  bool Stopped = false;
  /// Whether a start is planned for the next turn.
  bool WakePlanned = false;
  /// Draws the names of chains.
  std::mt19937_64 Draws;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ITEM_TASK_BASE_H
