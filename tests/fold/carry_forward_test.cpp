/// @file
/// Tests of when snapshots are written.

#include "fold_fixture.h"

#include "core/fold/carry_forward_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Half of the retention of these tests.
constexpr Millis Half{100000};
/// Times of these tests.
constexpr CarrySettings Times{Half * 2, Millis{2000}, Millis{10000}};

/// @param Now both clocks.
/// @param Rank the entry's rank.
/// @return the view of an entry that has read the log.
CarryView view(int64_t Now, int64_t Rank) {
  return CarryView{Millis{Now}, Millis{Now}, Rank, true};
}

/// Appends a snapshot that was due.
/// @param Log the log.
/// @param Snapshot the snapshot.
void append(FoldedLog &Log, const wire::SnapshotRecord &Snapshot) {
  wire::LogRecord Record;
  Record.__set_Snapshot(Snapshot);
  Log.append(Record);
}

} // namespace

Test(carryForward, first_entry_writes_at_half_of_the_retention) {
  FoldedLog Log;
  Log.append(bootRecord("e", 1));
  CarryForward First(Times);
  cr_assert(!First.due(Log.Fold, view(0, 0)).has_value());
  append(Log, *First.due(Log.Fold, view(2000, 0)));
  cr_assert(!First.due(Log.Fold, view(2000 + Half.Count - 1, 0)).has_value());
  cr_assert(First.due(Log.Fold, view(2000 + Half.Count, 0)).has_value());
}

Test(carryForward, next_entry_writes_when_the_first_does_not) {
  FoldedLog Log;
  Log.append(bootRecord("e", 1));
  Log.appendSnapshot();
  CarryForward Second(Times);
  cr_assert(!Second.due(Log.Fold, view(Half.Count, 1)).has_value());
  cr_assert(Second.due(Log.Fold, view(Half.Count + 2000, 1)).has_value());
}

Test(carryForward, lost_append_is_repeated_after_patience) {
  FoldedLog Log;
  Log.append(bootRecord("e", 1));
  Log.appendSnapshot();
  CarryForward First(Times);
  cr_assert(First.due(Log.Fold, view(Half.Count, 0)).has_value());
  cr_assert(!First.due(Log.Fold, view(Half.Count + 9999, 0)).has_value());
  cr_assert(First.due(Log.Fold, view(Half.Count + 10000, 0)).has_value());
}

Test(carryForward, fold_without_state_gets_a_reset_only_at_the_end) {
  FoldedLog Log;
  Log.append(bootRecord("e", 1));
  Log.append(bootRecord("f", 1));
  const LogFold Late = Log.readFrom(2);
  CarryForward First(Times);
  CarryView Reading = view(0, 0);
  Reading.CaughtUp = false;
  cr_assert(!First.due(Late, Reading).has_value());
  First.due(Late, view(1, 0));
  cr_assert(First.due(Late, view(2001, 0))->Reset);
}

Test(carryForward, state_lives_through_many_retentions) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  CarryForward Writer(Times);
  int64_t Oldest = 1;
  for (int64_t Now = 0; Now < 20 * Half.Count; Now += 1000) {
    if (const auto Snapshot = Writer.due(Log.Fold, view(Now, 0)))
      append(Log, *Snapshot);
    if (Now % (2 * Half.Count) == 0)
      Oldest =
          std::max<int64_t>(1, static_cast<int64_t>(Log.Records.size()) - 1);
    cr_assert(Log.readFrom(Oldest).config().Offset == LogOffset{1});
  }
}
