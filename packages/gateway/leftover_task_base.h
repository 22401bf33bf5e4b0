/// @file
/// Keeps the texts that ended submissions leave behind in the store.

#ifndef CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H

#include "core/batch/leftover_table_base.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/history_gate_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>

namespace camphornotch {

/// Writes and reads leftovers. All submissions of one route have theirs in one
/// partition, whoever owned them.
class LeftoverTask {
public:
  /// @param Events the loop.
  /// @param Store the store.
  /// @param Histories sends the reads.
  /// @param Partitions how many partitions there are.
  /// @param RecordBytes most bytes of one record.
  LeftoverTask(Loop &Events, platform::StoreClient &Store,
               HistoryGate &Histories, int64_t Partitions, size_t RecordBytes);

  /// Writes leftovers. They are worth one try: without them items begin anew.
  /// @param Route names the route.
  /// @param Record the texts.
  void write(std::string_view Route, const wire::LeftoverRecord &Record);

  /// Reads what is new for a route.
  /// @param Route names the route.
  /// @param Done called once it is read, could not be, or took too long.
  void refresh(std::string_view Route, std::function<void()> Done);

  /// @return the texts read.
  const LeftoverTable &table() const { return this->Table; }

  /// Forgets texts that no submission can come back for.
  void forgetOld();

private:
  /// What is known of a partition.
  struct Reading {
    /// Where to read on.
    int64_t Next = 0;
    /// Joins long records.
    RecordJoiner Joiner;
    /// Whether it is being read.
    bool Running = false;
    /// Whether items wait for it.
    bool Urgent = false;
    /// Called at the end, or on a failure.
    std::vector<std::function<void()>> Waiters;
  };

  /// @param Route names a route.
  /// @return its partition.
  PartitionId partitionOf(std::string_view Route) const;
  /// Reads a partition to its end; one that is being read is not read twice.
  /// @param Where the partition.
  /// @param Done called at the end, or on a failure.
  void read(const PartitionId &Where, std::function<void()> Done);
  /// Reads the next page of a partition.
  /// @param Where the partition.
  void readPage(const PartitionId &Where);
  /// Ends the reading of a partition.
  /// @param Where the partition.
  void finish(const PartitionId &Where);
  /// @param Where the partition.
  /// @param Page records.
  void take(const PartitionId &Where, const ReadPage &Page);

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Sends the reads.
  HistoryGate &Histories;
  /// How many partitions there are.
  int64_t Partitions;
  /// Most bytes of one record.
  size_t RecordBytes;
  /// The texts.
  LeftoverTable Table;
  /// The partitions read.
  std::map<PartitionId, Reading> Readings;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_LEFTOVER_TASK_BASE_H
