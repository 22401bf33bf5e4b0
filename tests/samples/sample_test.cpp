/// @file
/// Tests of one trainer's shard: submissions, pulls, takeover and age.

#include "core/fold/shard_func.h"
#include "core/samples/sample_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A controller whose appends are read back when the test says so.
struct SampleFixture {
  SampleController Samples{TrainerId{"t"}, SampleSettings{}};
  std::vector<SampleAction> Last;
  std::vector<wire::LogRecord> Unread;
  int64_t NextOffset = 1;
  Millis Now{0};

  /// @param Event what happens.
  void give(const SampleEvent &Event) {
    this->Last = this->Samples.handle(Event, this->Now);
    for (const auto &Append : this->found<AppendRecord>())
      this->Unread.push_back(Append.Record);
  }

  /// @return the last actions of one kind.
  template <typename ActionT> std::vector<ActionT> found() const {
    std::vector<ActionT> Found;
    for (const SampleAction &Action : this->Last)
      if (const auto *Match = std::get_if<ActionT>(&Action))
        Found.push_back(*Match);
    return Found;
  }

  /// Reads one record back.
  /// @param Record the record.
  void commit(const wire::LogRecord &Record) {
    this->give(RecordCommitted{LogOffset{this->NextOffset++}, Record});
  }

  /// Reads back what was appended.
  void readBack() {
    const auto Records = std::move(this->Unread);
    this->Unread.clear();
    for (const wire::LogRecord &Record : Records)
      this->commit(Record);
  }

  /// Lets somebody claim the shard.
  /// @param Mine whether it is this controller.
  void claim(bool Mine) {
    wire::ClaimRecord Claim;
    Claim.Shard = trainerShard(TrainerId{"t"}).Value;
    Claim.PreviousEpoch = this->LastEpoch;
    wire::LogRecord Record;
    Record.__set_Claim(Claim);
    this->LastEpoch = this->NextOffset;
    this->commit(Record);
    if (Mine)
      this->give(ShardGained{ShardId{Claim.Shard}, Epoch{this->LastEpoch}});
  }

  /// Submits one group of a step.
  /// @param Step the step.
  /// @param Count its samples.
  void submit(int64_t Step, int32_t Count) {
    wire::GroupSpec Group;
    Group.Group = "g";
    Group.Samples = Count;
    Group.Prompt = "p";
    Group.MaxTokens = 8;
    this->give(SubmitReceived{RequestHandle{Step}, Step, "m", {Group}});
  }

  /// Finishes an attempt.
  /// @param Step the step.
  /// @param Index the sample.
  /// @param Version what made it.
  void finish(int64_t Step, int32_t Index, int64_t Version) {
    wire::LabelSegment Segment;
    Segment.Version = Version;
    this->give(SlotFinished{
        SlotKey{Step, 0, Index}, "x", 4, {Segment}, true, Millis{100}});
  }

  /// Pulls once.
  /// @param Cursor the cursor.
  /// @return the answer, or nothing.
  std::optional<AnswerPull> pull(const std::string &Cursor) {
    this->give(PullReceived{RequestHandle{99}, Cursor});
    const auto Answers = this->found<AnswerPull>();
    return Answers.empty() ? std::nullopt : std::optional(Answers[0]);
  }

  /// A step of the given size, claimed, submitted and read back.
  /// @param Count its samples.
  void start(int32_t Count) {
    this->claim(true);
    this->submit(1, Count);
    this->readBack();
  }

  /// A step of one sample that a scorer judges.
  void startScored() {
    this->claim(true);
    wire::GroupSpec Group;
    Group.Group = "g";
    Group.Samples = 1;
    Group.MaxTokens = 8;
    Group.Scorer = "judge";
    this->give(SubmitReceived{RequestHandle{1}, 1, "m", {Group}});
    this->readBack();
  }

  /// The epoch that stands.
  int64_t LastEpoch = -1;
};

} // namespace

Test(submit, answered_only_after_read_back) {
  SampleFixture F;
  F.claim(true);
  F.submit(1, 2);
  cr_assert(F.found<AnswerSubmit>().empty());
  F.readBack();
  cr_assert(F.found<AnswerSubmit>().size() == 1);
  cr_assert(F.found<NeedAttempt>().size() == 2);
}

Test(submit, repeat_adds_nothing) {
  SampleFixture F;
  F.start(2);
  F.submit(1, 2);
  cr_assert(F.found<AnswerSubmit>().size() == 1);
  cr_assert(F.found<AnswerSubmit>()[0].GroupsKnown == 1);
  cr_assert(F.found<AppendRecord>().empty());
}

Test(submit, record_of_older_epoch_is_void) {
  SampleFixture F;
  F.claim(true);
  F.submit(1, 2);
  F.claim(false);
  F.readBack();
  cr_assert(F.found<AnswerSubmit>().empty());
  cr_assert(F.Samples.table().openSlots() == 0);
}

Test(pull, repeated_cursor_repeats_batch) {
  SampleFixture F;
  F.start(2);
  F.finish(1, 0, 3);
  const auto First = F.pull("");
  cr_assert(First && First->Samples.size() == 1);
  F.finish(1, 1, 3);
  const auto Again = F.pull("");
  cr_assert(Again && Again->Samples.size() == 1);
  cr_assert(Again->Samples[0].Slot == First->Samples[0].Slot);
  const auto Next = F.pull(Again->Cursor);
  cr_assert(Next && Next->Samples.size() == 1);
  cr_assert(Next->Samples[0].Slot.Index == 1);
}

Test(pull, late_copy_of_older_cursor_is_refused) {
  SampleFixture F;
  F.start(2);
  F.finish(1, 0, 3);
  const auto First = F.pull("");
  F.pull(First->Cursor);
  cr_assert(!F.pull(""));
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason == RefusalReason::BadCursor);
}

// Found by the property test: after a takeover the owner may not know the last
// batches that the trainer took, and would deliver them again.
Test(pull, resume_without_cursor_is_refused) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  F.pull("");
  PullReceived Resume{RequestHandle{7}};
  Resume.Resume = true;
  F.give(Resume);
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason == RefusalReason::BadCursor);
}

Test(pull, takeover_learns_delivered_slots_from_cursor) {
  SampleFixture Old;
  Old.start(2);
  Old.finish(1, 0, 3);
  const auto First = Old.pull("");
  SampleFixture New;
  New.start(2);
  New.claim(true);
  New.finish(1, 0, 4);
  New.finish(1, 1, 4);
  const auto Next = New.pull(First->Cursor);
  cr_assert(Next && Next->Samples.size() == 1);
  cr_assert(Next->Samples[0].Slot.Index == 1);
}

Test(pull, cursor_of_newer_owner_makes_old_one_step_down) {
  SampleFixture New;
  New.start(1);
  New.claim(true);
  New.finish(1, 0, 3);
  const auto Answer = New.pull("");
  SampleFixture Old;
  Old.start(1);
  Old.finish(1, 0, 3);
  cr_assert(!Old.pull(Answer->Cursor));
  cr_assert(Old.found<EpochSeen>().size() == 1);
}

Test(pull, altered_cursor_is_refused) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  std::string Cursor = F.pull("")->Cursor;
  Cursor[4] = Cursor[4] == 'A' ? 'B' : 'A';
  cr_assert(!F.pull(Cursor));
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason == RefusalReason::BadCursor);
}

Test(slot, second_output_is_dropped_and_counted) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  F.finish(1, 0, 3);
  cr_assert(F.found<SampleDropped>().size() == 1);
  cr_assert(F.found<SampleDropped>()[0].Reason == DropReason::Duplicate);
}

Test(slot, unknown_label_is_never_delivered) {
  SampleFixture F;
  F.start(1);
  F.give(SlotFinished{SlotKey{1, 0, 0}, "x", 4, {}, false, Millis{1}});
  cr_assert(F.found<NeedAttempt>().size() == 1);
  cr_assert(F.pull("")->Samples.empty());
}

Test(age, sample_over_bound_by_trainers_own_version_is_made_again) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  PullReceived Pull{RequestHandle{9}};
  Pull.TrainerVersion = WeightVersion{8};
  F.give(Pull);
  cr_assert(F.found<AnswerPull>()[0].Samples.empty());
  cr_assert(F.found<NeedAttempt>().size() == 1);
}

Test(age, unacknowledged_batch_is_not_repeated_over_bound) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  cr_assert(F.pull("")->Samples.size() == 1);
  F.give(NewestVersion{"m", WeightVersion{8}});
  cr_assert(F.pull("")->Samples.empty());
}

Test(age, oldest_segment_decides) {
  SampleFixture F;
  F.start(1);
  F.give(NewestVersion{"m", WeightVersion{8}});
  wire::LabelSegment Old;
  Old.Version = 3;
  wire::LabelSegment New;
  New.FirstToken = 2;
  New.Version = 8;
  F.give(SlotFinished{SlotKey{1, 0, 0}, "x", 4, {Old, New}, true, Millis{100}});
  cr_assert(F.found<SampleDropped>()[0].Reason == DropReason::TooOld);
}

Test(age, versions_expected_meanwhile_raise_oldest_usable_version) {
  SampleFixture F;
  F.start(2);
  F.give(NewestVersion{"m", WeightVersion{9}});
  F.Now = Millis{50};
  F.give(NewestVersion{"m", WeightVersion{10}});
  F.finish(1, 0, 10);
  F.submit(2, 1);
  F.readBack();
  // An attempt takes 100 ms, a version 50 ms: two come meanwhile.
  cr_assert(F.found<NeedAttempt>()[0].MinVersion == WeightVersion{10 - 4 + 2});
  cr_assert(F.found<NeedAttempt>()[0].OldestVersion == WeightVersion{10 - 4});
}

Test(score, late_score_of_earlier_output_is_not_used) {
  SampleFixture F;
  F.startScored();
  F.finish(1, 0, 3);
  const auto Early = F.found<NeedScore>();
  F.give(ShardLost{trainerShard(TrainerId{"t"})});
  F.claim(true);
  F.finish(1, 0, 3);
  const auto Late = F.found<NeedScore>();
  F.give(ScoreFinished{SlotKey{1, 0, 0}, 0.25, Early[0].Query});
  F.give(ScoreFailed{SlotKey{1, 0, 0}, RefusalReason::EndpointFailed,
                     Early[0].Query});
  cr_assert(F.pull("")->Samples.empty());
  F.give(ScoreFinished{SlotKey{1, 0, 0}, 0.5, Late[0].Query});
  cr_assert(F.pull("")->Samples[0].Score == 0.5);
}

Test(score, sample_waits_for_its_score) {
  SampleFixture F;
  F.startScored();
  F.finish(1, 0, 3);
  const auto Needs = F.found<NeedScore>();
  cr_assert(Needs.size() == 1);
  cr_assert(F.pull("")->Samples.empty());
  F.give(ScoreFinished{SlotKey{1, 0, 0}, 0.5, Needs[0].Query});
  cr_assert(F.pull("")->Samples[0].Score == 0.5);
}

Test(step, delivered_step_is_forgotten_once_a_later_one_is_there) {
  SampleFixture F;
  F.start(1);
  F.finish(1, 0, 3);
  const auto First = F.pull("");
  F.pull(First->Cursor);
  F.readBack();
  F.submit(2, 1);
  F.readBack();
  F.readBack();
  cr_assert(F.Samples.table().steps().size() == 1);
  F.submit(1, 1);
  cr_assert(F.found<AnswerSubmit>()[0].GroupsKnown == 1);
}
