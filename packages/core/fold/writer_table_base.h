/// @file
/// Which sequences of which writers were seen, in bounded memory.

#ifndef CAMPHORNOTCH_CORE_FOLD_WRITER_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_FOLD_WRITER_TABLE_BASE_H

#include "base/id_type.h"
#include "camphornotch_types.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace camphornotch {

/// Sequences below the highest one that may still come for the first time:
/// a record that is further behind is dropped as a duplicate.
inline constexpr int64_t SequenceWindow = 64;

/// Remembers a window of sequences for the writers that wrote last.
class WriterTable {
public:
  /// @param Capacity how many writers are remembered.
  explicit WriterTable(size_t Capacity) : Capacity(Capacity) {}

  /// Notes a record.
  /// @param Writer its writer.
  /// @param Sequence its sequence, from 1 up.
  /// @param Offset its offset.
  /// @return whether it is the first with this sequence.
  bool firstSight(BootId Writer, int64_t Sequence, LogOffset Offset);

  /// @return the windows, the writer that was silent longest first.
  std::vector<wire::WriterWindow> exportWindows() const;

  /// Replaces the whole table.
  /// @param Exported windows as exported.
  void restoreWindows(const std::vector<wire::WriterWindow> &Exported);

private:
  /// What is known of one writer.
  struct Window {
    int64_t Highest = 0;
    uint64_t Recent = 0;
    LogOffset LastOffset = NoOffset;
  };

  /// Makes a writer the one that wrote last; forgets the oldest if needed.
  /// @param Writer the writer.
  /// @param Offset the offset of its record.
  void touch(BootId Writer, LogOffset Offset);

  size_t Capacity;
  std::unordered_map<BootId, Window> Windows;
  std::map<LogOffset, BootId> ByOffset;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_WRITER_TABLE_BASE_H
