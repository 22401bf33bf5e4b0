/// @file
/// When this process carries the folded state forward.

#ifndef CAMPHORNOTCH_CORE_FOLD_CARRY_FORWARD_BASE_H
#define CAMPHORNOTCH_CORE_FOLD_CARRY_FORWARD_BASE_H

#include "core/fold/log_fold_base.h"

#include <optional>

namespace camphornotch {

/// Times of the carrying forward.
struct CarrySettings {
  /// How long the log keeps records.
  Millis Retention;
  /// Time between one entry's turn and the next one's.
  Millis Turn{2000};
  /// Time for an appended snapshot to be read back before it is repeated.
  Millis Patience{10000};
};

/// What the present state of the process is.
struct CarryView {
  /// The steady clock.
  Millis Now;
  /// The wall clock, which times snapshots between processes; an error in it
  /// costs a needless or a late snapshot, never a wrong one.
  Millis Wall;
  /// How many live entries of all data centres rank before this one.
  int64_t Rank = 0;
  /// The log was read up to its end.
  bool CaughtUp = false;
};

/// Decides when to append a snapshot: at half of the retention after the
/// newest one, the entry that ranks first, then the next one. Every snapshot
/// of any entry serves all. When the log has lost its start and holds no
/// snapshot at all, a reset is due.
class CarryForward {
public:
  /// @param Settings times.
  explicit CarryForward(CarrySettings Settings) : Settings(Settings) {}

  /// @param Fold the state.
  /// @param View the clocks and the place of this process.
  /// @return the record to append now, if any.
  std::optional<wire::SnapshotRecord> due(const LogFold &Fold,
                                          const CarryView &View);

private:
  /// @param Fold the state.
  /// @param View the clocks and the place of this process.
  /// @return whether this process is to write now.
  bool isDue(const LogFold &Fold, const CarryView &View);

  /// Times.
  CarrySettings Settings;
  /// When the log was first seen to lack a snapshot.
  Millis LackedSince = Never;
  /// Not before this does this process write again.
  Millis NotBefore{0};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_CARRY_FORWARD_BASE_H
