/// @file
/// Accepts batch submissions, serves their results and owns partitions.

#ifndef CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H

#include "base/settings_type.h"
#include "core/batch/end_knowledge_base.h"
#include "gateway/item_task_base.h"
#include "gateway/leftover_task_base.h"
#include "gateway/owner_call_base.h"
#include "gateway/partition_appender_base.h"
#include "gateway/partition_follower_base.h"
#include "net/http_server_base.h"
#include "platform/caller_func.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace camphornotch {

/// Objects that a BatchTask uses but does not own.
struct BatchTaskDependencies {
  Loop &Events;
  HttpClient &Http;
  platform::StoreClient &Store;
  EndpointPool &Pool;
  /// Sends scoring calls.
  ForwardTask &Forward;
  Metrics &Counts;
};

/// Owns the partitions that the group assigns to this process. The partition of
/// a submission follows from its id. Any gateway accepts it and serves reads of
/// it; the partition's owner runs its items.
class BatchTask {
public:
  /// @param Routes returns the routes in force.
  /// @param OnVersionNeeded called with a model and the least version that
  /// submitted work needs.
  BatchTask(const BatchTaskDependencies &Dependencies,
            const GatewaySettings &Settings,
            std::function<const RouteTable &()> Routes,
            std::function<void(const std::string &, int64_t)> OnVersionNeeded);

  /// Joins the group.
  /// @param Peers the address at which this process answers other gateways.
  void begin(const Address &Peers);

  /// @return this process's member name in the group.
  const std::string &member() const { return this->Member.Member; }

  /// Serves a request of another gateway from the state of this process. Such a
  /// request is never forwarded.
  void onPeerRequest(const std::shared_ptr<HttpExchange> &Exchange);

  /// Appends a submission to its partition and answers once that is
  /// acknowledged.
  /// @param Request its id is that of the submission, as accountScopedId()
  ///   makes it.
  /// @param AccountName the account that submits; empty: a caller without a
  ///   key; absent: the configuration has no accounts.
  void submit(const std::shared_ptr<HttpExchange> &Exchange,
              const platform::RoutedRequest &Request,
              const std::optional<std::string> &AccountName);

  /// Serves a read of results, here or at the partition's owner.
  void readResults(const std::shared_ptr<HttpExchange> &Exchange,
                   const platform::ResultsRead &Query);

  /// Serves a read of an item's body, here or at the partition's owner.
  void readBody(const std::shared_ptr<HttpExchange> &Exchange,
                const platform::ItemBodyRead &Query);

  /// Ends a submission, here or at the partition's owner.
  void endSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                     const platform::SubmissionEndRequest &Request);

  /// Starts submissions that had no route before a new configuration.
  void routesChanged();

  /// Starts waiting items where possible, after endpoints have changed.
  void wake() { this->Items.scheduleStart(); }

  /// Gives up all partitions before the process stops: answers waiting reads,
  /// appends the progress of runs, ends the runs and leaves the group.
  /// @param Done called after the group was left.
  void handOver(const std::function<void()> &Done);

  /// @return the scheduler of the items, for metrics.
  const ItemScheduler &scheduler() const { return this->Items.scheduler(); }

  /// @return the number of owned partitions.
  size_t owned() const { return this->Owned.size(); }

private:
  /// A read of results that waits for a new one.
  struct WaitingRead {
    std::shared_ptr<HttpExchange> Exchange;
    platform::ResultsRead Query;
    /// Answers the read when its wait is over.
    TimerId Timer;
  };

  /// Called with a submission that was found.
  using SubmissionHandler = std::function<void(const SubmissionState &)>;

  PartitionId partitionOf(const SubmissionId &Id) const;
  PartitionFollower &follower(const PartitionId &Partition);
  /// @return whether this process serves calls about the partition from its own
  /// state.
  bool servesLocally(const PartitionId &Partition, Millis Now);
  /// Follows a partition of another owner for a while.
  void followLocally(const PartitionId &Partition);
  /// Serves a call about a submission here or forwards it to the partition's
  /// owner.
  /// @param Wait time that the owner may need to serve it.
  /// @param ServeLocally serves the call in this process.
  void route(const std::shared_ptr<HttpExchange> &Exchange,
             const SubmissionId &Id, Millis Wait,
             const std::function<void()> &ServeLocally);
  /// Serves a read of results from this process's state.
  void readResultsLocally(const std::shared_ptr<HttpExchange> &Exchange,
                          const platform::ResultsRead &Query);
  /// Serves a read of an item's body from this process's state.
  void readBodyLocally(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::ItemBodyRead &Query);
  /// Appends the end of a submission.
  void endLocally(const std::shared_ptr<HttpExchange> &Exchange,
                  const platform::SubmissionEndRequest &Request);
  /// Finds a submission, after a refresh of its partition if it is unknown.
  /// Answers 404 or 503 if it is not found.
  void withSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                      const SubmissionId &Id, const SubmissionHandler &OnFound);
  /// Answers a read of results, or queues it until there is a new result.
  void answerOrWait(const std::shared_ptr<HttpExchange> &Exchange,
                    const platform::ResultsRead &Query,
                    const SubmissionState &State);
  /// Refreshes the partition before it answers a read, so that the answer has
  /// every result that another gateway may already have shown.
  void answerRefreshed(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::ResultsRead &Query);
  /// Answers a waiting read with the results so far.
  void answerWaiting(uint64_t Number);
  /// Answers a call with an error, logs and counts it.
  /// @param RetryAfter value of the Retry-After header; 0: no header.
  void refuse(const std::shared_ptr<HttpExchange> &Exchange, int Status,
              std::string_view Reason, Millis RetryAfter);
  /// @param Id a submission of an owned partition.
  /// @return whether the partition was read recently enough that an
  /// acknowledged end of the submission would be known here.
  bool knowsEnd(const SubmissionId &Id);
  /// Notes, again and again, that the process runs.
  void tick();
  /// Joins the group or renews the membership, and schedules the next join.
  void join();
  /// Applies a new assignment of partitions.
  /// @return whether the assignment took partitions away.
  bool applyShare(const GroupShare &Share);
  /// Takes over the submissions of an owned partition that was read to its end.
  void adoptAll(const PartitionId &Partition);
  /// @param Changes the changes that newly read records made.
  void onChanges(const PartitionId &Partition,
                 const std::vector<PartitionChange> &Changes);
  /// Starts the work for an unfinished submission of an owned partition.
  void adopt(const SubmissionState &State);
  /// Starts the items of a submission, with texts of earlier submissions where
  /// they fit.
  void startItems(const SubmissionId &Id);
  /// Stores the unfinished texts of a submission that its caller ended.
  void storeLeftovers(const SubmissionState &State);
  /// Drops submissions whose lifetime is over, and schedules the next run.
  void forgetOld();
  /// Appends a record to the submission's partition without waiting.
  void appendRecord(const wire::BatchRecord &Record, const SubmissionId &Id,
                    AppendPolicy Policy);

  Loop &Events;
  platform::StoreClient &Store;
  Metrics &Counts;
  PartitionReadMetrics ReadCounts;
  HistoryReadQueue HistoryReads;
  const GatewaySettings &Settings;
  std::function<const RouteTable &()> Routes;
  std::function<void(const std::string &, int64_t)> OnVersionNeeded;
  /// This process as a member of the group.
  GroupMember Member;
  PartitionAppender Appender;
  /// Followers by partition; created at the partition's first use.
  std::map<PartitionId, std::unique_ptr<PartitionFollower>> Followers;
  std::set<PartitionId> Owned;
  /// Whether this process would know of ends; its times are by bootNow().
  EndKnowledge Ends;
  /// Partitions of other owners that are followed here, and until when.
  std::map<PartitionId, Millis> FollowedUntil;
  OwnerCallTask OwnerCalls;
  /// Consecutive joins without an assigned partition.
  int EmptyJoins = 0;
  /// Owned partitions whose submissions were taken over.
  std::set<PartitionId> Adopted;
  /// Partitions whose items do not start because they were not read recently.
  std::set<PartitionId> UnreadPartitions;
  /// Owned submissions that wait for a route.
  std::set<SubmissionId> Unrouted;
  /// Waiting reads by number.
  std::map<uint64_t, WaitingRead> WaitingReads;
  uint64_t LastReadNumber = 0;
  /// Whether the process is giving up its partitions.
  bool Leaving = false;
  LeftoverTask Leftovers;
  ItemTask Items;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H
