/// @file
/// Schedules this process's reads of partition histories.

#ifndef CAMPHORNOTCH_CORE_BATCH_HISTORY_READ_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_HISTORY_READ_BASE_H

#include "core/store/store_type.h"

#include <map>
#include <optional>
#include <utility>

namespace camphornotch {

/// Limits on the reads of histories.
struct HistoryReadLimits {
  /// Concurrent reads.
  size_t MaxOpen = 2;
  /// Concurrent reads of partitions that this process does not own.
  size_t MaxOpenUnowned = 1;
  /// Smallest page: above the longest record with its length.
  int64_t MinKilobytes = 320;
  int64_t MaxKilobytes = 1'024;
  /// Bounds of the time for the answer to one read. The store refuses reads
  /// that would wait for more than 2 s.
  Millis MinTimeout{600};
  Millis MaxTimeout{2'500};
  /// Pause after a failed read; doubles with each consecutive failure.
  Millis FirstPause{120};
  Millis MaxPause{1'000};
};

/// One read that may be sent now.
struct HistoryRead {
  PartitionId Partition;
  /// Largest page that it may request.
  int64_t Kilobytes = 0;
  /// Time for its answer.
  Millis Timeout{0};
};

/// Schedules the reads of partition histories, for the load of a deployment in
/// which all processes start at once: each has every history to read, and all
/// share the store's bandwidth. A read that times out has used bandwidth for
/// nothing. Hence few reads are open at once; owned partitions go first but
/// leave slots for the others; one history is read to its end before the next;
/// pauses after failures are randomized; and a read that times out lengthens
/// the next timeout and shrinks the next page. Deterministic, without I/O.
class HistoryReadScheduler {
public:
  explicit HistoryReadScheduler(const HistoryReadLimits &Limits = {});

  /// Queues the next read of a partition. A partition keeps its position in
  /// the queue until remove() or a failure.
  /// @param Owned whether this process owns it.
  void enqueue(const PartitionId &Partition, bool Owned);

  /// Changes whether this process owns a queued partition; an unknown
  /// partition is ignored.
  void setOwned(const PartitionId &Partition, bool Owned);

  /// Removes a partition whose history was read or is not needed any more.
  void remove(const PartitionId &Partition);

  /// @return the read to send now, which counts as open from now on; nothing
  ///         if none may be sent.
  std::optional<HistoryRead> next(Millis Now);

  /// @param Elapsed the time since the read was sent.
  void readSucceeded(const PartitionId &Partition, Millis Elapsed);

  /// @param Jitter a random number from 0 to 1, which spreads the retries of
  ///   several processes.
  void readFailed(const PartitionId &Partition, Millis Now, double Jitter);

  /// @return when the pause after a failure ends.
  Millis pausedUntil() const { return this->PausedUntil; }

  /// @return number of partitions with a queued read.
  size_t waiting() const;

  /// @return number of reads sent but not answered.
  size_t open() const;

private:
  /// A partition whose history is being read.
  struct PartitionState {
    /// Whether this process owns the partition.
    bool Owned = false;
    int64_t QueuePosition = 0;
    /// Whether a read is queued.
    bool Waiting = false;
    /// Whether a read was sent but not answered.
    bool Open = false;
    /// When the open read times out.
    Millis Deadline{0};
  };

  /// @param Owned whether to count owned partitions, or the others.
  /// @return number of open reads of these.
  size_t openCount(bool Owned) const;
  /// @param Owned whether to look at owned partitions, or the others.
  /// @return the first of these in the queue; null if none is queued.
  std::pair<const PartitionId, PartitionState> *firstWaiting(bool Owned);

  HistoryReadLimits Limits;
  std::map<PartitionId, PartitionState> Partitions;
  /// The last position given out.
  int64_t LastQueuePosition = 0;
  /// Page size of the next read.
  int64_t Kilobytes;
  /// Time for the answer to the next read.
  Millis Timeout;
  /// Consecutive failures.
  int Failures = 0;
  /// When the pause after a failure ends.
  Millis PausedUntil{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_HISTORY_READ_BASE_H
