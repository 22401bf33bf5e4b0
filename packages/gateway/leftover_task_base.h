/// @file
/// Stores the unfinished texts of ended submissions for later submissions.

#ifndef CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H

#include "core/batch/leftover_table_base.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/history_read_queue_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>

namespace camphornotch {

/// Writes and reads leftovers, the unfinished texts of ended submissions. Those
/// of one route are in one partition, whichever process owned the submissions.
class LeftoverTask {
public:
  /// @param Partitions number of partitions of the topic.
  /// @param RecordBytes size limit of a record in the store.
  LeftoverTask(Loop &Events, platform::StoreClient &Store,
               HistoryReadQueue &HistoryReads, int64_t Partitions,
               size_t RecordBytes);

  /// Writes leftovers. A failed write is not retried: without leftovers items
  /// only start from the beginning.
  /// @param Route the key of the route.
  void write(std::string_view Route, const wire::LeftoverRecord &Record);

  /// Reads new leftovers of a route.
  /// @param Route the key of the route.
  /// @param Done called once: when they were read, on a failure or after a
  /// timeout.
  void refresh(std::string_view Route, std::function<void()> Done);

  const LeftoverTable &table() const { return this->Table; }

  /// Drops texts that are too old to be used by a later submission.
  void forgetOld();

private:
  /// The progress of reading one partition.
  struct ReadState {
    /// Offset of the next record.
    int64_t NextOffset = 0;
    /// Joins the parts of split records.
    RecordJoiner Joiner;
    /// Whether a read is under way.
    bool Running = false;
    /// Whether items wait for the read.
    bool Urgent = false;
    /// Called at the end of the partition or on a failure.
    std::vector<std::function<void()>> Waiters;
  };

  PartitionId partitionOf(std::string_view Route) const;
  /// Reads a partition to its end, or waits for such a read under way.
  /// @param Done called at the end or on a failure.
  void read(const PartitionId &Partition, std::function<void()> Done);
  /// Reads the next page of a partition.
  void readPage(const PartitionId &Partition);
  /// Ends the read of a partition and calls its waiters.
  void finish(const PartitionId &Partition);
  /// Adds the records of a page to the table.
  void applyPage(const PartitionId &Partition, const ReadPage &Page);

  Loop &Events;
  platform::StoreClient &Store;
  HistoryReadQueue &HistoryReads;
  /// Number of partitions of the topic.
  int64_t Partitions;
  /// Size limit of a record in the store.
  size_t RecordBytes;
  LeftoverTable Table;
  std::map<PartitionId, ReadState> ReadStates;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H
