/// @file
/// Tests of snapshots: retention, fresh processes, and starting anew.

#include "fold_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(snapshot, fresh_process_behind_retention_knows_nothing_without_one) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  Log.append(configRecord(1, ruleText(2)));
  const LogFold Late = Log.readFrom(2);
  cr_assert(!Late.known());
  cr_assert(Late.config().Offset == NoOffset);
}

Test(snapshot, fresh_process_restores_and_replays_what_came_after) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  Log.append(claimRecord("trainer/t", "a", -1));
  Log.append(stepRecord("t", 2, 1, "g"));
  wire::LogRecord Snapshot;
  Snapshot.__set_Snapshot(Log.Fold.exportSnapshot());
  Log.append(configRecord(1, ruleText(2)));
  Log.append(claimRecord("trainer/t", "b", 2));
  Log.append(Snapshot);
  const LogFold Late = Log.readFrom(4);
  cr_assert(Late.known());
  cr_assert(Late.config().Offset == LogOffset{4});
  cr_assert(Late.claim(ShardId{"trainer/t"})->Owner == HostId{"b"});
  cr_assert(Late.trainer(TrainerId{"t"})->Steps.at(1).Groups.size() == 1);
}

Test(snapshot, late_one_that_misses_records_is_not_taken) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  wire::LogRecord Snapshot;
  Snapshot.__set_Snapshot(Log.Fold.exportSnapshot());
  Log.append(configRecord(1, ruleText(2)));
  Log.append(Snapshot);
  cr_assert(!Log.readFrom(3).known());
  cr_assert(Log.readFrom(2).config().Offset == LogOffset{2});
}

Test(snapshot, never_undoes_a_later_record) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  wire::LogRecord Snapshot;
  Snapshot.__set_Snapshot(Log.Fold.exportSnapshot());
  Log.append(configRecord(1, ruleText(2)));
  Log.append(Snapshot);
  cr_assert(Log.Fold.config().Offset == LogOffset{2});
}

Test(snapshot, duplicates_are_known_after_a_restore) {
  FoldedLog Log;
  wire::LogRecord First = configRecord(0, ruleText(1));
  First.WriterBoot = 9;
  First.Sequence = 4;
  Log.appendAsIs(First);
  Log.appendSnapshot();
  LogFold Late = Log.readFrom(2);
  cr_assert(onlyChange<DuplicateDropped>(Late.apply(LogOffset{3}, First)));
}

Test(snapshot, hostile_state_is_ignored) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  wire::LogRecord Record;
  Record.__set_Snapshot({});
  Record.Snapshot.Scope = "fold";
  Record.Snapshot.State = "\xff\xff\xff";
  Record.Snapshot.CoversOffset = 1;
  Log.append(Record);
  cr_assert(!Log.readFrom(2).known());
}

Test(reset, starts_anew_when_every_snapshot_has_expired) {
  FoldedLog Log;
  Log.append(claimRecord("s", "gone", -1));
  Log.append(bootRecord("e", 3));
  wire::LogRecord Reset;
  Reset.__set_Snapshot(Log.readFrom(2).exportReset());
  Log.append(Reset);
  cr_assert(Log.readFrom(2).known());
  cr_assert(Log.readFrom(2).claim(ShardId{"s"}) == nullptr);
  cr_assert(Log.Fold.claim(ShardId{"s"}) == nullptr);
  cr_assert(Log.Fold.boot(EndpointId{"e"})->Boot == BootId{3});
}

Test(reset, loses_against_a_record_in_between) {
  FoldedLog Log;
  Log.append(claimRecord("s", "a", -1));
  Log.append(bootRecord("e", 3));
  wire::LogRecord Reset;
  Reset.__set_Snapshot(Log.readFrom(2).exportReset());
  Log.append(bootRecord("f", 4));
  Log.append(Reset);
  cr_assert(!Log.readFrom(2).known());
  cr_assert(Log.Fold.claim(ShardId{"s"}) != nullptr);
}

Test(reset, loses_against_a_kept_snapshot) {
  FoldedLog Log;
  Log.append(claimRecord("s", "a", -1));
  Log.append(bootRecord("e", 3));
  const LogFold Late = Log.readFrom(2);
  Log.appendSnapshot();
  wire::LogRecord Reset;
  Reset.__set_Snapshot(Late.exportReset());
  Reset.Snapshot.CoversOffset = 3;
  Log.append(Reset);
  cr_assert(Log.Fold.claim(ShardId{"s"}) != nullptr);
}

Test(reset, counts_as_snapshot_for_readers_that_cannot_judge_it) {
  FoldedLog Log;
  Log.append(bootRecord("e", 3));
  Log.append(claimRecord("s", "a", -1));
  wire::LogRecord First;
  First.__set_Snapshot(Log.readFrom(2).exportReset());
  Log.append(First);
  Log.append(bootRecord("f", 4));
  wire::LogRecord Second;
  Second.__set_Snapshot(Log.readFrom(3).exportReset());
  Log.append(Second);
  cr_assert(Log.Fold.claim(ShardId{"s"}) != nullptr);
  cr_assert(!Log.readFrom(3).known());
}
