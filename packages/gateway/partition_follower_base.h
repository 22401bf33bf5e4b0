/// @file
/// Reads one partition of batch submissions and keeps its state.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H

#include "core/batch/partition_fold_base.h"
#include "gateway/history_read_queue_base.h"
#include "gateway/partition_read_metrics_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>

namespace camphornotch {

/// Objects that a PartitionFollower uses but does not own.
struct PartitionFollowerDependencies {
  Loop &Events;
  platform::StoreClient &Store;
  /// Sends reads before the end of the partition is reached.
  HistoryReadQueue &HistoryReads;
  PartitionReadMetrics &ReadMetrics;
};

/// Follows a partition while it is owned or needed. Afterwards it keeps the
/// state and later continues from there. Until the end is reached it reads page
/// by page through the shared queue for histories; then it long-polls the store
/// for new records. After a failure it goes back to that queue.
class PartitionFollower {
public:
  /// Called with the changes that newly read records made.
  using ChangeHandler =
      std::function<void(const std::vector<PartitionChange> &)>;
  /// Called with whether the partition's present end was reached.
  using RefreshHandler = std::function<void(bool Reached)>;

  /// @param OnChanges called after each page, also if nothing changed.
  PartitionFollower(const PartitionFollowerDependencies &Dependencies,
                    PartitionId Partition, ChangeHandler OnChanges);

  /// Follows at least until a time.
  void followUntil(Millis Until);

  /// Sets whether this process owns the partition; it is followed while it
  /// does.
  void setOwned(bool Owned);

  /// Reads up to the partition's present end, or waits for a read under way to
  /// get there. Concurrent callers share one read.
  /// @param Done called once with whether the end was reached in time.
  /// @pre The partition is followed.
  void refresh(RefreshHandler Done);

  /// @return the state of the partition, as read so far.
  const PartitionFold &fold() const { return this->Fold; }

  /// Drops the submissions that were read before a time.
  void forget(Millis SeenBefore) { this->Fold.forget(SeenBefore); }

  /// @return whether the end was reached since following began.
  bool caughtUp() const { return this->CaughtUp; }

  /// @return the time up to which all records are known, by bootNow().
  Millis upToDateAt() const { return this->UpToDateAt; }

  /// @return whether the state is as recent as a read of the store could make
  /// it.
  bool fresh() const;

private:
  /// A caller of refresh() that waits.
  struct Waiter {
    uint64_t Number = 0;
    RefreshHandler Done;
    /// Ends the wait.
    TimerId Timeout;
  };

  /// Sends the next read: from the history, or a long poll at the end.
  void continueReading();
  /// Long-polls the store for new records.
  void poll();
  /// Queues a read of the next page of the history.
  void readHistory();
  /// Reads without a wait at the store, for callers of refresh().
  void readNow();
  /// Schedules another such read if callers still wait.
  void scheduleReadNow(Millis Pause);
  /// Handles the outcome of a read.
  /// @param Elapsed the time since the read was sent.
  /// @param Last the last caller that waited when the read was sent.
  /// @return whether the end was reached.
  bool onRead(const StoreResult<ReadPage> &Page, Millis Elapsed, uint64_t Last);
  /// Applies the records of a page to the state.
  void applyPage(const ReadPage &Page);
  /// @param Elapsed the time since the read was sent.
  void onReadFailed(const StoreFailure &Failure, Millis Elapsed);
  /// Skips records that the store does not keep any more.
  void skipExpired(const StoreFailure &Failure);
  /// Answers waiting callers of refresh().
  /// @param Last number of the last caller to answer.
  /// @param Reached whether the end was reached.
  void answerWaiters(uint64_t Last, bool Reached);
  /// Logs that the end was reached.
  void logCaughtUp();
  /// @return whether the partition is to be followed.
  bool shouldFollow() const;

  PartitionFollowerDependencies Dependencies;
  PartitionId Partition;
  ChangeHandler OnChanges;
  PartitionFold Fold;
  /// Joins the parts of split records.
  RecordJoiner Joiner;
  int64_t NextOffset = 0;
  /// Whether a read is under way or scheduled.
  bool Following = false;
  /// Whether the last read succeeded and reached the end.
  bool AtEnd = false;
  /// Whether a read for callers of refresh() is under way.
  bool ReadingNow = false;
  /// Whether another such read is scheduled.
  bool ReadNowScheduled = false;
  /// Whether this process owns the partition.
  bool Owned = false;
  /// Until when the partition is needed without being owned.
  Millis FollowUntil{0};
  /// Whether the end was reached since following began.
  bool CaughtUp = false;
  /// The time up to which all records are known, by bootNow().
  Millis UpToDateAt{0};
  Millis FollowStartedAt{0};
  /// Bytes read since following began.
  size_t BytesRead = 0;
  /// Failed reads since following began.
  int64_t FailedReads = 0;
  /// Waiting callers of refresh(), oldest first.
  std::vector<Waiter> Waiters;
  uint64_t LastWaiterNumber = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
