/// @file
/// Batch submissions: takes them, serves their results, owns partitions.

#ifndef CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H

#include "base/settings_type.h"
#include "gateway/item_task_base.h"
#include "gateway/leftover_task_base.h"
#include "gateway/owner_call_base.h"
#include "gateway/partition_appender_base.h"
#include "gateway/partition_follower_base.h"
#include "net/http_server_base.h"
#include "platform/caller_func.h"

#include <map>
#include <memory>
#include <set>

namespace camphornotch {

/// What the task is made of.
struct BatchTaskParts {
  /// The loop.
  Loop &Events;
  /// Sends runs.
  HttpClient &Http;
  /// The store.
  platform::StoreClient &Store;
  /// The endpoints.
  EndpointPool &Pool;
  /// Sends scoring calls.
  ForwardTask &Forward;
  /// Counts refusals and retries.
  Metrics &Counts;
};

/// Owns the partitions that the group gives this process. A submission belongs
/// to the partition that its id falls on; any gateway takes it and reads it,
/// the partition's owner runs its items.
class BatchTask {
public:
  /// @param Parts what it works with.
  /// @param Settings the settings.
  /// @param Routes the routes in force.
  /// @param Demanded told which version of a model submitted work needs.
  BatchTask(const BatchTaskParts &Parts, const GatewaySettings &Settings,
            std::function<const RouteTable &()> Routes,
            std::function<void(const std::string &, int64_t)> Demanded);

  /// Joins the group.
  /// @param Peers where this process answers other gateways.
  void begin(const Address &Peers);

  /// @return this process's name in the group.
  const std::string &member() const { return this->Member.Member; }

  /// Serves a call of another gateway, from what this one has read; it is never
  /// passed on.
  /// @param Exchange the request.
  void onPeer(const std::shared_ptr<HttpExchange> &Exchange);

  /// Takes a submission.
  /// @param Exchange the request.
  /// @param Asked what its headers say.
  void submit(const std::shared_ptr<HttpExchange> &Exchange,
              const platform::RoutedRequest &Asked);

  /// Serves a read of results.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void readResults(const std::shared_ptr<HttpExchange> &Exchange,
                   const platform::ResultsRead &Asked);

  /// Serves a read of an item's body.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void readBody(const std::shared_ptr<HttpExchange> &Exchange,
                const platform::ItemBodyRead &Asked);

  /// Ends a submission.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void endSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                     const platform::SubmissionEnding &Asked);

  /// Starts what had no route, after a new configuration.
  void routesChanged();

  /// Looks at what waits, after endpoints have changed.
  void wake() { this->Items.scheduleStart(); }

  /// Hands all partitions over: progress is noted, runs end, the group is
  /// left. Waiting reads are answered.
  /// @param Done called when that is so.
  void handOver(const std::function<void()> &Done);

  /// @return the items' scheduler, for metrics.
  const ItemScheduler &scheduler() const { return this->Items.scheduler(); }

  /// @return how many partitions are owned.
  size_t owned() const { return this->Owned.size(); }

private:
  /// A read that waits for a result.
  struct WaitingRead {
    /// The request.
    std::shared_ptr<HttpExchange> Exchange;
    /// What is asked.
    platform::ResultsRead Asked;
    /// Answers it with what there is.
    TimerId Timer;
  };

  /// What is done once it is known whether a submission exists.
  using FoundCall = std::function<void(const SubmissionState &)>;

  /// @param Id a submission.
  /// @return its partition.
  PartitionId partitionOf(const SubmissionId &Id) const;
  /// @param Where a partition.
  /// @return its follower.
  PartitionFollower &follower(const PartitionId &Where);
  /// @param Where a partition.
  /// @param Now the time.
  /// @return whether calls about it are served from what is read here.
  bool readsHere(const PartitionId &Where, Millis Now);
  /// Reads a partition of another process here for a while.
  /// @param Where the partition.
  void readHere(const PartitionId &Where);
  /// Serves a call about a submission, or has its partition's owner do it.
  /// @param Exchange the request.
  /// @param Id the submission.
  /// @param Wait time that serving it may take.
  /// @param Here serves it here.
  void route(const std::shared_ptr<HttpExchange> &Exchange,
             const SubmissionId &Id, Millis Wait,
             const std::function<void()> &Here);
  /// Serves a read of results here.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void readResultsHere(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::ResultsRead &Asked);
  /// Serves a read of an item's body here.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void readBodyHere(const std::shared_ptr<HttpExchange> &Exchange,
                    const platform::ItemBodyRead &Asked);
  /// Ends a submission here.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void endHere(const std::shared_ptr<HttpExchange> &Exchange,
               const platform::SubmissionEnding &Asked);
  /// Finds a submission, after a read of its partition if need be; answers
  /// 404 or 503 itself.
  /// @param Exchange the request.
  /// @param Id the submission.
  /// @param Then called with the submission.
  void withSubmission(const std::shared_ptr<HttpExchange> &Exchange,
                      const SubmissionId &Id, const FoundCall &Then);
  /// Answers a read, or lets it wait.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  /// @param State the submission.
  void answerOrWait(const std::shared_ptr<HttpExchange> &Exchange,
                    const platform::ResultsRead &Asked,
                    const SubmissionState &State);
  /// Answers a read after a read of its partition, so that no result is missing
  /// that another gateway has shown.
  /// @param Exchange the request.
  /// @param Asked what is asked.
  void answerRefreshed(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::ResultsRead &Asked);
  /// Answers a waiting read with what there is.
  /// @param Number the read.
  void answerWaiting(uint64_t Number);
  /// @param Exchange the request.
  /// @param Status the status.
  /// @param Why why.
  /// @param RetryAfter when to come again.
  void refuse(const std::shared_ptr<HttpExchange> &Exchange, int Status,
              std::string_view Why, Millis RetryAfter);
  /// @param Id an owned submission.
  /// @return whether its end would be known by now.
  bool knowsEnd(const SubmissionId &Id);
  /// Joins the group, or stays in it.
  void join();
  /// @param Share the partitions that this process has now.
  /// @return whether it took partitions away.
  bool takeShare(const GroupShare &Share);
  /// Takes over the submissions of a partition that was read to its end.
  /// @param Where the partition.
  void adoptAll(const PartitionId &Where);
  /// @param Where a partition.
  /// @param Changes what its records changed.
  void onChanges(const PartitionId &Where,
                 const std::vector<PartitionChange> &Changes);
  /// Starts the work for a submission of an owned partition.
  /// @param State the submission.
  void adopt(const SubmissionState &State);
  /// Starts the items of a submission, after a look for earlier texts.
  /// @param Id the submission.
  void startItems(const SubmissionId &Id);
  /// Keeps the texts of a submission that its caller ended.
  /// @param State the submission.
  void keepLeftovers(const SubmissionState &State);
  /// Forgets submissions that need not be readable any more.
  void forgetOld();
  /// @param Record a record of an owned submission.
  /// @param Id the submission.
  /// @param Policy when to give up.
  void note(const wire::BatchRecord &Record, const SubmissionId &Id,
            AppendPolicy Policy);

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Counts refusals.
  Metrics &Counts;
  /// Counts reads of partitions.
  PartitionReadMetrics ReadCounts;
  /// Sends the reads of histories.
  HistoryGate Histories;
  /// The settings.
  const GatewaySettings &Settings;
  /// The routes in force.
  std::function<const RouteTable &()> Routes;
  /// Told which versions are needed.
  std::function<void(const std::string &, int64_t)> Demanded;
  /// This process in its group.
  GroupMember Member;
  /// Appends records.
  PartitionAppender Appender;
  /// The followed partitions.
  std::map<PartitionId, std::unique_ptr<PartitionFollower>> Followers;
  /// The owned partitions.
  std::set<PartitionId> Owned;
  /// When a join was last answered, by bootNow().
  Millis JoinedAt{0};
  /// Until when partitions of others are read here.
  std::map<PartitionId, Millis> HereUntil;
  /// Asks the owners of other partitions.
  OwnerCallTask OwnerCalls;
  /// Joins in a row that gave no partition.
  int EmptyJoins = 0;
  /// Owned partitions whose submissions were taken over.
  std::set<PartitionId> Adopted;
  /// Partitions whose items do not start, since they were not read lately.
  std::set<PartitionId> Held;
  /// Owned submissions for which there was no route yet.
  std::set<SubmissionId> Unrouted;
  /// Reads that wait.
  std::map<uint64_t, WaitingRead> Reads;
  /// The last read's number.
  uint64_t LastRead = 0;
  /// Whether the partitions are being handed over.
  bool Leaving = false;
  /// Texts that submissions leave behind.
  LeftoverTask Leftovers;
  /// Runs items.
  ItemTask Items;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_BATCH_TASK_BASE_H
