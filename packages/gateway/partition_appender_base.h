/// @file
/// Appends records to partitions until the store has acknowledged each.

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
  Done,    ///< The store has it.
  NotDone, ///< The store does not have it and never will.
  Unknown, ///< It may have it, or get it later.
};

/// What to do with a record that the store did not acknowledge.
struct AppendPolicy {
  /// When to give up; Never: not before it is acknowledged.
  Millis GiveUpAt = Never;
};

/// Appends one call a partition at a time, with all that waits for it. Records
/// may come twice: the fold takes the first.
class PartitionAppender {
public:
  /// Told how an append ended.
  using DoneCall = std::function<void(AppendEnd)>;

  /// @param Events the loop.
  /// @param Store the store.
  /// @param RecordBytes most bytes of one record of the store.
  PartitionAppender(Loop &Events, platform::StoreClient &Store,
                    size_t RecordBytes);

  /// @param Where the partition.
  /// @param Record the record.
  /// @param Policy when to give up.
  /// @param Done told how it ended, once.
  void append(const PartitionId &Where, const wire::BatchRecord &Record,
              AppendPolicy Policy, DoneCall Done);

  /// @return records that are not acknowledged.
  size_t waiting() const;

private:
  /// A record that waits.
  struct Waiting {
    /// Its parts.
    std::vector<std::string> Parts;
    /// When to give up.
    Millis GiveUpAt;
    /// Told how it ended.
    DoneCall Done;
    /// Whether an append of it may have been carried out.
    bool MaybeDone = false;
  };

  /// Time for the answer to an append after one that was answered: 60 times the
  /// store's usual answer is 240 ms.
  static constexpr Millis FirstAppendTimeout{900};

  /// What waits for one partition.
  struct Queue {
    /// In order.
    std::deque<Waiting> Records;
    /// Records of the call under way.
    size_t Sent = 0;
    /// Whether a pause after a failure runs.
    bool Paused = false;
    /// Time for the answer to the next append.
    Millis Timeout = FirstAppendTimeout;
  };

  /// Sends what waits, unless a call is under way.
  /// @param Where the partition.
  void pump(const PartitionId &Where);
  /// @param Where the partition.
  /// @param Outcome how the call under way ended.
  void onAnswer(const PartitionId &Where, const StoreResult<int64_t> &Outcome);
  /// Ends records whose time is over.
  /// @param Where the partition.
  void giveUp(const PartitionId &Where);

  /// The loop.
  Loop &Events;
  /// The store.
  platform::StoreClient &Store;
  /// Most bytes of one record.
  size_t RecordBytes;
  /// What waits, by partition.
  std::map<PartitionId, Queue> Queues;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PARTITION_APPENDER_BASE_H
