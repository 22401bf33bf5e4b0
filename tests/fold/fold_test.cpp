/// @file
/// Tests of the fold of the log, one fault each.

#include "fold_fixture.h"

#include "core/fold/shard_func.h"
#include "rules/delta_func.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(config, second_of_two_racing_publishers_is_refused) {
  FoldedLog Log;
  cr_assert(
      onlyChange<ConfigAccepted>(Log.append(configRecord(0, ruleText(1)))));
  cr_assert(
      onlyChange<ConfigAccepted>(Log.append(configRecord(1, ruleText(2)))));
  const auto Changes = Log.append(configRecord(1, ruleText(3)), 2);
  const auto *Refused = onlyChange<ConfigRefused>(Changes);
  cr_assert(Refused != nullptr);
  cr_assert(Refused->Faults[0].Kind == ErrorKind::Conflict);
  cr_assert(Refused->Accepted == LogOffset{2});
  cr_assert(Log.Fold.config().Text == ruleText(2));
}

Test(config, publication_repeated_after_a_lost_answer_counts_once) {
  FoldedLog Log;
  wire::LogRecord Record = configRecord(0, ruleText(1));
  Record.WriterBoot = 5;
  Record.Sequence = 1;
  cr_assert(onlyChange<ConfigAccepted>(Log.appendAsIs(Record)));
  cr_assert(onlyChange<DuplicateDropped>(Log.appendAsIs(Record)));
  cr_assert(Log.Fold.config().Offset == LogOffset{1});
}

Test(config, faulty_text_is_refused_and_the_old_one_stays) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  const auto Changes = Log.append(configRecord(1, "[hosts]\n* = nonsense\n"));
  cr_assert(onlyChange<ConfigRefused>(Changes) != nullptr);
  cr_assert(Log.Fold.config().Offset == LogOffset{1});
}

Test(config, delta_applies_to_the_accepted_text) {
  FoldedLog Log;
  Log.append(configRecord(0, ruleText(1)));
  wire::LogRecord Record = configRecord(1, "");
  Record.Config.__isset.Text = false;
  Record.Config.__set_Delta(encodeDelta(ruleText(1), ruleText(2)));
  cr_assert(onlyChange<ConfigAccepted>(Log.append(Record)));
  cr_assert(Log.Fold.config().Text == ruleText(2));
}

Test(config, delta_that_does_not_fit_is_refused) {
  FoldedLog Log;
  wire::LogRecord Record = configRecord(0, "");
  Record.Config.__isset.Text = false;
  Record.Config.__set_Delta("=40\n");
  cr_assert(onlyChange<ConfigRefused>(Log.append(Record)));
}

Test(claim, second_of_two_claimants_loses) {
  FoldedLog Log;
  cr_assert(onlyChange<ClaimWon>(Log.append(claimRecord("s", "a", -1), 1)));
  const auto Changes = Log.append(claimRecord("s", "b", -1), 2);
  const auto *Lost = onlyChange<ClaimLost>(Changes);
  cr_assert(Lost != nullptr && Lost->Standing == Epoch{1});
  cr_assert(Log.Fold.claim(ShardId{"s"})->Owner == HostId{"a"});
}

Test(claim, records_under_an_old_epoch_are_void) {
  FoldedLog Log;
  Log.append(claimRecord("trainer/t", "a", -1));
  cr_assert(onlyChange<StepAdded>(Log.append(stepRecord("t", 1, 1, "g"))));
  Log.append(claimRecord("trainer/t", "b", 1), 2);
  cr_assert(onlyChange<RecordVoid>(Log.append(stepRecord("t", 1, 1, "h"))));
  cr_assert(
      onlyChange<RecordVoid>(Log.append(checkpointRecord("t", 1, 1, 0, true))));
  cr_assert(Log.Fold.trainer(TrainerId{"t"})->Steps.at(1).Groups.size() == 1);
}

Test(claim, owner_that_released_writes_no_more) {
  FoldedLog Log;
  Log.append(claimRecord("trainer/t", "a", -1));
  wire::LogRecord Release;
  Release.__set_Release({});
  Release.Release.Shard = "trainer/t";
  Release.Release.Epoch = 1;
  Release.Release.Successor = "b";
  cr_assert(onlyChange<ShardReleased>(Log.append(Release)));
  cr_assert(onlyChange<RecordVoid>(Log.append(stepRecord("t", 1, 1, "g"))));
  cr_assert(onlyChange<ClaimWon>(Log.append(claimRecord("trainer/t", "b", 1))));
}

Test(step, group_submitted_twice_counts_once) {
  FoldedLog Log;
  Log.append(claimRecord("trainer/t", "a", -1));
  Log.append(stepRecord("t", 1, 1, "g"));
  const auto Changes = Log.append(stepRecord("t", 1, 1, "g"));
  cr_assert(onlyChange<StepAdded>(Changes)->NewGroups.empty());
  cr_assert(Log.Fold.trainer(TrainerId{"t"})->Steps.at(1).Groups.size() == 1);
}

Test(step, done_step_submitted_again_stays_done) {
  FoldedLog Log;
  Log.append(claimRecord("trainer/t", "a", -1));
  Log.append(stepRecord("t", 1, 1, "g"));
  cr_assert(onlyChange<CheckpointAdvanced>(
      Log.append(checkpointRecord("t", 1, 1, 0, true))));
  const auto Changes = Log.append(stepRecord("t", 1, 1, "g"));
  cr_assert(onlyChange<StepAdded>(Changes)->NewGroups.empty());
  cr_assert(Log.Fold.trainer(TrainerId{"t"})->Steps.empty());
}

Test(boot, late_copy_of_an_earlier_boot_does_not_stand) {
  FoldedLog Log;
  Log.append(bootRecord("e", 10), 1);
  Log.append(bootRecord("e", 11), 2);
  cr_assert(Log.append(bootRecord("e", 10), 1).empty());
  cr_assert(Log.Fold.boot(EndpointId{"e"})->Boot == BootId{11});
  cr_assert(Log.Fold.boot(EndpointId{"e"})->Fence == LogOffset{2});
}

Test(intent, first_of_its_key_stands) {
  FoldedLog Log;
  cr_assert(onlyChange<IntentStands>(Log.append(intentRecord("k"), 1)));
  const auto Changes = Log.append(intentRecord("k"), 2);
  cr_assert(onlyChange<IntentLost>(Changes)->Standing == LogOffset{1});
}

Test(intent, key_is_forgotten_with_its_record) {
  FoldedLog Log;
  Log.append(intentRecord("k"));
  Log.append(intentRecord("l"));
  Log.Fold.expireBefore(LogOffset{2});
  cr_assert(Log.Fold.intent("k") == nullptr);
  cr_assert(Log.Fold.intent("l") != nullptr);
  cr_assert(Log.Fold.forgottenIntents() == LogOffset{1});
}

Test(outcome, first_for_the_standing_intent_counts) {
  FoldedLog Log;
  Log.append(intentRecord("k"));
  wire::LogRecord Record;
  Record.__set_Outcome({});
  Record.Outcome.Key = "k";
  Record.Outcome.IntentOffset = 9;
  cr_assert(Log.append(Record).empty());
  Record.Outcome.IntentOffset = 1;
  Record.Outcome.Status = 200;
  cr_assert(onlyChange<OutcomeKnown>(Log.append(Record)));
  Record.Outcome.Status = 500;
  cr_assert(Log.append(Record).empty());
  cr_assert(Log.Fold.intent("k")->Outcome->Status == 200);
}

Test(outcome, bodies_beyond_the_bound_are_left_out) {
  FoldLimits Limits;
  Limits.OutcomeBytes = 10;
  LogFold Fold(Limits);
  for (int64_t Call = 0; Call < 3; ++Call) {
    wire::LogRecord Record;
    Record.__set_Outcome({});
    Record.Outcome.Key = std::to_string(Call);
    Record.Outcome.IntentOffset = 2 * Call + 1;
    Record.Outcome.Body = "sixsix";
    Fold.apply(LogOffset{2 * Call + 1}, intentRecord(Record.Outcome.Key));
    Fold.apply(LogOffset{2 * Call + 2}, Record);
  }
  cr_assert(Fold.intent("1")->Outcome->BodyOmitted);
  cr_assert(Fold.intent("2")->Outcome->Body == "sixsix");
}

Test(version, older_version_never_comes_back) {
  FoldedLog Log;
  wire::LogRecord Record;
  Record.__set_Version({});
  Record.Version.Model = "grind";
  Record.Version.Version = 7;
  cr_assert(onlyChange<VersionAnnounced>(Log.append(Record)));
  Record.Version.Version = 6;
  cr_assert(Log.append(Record).empty());
  cr_assert(Log.Fold.version("grind")->Version == WeightVersion{7});
}

Test(writer, sequences_out_of_order_count_once_each) {
  WriterTable Table(4);
  cr_assert(Table.firstSight(BootId{1}, 5, LogOffset{1}));
  cr_assert(Table.firstSight(BootId{1}, 3, LogOffset{2}));
  cr_assert(!Table.firstSight(BootId{1}, 3, LogOffset{3}));
  cr_assert(Table.firstSight(BootId{1}, 200, LogOffset{4}));
  cr_assert(!Table.firstSight(BootId{1}, 4, LogOffset{5}));
}

Test(writer, table_keeps_those_that_wrote_last) {
  WriterTable Table(2);
  for (int64_t Writer = 1; Writer <= 3; ++Writer)
    Table.firstSight(BootId{Writer}, 1, LogOffset{Writer});
  cr_assert(Table.exportWindows().size() == 2);
  cr_assert(!Table.firstSight(BootId{3}, 1, LogOffset{4}));
  cr_assert(Table.firstSight(BootId{1}, 1, LogOffset{5}));
}

Test(keyShard, equal_keys_share_a_shard) {
  cr_assert(keyShard("k", 16) == keyShard("k", 16));
  cr_assert(keyShard("k", 1) == ShardId{"keys/0"});
}
