/// @file
/// Appends records to partitions and retries until the store acknowledges them.

#ifndef CAMPHORNOTCH_GATEWAY_PARTITION_APPENDER_BASE_H
#define CAMPHORNOTCH_GATEWAY_PARTITION_APPENDER_BASE_H

#include "camphornotch_types.h"
#include "net/loop_base.h"
#include "platform/store_client_base.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace camphornotch {

/// How the append of a record ended.
enum class AppendOutcome : uint8_t {
  Stored,    ///< The store has the record.
  NotStored, ///< The store does not have the record and never will.
  Unknown,   ///< The store may have the record, or get it later.
};

/// How long an unacknowledged record is retried.
struct AppendPolicy {
  /// When to give up; Never: retry until it is acknowledged.
  Millis Deadline = Never;
};

/// Sends one call per partition at a time, with all records that wait for that
/// partition. A record may be stored twice: readers use the first.
class PartitionAppender {
public:
  /// Called with the outcome of an append.
  using OutcomeHandler = std::function<void(AppendOutcome)>;

  /// @param RecordBytes size limit of a record in the store; longer ones are
  /// split.
  PartitionAppender(Loop &Events, platform::StoreClient &Store,
                    size_t RecordBytes);

  /// Queues a record.
  /// @param Done called once with the outcome.
  void append(const PartitionId &Partition, const wire::BatchRecord &Record,
              AppendPolicy Policy, OutcomeHandler Done);

  /// @return the number of records that are not acknowledged yet.
  size_t pendingCount() const;

private:
  /// A record that is not acknowledged yet.
  struct PendingRecord {
    /// The record, split to the size limit.
    std::vector<std::string> Parts;
    Millis Deadline;
    OutcomeHandler Done;
    /// Whether the store may have carried out an earlier append of the record.
    bool MaybeStored = false;
  };

  /// Time for the answer to an append after a success: 60 times the store's
  /// usual answer time is 240 ms.
  static constexpr Millis InitialTimeout{900};

  /// The records that wait for one partition.
  struct Queue {
    std::deque<PendingRecord> Records;
    /// Number of records in the call under way.
    size_t InFlight = 0;
    bool Paused = false;
    Millis Timeout = InitialTimeout;
  };

  /// Sends the waiting records, unless a call is under way or paused.
  void pump(const PartitionId &Partition);
  /// Handles the outcome of the call under way.
  void onAnswer(const PartitionId &Partition,
                const StoreResult<int64_t> &Outcome);
  /// Gives up records whose deadline is over.
  void dropExpired(const PartitionId &Partition);

  Loop &Events;
  platform::StoreClient &Store;
  /// Size limit of a record in the store.
  size_t RecordBytes;
  std::map<PartitionId, Queue> Queues;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_APPENDER_BASE_H
