/// @file
/// Queues the reads of partitions' histories and sends a few at a time.

#ifndef CAMPHORNOTCH_GATEWAY_HISTORY_READ_QUEUE_BASE_H
#define CAMPHORNOTCH_GATEWAY_HISTORY_READ_QUEUE_BASE_H

#include "core/batch/history_read_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>
#include <random>

namespace camphornotch {

/// Sends the reads of all partitions whose end was not reached yet, in the
/// order of a HistoryReadScheduler.
class HistoryReadQueue {
public:
  /// Called with the outcome of a read and the time since it was sent.
  using ReadHandler =
      std::function<void(const StoreResult<ReadPage> &, Millis)>;
  /// Returns the offset to read from, at the time when the read is sent.
  using OffsetSource = std::function<int64_t()>;

  HistoryReadQueue(Loop &Events, platform::StoreClient &Store);

  /// Queues a read.
  /// @param Partition a partition without a queued or open read.
  /// @param Owned whether this process owns the partition.
  /// @param NextOffset returns the offset to read from.
  /// @param Done called once, in a later iteration of the loop.
  void read(const PartitionId &Partition, bool Owned, OffsetSource NextOffset,
            ReadHandler Done);

  /// Changes the priority of a partition's reads.
  /// @param Owned whether this process owns the partition.
  void setOwned(const PartitionId &Partition, bool Owned);

  /// Forgets a partition whose history was read or is not needed any more.
  /// @param Partition a partition without a queued or open read.
  void remove(const PartitionId &Partition) {
    this->Scheduler.remove(Partition);
  }

private:
  /// A read that was not sent yet.
  struct QueuedRead {
    OffsetSource NextOffset;
    ReadHandler Done;
  };

  /// Sends the reads that may be sent now.
  void pump();
  void send(const HistoryRead &Read);
  /// Reports the outcome of a read to the scheduler.
  /// @param Elapsed the time since the read was sent.
  void onReadEnded(const PartitionId &Partition, bool Served, Millis Elapsed);

  Loop &Events;
  platform::StoreClient &Store;
  /// Decides which reads are sent.
  HistoryReadScheduler Scheduler;
  std::map<PartitionId, QueuedRead> QueuedReads;
  /// Spreads the retries of the processes.
  std::minstd_rand Random;
  /// Whether pump() is scheduled for the end of a pause.
  bool Paused = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_HISTORY_READ_QUEUE_BASE_H
