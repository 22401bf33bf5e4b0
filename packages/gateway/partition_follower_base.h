/// @file
/// Reads one partition of batch submissions and folds it.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H

#include "core/batch/partition_fold_base.h"
#include "gateway/history_gate_base.h"
#include "gateway/partition_read_metrics_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>

namespace camphornotch {

/// What followers of partitions work with.
struct PartitionFollowerParts {
  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Sends the reads of histories.
  HistoryGate &Histories;
  /// Counts the reads.
  PartitionReadMetrics &Counts;
};

/// Follows a partition while it is owned or asked for; between, it keeps its
/// state and reads on from there. Up to the end it reads through the gate, a
/// page at a time; from there on it waits at the store for new records, and
/// goes back to the gate after a failure.
class PartitionFollower {
public:
  /// Takes what records changed.
  using ChangeCall = std::function<void(const std::vector<PartitionChange> &)>;
  /// Takes whether the partition's present end was reached.
  using RefreshCall = std::function<void(bool Reached)>;

  /// @param Parts what it works with.
  /// @param Where the partition.
  /// @param Changed called after records were folded, also with no change.
  PartitionFollower(const PartitionFollowerParts &Parts, PartitionId Where,
                    ChangeCall Changed);

  /// Follows until a time at least.
  /// @param Until the time.
  void keep(Millis Until);

  /// Follows for as long as it is owned.
  /// @param Owned whether it is.
  void own(bool Owned);

  /// Reads up to the partition's present end, or waits for a read that is to
  /// come there. Callers that wait at the same time share one read.
  /// @param Done called once with whether that was reached in time.
  /// @pre it follows.
  void refresh(RefreshCall Done);

  /// @return the folded state.
  const PartitionFold &fold() const { return this->Fold; }

  /// Forgets old submissions.
  /// @param SeenBefore those folded before this time.
  void forget(Millis SeenBefore) { this->Fold.forget(SeenBefore); }

  /// @return whether the end was reached since it follows.
  bool caughtUp() const { return this->CaughtUp; }

  /// @return the time up to which all records are known, by bootNow().
  Millis knownAt() const { return this->KnownAt; }

  /// @return whether what it knows is as new as a read can tell.
  bool fresh() const;

private:
  /// A caller that waits for the end.
  struct Waiter {
    /// Which.
    uint64_t Number = 0;
    /// Told whether the end was reached.
    RefreshCall Done;
    /// Ends the wait.
    TimerId Limit;
  };

  /// Reads on in the way that fits.
  void readOn();
  /// Waits at the store for new records.
  void poll();
  /// Asks the gate for the next page.
  void readHistory();
  /// Reads what is there now, for callers that wait.
  void readNow();
  /// Reads again for callers that still wait.
  /// @param Pause how long from now.
  void readNowAgain(Millis Pause);
  /// Takes a page, or goes on after a failure.
  /// @param Page the records, or why there are none.
  /// @param Took the time since the read was sent.
  /// @param Last the last caller that waited when the read was sent.
  /// @return whether the end was reached.
  bool ended(const StoreResult<ReadPage> &Page, Millis Took, uint64_t Last);
  /// @param Page records.
  void take(const ReadPage &Page);
  /// @param Failure why a read failed.
  /// @param Took the time since it was sent.
  void failed(const StoreFailure &Failure, Millis Took);
  /// Skips records that are not kept any more.
  /// @param Failure the read that told so.
  void skipExpired(const StoreFailure &Failure);
  /// Tells callers that waited.
  /// @param Last the last one to be told.
  /// @param Reached whether the end was reached.
  void tell(uint64_t Last, bool Reached);
  /// Notes that the end was reached.
  void noteCaughtUp();
  /// @return whether it is to follow.
  bool wanted() const;

  /// What it works with.
  PartitionFollowerParts Parts;
  /// The partition.
  PartitionId Where;
  /// Told of changes.
  ChangeCall Changed;
  /// The folded state.
  PartitionFold Fold;
  /// Joins the parts of long records.
  RecordJoiner Joiner;
  /// The next record's offset.
  int64_t Next = 0;
  /// Whether a read is under way or planned.
  bool Following = false;
  /// Whether the last read was answered and came to the end.
  bool AtEnd = false;
  /// Whether a read for callers that wait is under way.
  bool ReadingNow = false;
  /// Whether that read is planned again.
  bool RetryPlanned = false;
  /// Whether it is owned.
  bool Owned = false;
  /// Until when it is asked for.
  Millis KeepUntil{0};
  /// Whether the end was reached.
  bool CaughtUp = false;
  /// The time up to which all records are known, by bootNow().
  Millis KnownAt{0};
  /// When it began to follow.
  Millis FollowsSince{0};
  /// Bytes read since it began to follow.
  size_t BytesRead = 0;
  /// Failed reads since it began to follow.
  int64_t FailedReads = 0;
  /// Callers that wait for the end.
  std::vector<Waiter> Waiters;
  /// The last waiter's number.
  uint64_t LastWaiter = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
