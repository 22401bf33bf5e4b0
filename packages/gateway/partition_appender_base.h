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
enum class AppendEnd : uint8_t {
  Done,    ///< The store has the record.
  NotDone, ///< The store does not have the record and never will.
  Unknown, ///< The store may have the record, or get it later.
};

/// How long an unacknowledged record is retried.
struct AppendPolicy {
  /// When to give up; Never: retry until it is acknowledged.
  Millis GiveUpAt = Never;
};

/// Sends one call per partition at a time, with all records that wait for that
/// partition. A record may be stored twice: readers use the first.
class PartitionAppender {
public:
  /// Called with the outcome of an append.
  using DoneCall = std::function<void(AppendEnd)>;

  /// @param RecordBytes size limit of a record in the store; longer ones are
  /// split.
  PartitionAppender(Loop &Events, platform::StoreClient &Store,
                    size_t RecordBytes);

  /// Queues a record.
  /// @param Done called once with the outcome.
  void append(const PartitionId &Partition, const wire::BatchRecord &Record,
              AppendPolicy Policy, DoneCall Done);

  /// @return the number of records that are not acknowledged yet.
  size_t waiting() const;

private:
  /// A record that is not acknowledged yet.
  struct Waiting {
    /// The record, split to the size limit.
    std::vector<std::string> Parts;
    Millis GiveUpAt;
    DoneCall Done;
    /// Whether the store may have carried out an earlier append of the record.
    bool MaybeDone = false;
  };

  /// Time for the answer to an append after a success: 60 times the store's
  /// usual answer time is 240 ms.
  static constexpr Millis FirstAppendTimeout{900};

  /// The records that wait for one partition.
  struct Queue {
    std::deque<Waiting> Records;
    /// Number of records in the call under way.
    size_t Sent = 0;
    bool Paused = false;
    Millis Timeout = FirstAppendTimeout;
  };

  /// Sends the waiting records, unless a call is under way or paused.
  void pump(const PartitionId &Partition);
  /// Handles the outcome of the call under way.
  void onAnswer(const PartitionId &Partition,
                const StoreResult<int64_t> &Outcome);
  /// Gives up records whose deadline is over.
  void giveUp(const PartitionId &Partition);

  Loop &Events;
  platform::StoreClient &Store;
  /// Size limit of a record in the store.
  size_t RecordBytes;
  std::map<PartitionId, Queue> Queues;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_APPENDER_BASE_H
