/// @file
/// Reads one partition of batch submissions and folds it.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H

#include "core/batch/partition_fold_base.h"
#include "gateway/partition_read_metrics_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>

namespace camphornotch {

/// Follows a partition while it is owned or asked for; between, it keeps its
/// state and reads on from there.
class PartitionFollower {
public:
  /// Takes what records changed.
  using ChangeCall = std::function<void(const std::vector<PartitionChange> &)>;

  /// @param Events the loop.
  /// @param Store the store.
  /// @param Counts counts the reads.
  /// @param Where the partition.
  /// @param Changed called after records were folded, also with no change.
  PartitionFollower(Loop &Events, platform::StoreClient &Store,
                    PartitionReadMetrics &Counts, PartitionId Where,
                    ChangeCall Changed);

  /// Follows until a time at least.
  /// @param Until the time.
  void keep(Millis Until);

  /// Follows for as long as it is owned.
  /// @param Owned whether it is.
  void own(bool Owned);

  /// Reads up to the partition's present end.
  /// @param Done called with whether that was reached.
  void refresh(const std::function<void(bool Reached)> &Done);

  /// @return the folded state.
  const PartitionFold &fold() const { return this->Fold; }

  /// Forgets old submissions.
  /// @param SeenBefore those folded before this time.
  void forget(Millis SeenBefore) { this->Fold.forget(SeenBefore); }

  /// @return whether the end was reached since it follows.
  bool caughtUp() const { return this->CaughtUp; }

  /// @param Now the time.
  /// @return whether what it knows is as new as a read can tell.
  bool fresh(Millis Now) const;

private:
  /// Waits for the next records.
  void readOn();
  /// Reads the next records.
  /// @param Wait how long the store may wait for one.
  /// @param Reply gets the records.
  void read(Millis Wait, const StoreReply<ReadPage> &Reply);
  /// Notes a read that failed.
  /// @param Failure why.
  /// @param Took the time since it was sent.
  void noteFailed(const StoreFailure &Failure, Millis Took);
  /// Notes that the end was reached.
  void noteCaughtUp();
  /// @param Page records.
  void take(const ReadPage &Page);
  /// @param Failure why a read failed.
  void failed(const StoreFailure &Failure);
  /// @return whether it is to follow.
  bool wanted() const;

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Counts the reads.
  PartitionReadMetrics &Counts;
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
  /// Whether it is owned.
  bool Owned = false;
  /// Until when it is asked for.
  Millis KeepUntil{0};
  /// Whether the end was reached.
  bool CaughtUp = false;
  /// When a read was last answered.
  Millis AnsweredAt{0};
  /// When it began to follow.
  Millis FollowsSince{0};
  /// Bytes read since it began to follow.
  size_t BytesRead = 0;
  /// Failed reads since it began to follow.
  int64_t FailedReads = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_FOLLOWER_BASE_H
