/// @file
/// Keeps output and answers until the entry acknowledges them.

#ifndef CAMPHORNOTCH_CORE_AGENT_WORK_STORE_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_WORK_STORE_BASE_H

#include "core/agent/work_type.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace camphornotch {

/// The end of a piece of work, as the entry is told.
using WorkEnd = std::variant<wire::WorkFinished, wire::WorkRefused>;

/// Limits of a work store.
struct WorkStoreSettings {
  /// Bytes of ended work kept at most; the oldest are forgotten first.
  size_t MaxEndedBytes = size_t{64} << 20;
  /// Ended pieces of work kept at most.
  size_t MaxEnded = 16384;
};

/// Output by work, from its start until the acknowledgement. A new link asks
/// for what it has not seen.
class WorkStore {
public:
  /// @param Settings the limits.
  explicit WorkStore(WorkStoreSettings Settings) : Settings(Settings) {}

  /// @param Key work that arrived.
  /// @return false if it is known already: a repeated message.
  bool open(WorkKey Key);

  /// @param Key the work.
  /// @param Data output that follows what is held.
  /// @return the offset of the new output.
  /// @pre The work is open.
  int64_t append(WorkKey Key, std::string_view Data);

  /// @param Key the work.
  /// @param End how it ended; kept until acknowledged.
  void close(WorkKey Key, WorkEnd End);

  /// @param Key work that may be forgotten; unknown or open work stays.
  void acknowledge(WorkKey Key);

  /// @param Key the work.
  /// @return whether it is known, open or ended.
  [[nodiscard]] bool knows(WorkKey Key) const;

  /// @param Key the work.
  /// @return its end, or null while it is open or unknown.
  [[nodiscard]] const WorkEnd *end(WorkKey Key) const;

  /// @param Key the work.
  /// @param From offset of the first byte wanted.
  /// @return the output from there on; empty if there is none.
  [[nodiscard]] std::string_view output(WorkKey Key, int64_t From) const;

  /// @return ended work not acknowledged.
  [[nodiscard]] size_t ended() const { return this->EndedCount; }

  /// @return work forgotten for want of room before its acknowledgement.
  [[nodiscard]] int64_t dropped() const { return this->Dropped; }

private:
  /// One piece of work.
  struct Entry {
    /// All its output.
    std::string Output;
    /// How it ended, once it did.
    std::optional<WorkEnd> End;
    /// Bytes that it counts for once ended.
    size_t Bytes = 0;
  };

  /// Forgets the oldest ended work while over a limit.
  void trim();
  /// Forgets ended work.
  void forget(WorkKey Key);

  /// The limits.
  WorkStoreSettings Settings;
  /// All work known.
  absl::flat_hash_map<WorkKey, Entry> Entries;
  /// Ended work, oldest first; acknowledged keys are skipped.
  std::deque<WorkKey> EndedOrder;
  /// Ended work held.
  size_t EndedCount = 0;
  /// Bytes of ended work.
  size_t EndedBytes = 0;
  /// Work forgotten for want of room.
  int64_t Dropped = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_WORK_STORE_BASE_H
