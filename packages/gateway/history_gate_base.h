/// @file
/// Lets the reads of histories through, a few at a time.

#ifndef CAMPHORNOTCH_GATEWAY_HISTORY_GATE_BASE_H
#define CAMPHORNOTCH_GATEWAY_HISTORY_GATE_BASE_H

#include "core/batch/history_read_base.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <functional>
#include <map>
#include <random>

namespace camphornotch {

/// Sends the reads of all partitions whose end was not reached yet, by the
/// order of a HistoryReadScheduler.
class HistoryGate {
public:
  /// Takes the outcome of one read and the time since it was sent.
  using ReadCall = std::function<void(const StoreResult<ReadPage> &, Millis)>;
  /// Tells the next offset at the time when a read is sent.
  using OffsetCall = std::function<int64_t()>;

  /// @param Events the loop.
  /// @param Store the store.
  HistoryGate(Loop &Events, platform::StoreClient &Store);

  /// Queues a read.
  /// @param Where the partition, which has no read queued or open.
  /// @param Owned whether this process owns it.
  /// @param From tells the first offset wanted.
  /// @param Done called once, in a later turn.
  void read(const PartitionId &Where, bool Owned, OffsetCall From,
            ReadCall Done);

  /// Changes the rank of a partition's reads.
  /// @param Where the partition.
  /// @param Owned whether this process owns it.
  void setOwned(const PartitionId &Where, bool Owned);

  /// Ends the reading of a partition's history.
  /// @param Where the partition, which has no read queued or open.
  void done(const PartitionId &Where) { this->Plan.remove(Where); }

private:
  /// A read that was not sent yet.
  struct Queued {
    /// Tells the first offset wanted.
    OffsetCall From;
    /// Takes the outcome.
    ReadCall Done;
  };

  /// Sends what may be sent now.
  void pump();
  /// @param Read what to send.
  void send(const HistoryRead &Read);
  /// @param Where a partition.
  /// @param Served whether the store has served the read.
  /// @param Took the time since it was sent.
  void ended(const PartitionId &Where, bool Served, Millis Took);

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Decides what is read.
  HistoryReadScheduler Plan;
  /// Reads that were not sent yet.
  std::map<PartitionId, Queued> Waiting;
  /// Spreads the tries of processes.
  std::minstd_rand Draws;
  /// Whether pump() is planned for the end of a pause.
  bool Paused = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_HISTORY_GATE_BASE_H
