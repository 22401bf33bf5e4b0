/// @file
/// Computing a partition's state from its records, and splitting long records.

#include "core/batch/partition_fold_base.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @return the encoded record of a submission.
std::string submission(const std::string &Id, int ItemCount = 2) {
  wire::BatchRecord Record;
  wire::SubmissionRecord Submission;
  Submission.Id = Id;
  for (int Index = 0; Index < ItemCount; ++Index) {
    wire::BatchItemField Item;
    Item.Id = "i" + std::to_string(Index);
    Submission.Items.push_back(Item);
  }
  Record.__set_Submission(Submission);
  return encodeBatchRecord(Record);
}

/// @return the encoded record of an item's result.
std::string result(const std::string &Id, const std::string &Item,
                   const std::string &Text) {
  wire::BatchRecord Record;
  wire::ItemResultRecord Result;
  Result.Submission = Id;
  Result.Item = Item;
  Result.Completed = true;
  Result.Text = Text;
  Record.__set_Result(Result);
  return encodeBatchRecord(Record);
}

/// @return the encoded record of a submission's end.
std::string end(const std::string &Id) {
  wire::BatchRecord Record;
  wire::SubmissionEndRecord End;
  End.Submission = Id;
  Record.__set_End(End);
  return encodeBatchRecord(Record);
}

/// @param Run identifies the chain.
/// @param From number of events recorded before.
/// @return an encoded record of the progress of an item of submission "s".
std::string progress(const std::string &Item, int64_t Run, int64_t From,
                     int EventCount) {
  wire::BatchRecord Record;
  wire::ItemProgressRecord Progress;
  Progress.Submission = "s";
  Progress.Item = Item;
  Progress.Run = Run;
  Progress.From = From;
  for (int Index = 0; Index < EventCount; ++Index) {
    wire::TextEvent Event;
    Event.Data = std::to_string(Run) + "." + std::to_string(From + Index);
    Progress.Events.push_back(Event);
  }
  Record.__set_Progress(Progress);
  return encodeBatchRecord(Record);
}

/// A fold with the offset of its next record.
struct FoldFixture {
  PartitionFold Fold;
  int64_t Offset = 0;

  /// Applies the next record.
  std::vector<PartitionChange> add(const std::string &Bytes) {
    return this->Fold.apply(this->Offset++, Bytes, seconds(1));
  }

  /// @return the state of submission "s".
  const SubmissionState &state() const {
    return *this->Fold.find(SubmissionId{"s"});
  }
};

} // namespace

Test(partitionFold, submissionTwice_firstIsKept) {
  FoldFixture Each;
  cr_assert_eq(Each.add(submission("s", 2)).size(), 1U);
  cr_assert_eq(Each.add(submission("s", 5)).size(), 0U);
  cr_assert_eq(Each.state().Record.Items.size(), 2U);
}

Test(partitionFold, resultTwice_firstIsKeptAtItsPosition) {
  FoldFixture Each;
  Each.add(submission("s"));
  cr_assert_eq(Each.add(result("s", "i1", "first")).size(), 1U);
  cr_assert_eq(Each.add(result("s", "i1", "second")).size(), 0U);
  Each.add(result("s", "i0", "third"));
  cr_assert_eq(Each.state().Results.size(), 2U);
  cr_assert(Each.state().Results[0].Text == "first");
  cr_assert_eq(Each.state().Positions.at(ItemId{"i0"}), 1U);
}

Test(partitionFold, resultOfAnUnknownItemOrSubmission_changesNothing) {
  FoldFixture Each;
  Each.add(submission("s"));
  cr_assert_eq(Each.add(result("s", "foreign", "x")).size(), 0U);
  cr_assert_eq(Each.add(result("t", "i0", "x")).size(), 0U);
  cr_assert(Each.state().Results.empty());
}

Test(partitionFold, resultAfterTheEnd_isStillAdded) {
  FoldFixture Each;
  Each.add(submission("s"));
  cr_assert_eq(Each.add(end("s")).size(), 1U);
  cr_assert_eq(Each.add(end("s")).size(), 0U);
  Each.add(result("s", "i0", "late"));
  cr_assert(Each.state().Ended);
  cr_assert_eq(Each.state().Results.size(), 1U);
}

Test(partitionFold, recordReadTwice_isAppliedOnce) {
  FoldFixture Each;
  Each.add(submission("s"));
  Each.add(result("s", "i0", "x"));
  cr_assert(Each.Fold.apply(1, result("s", "i1", "y"), seconds(1)).empty());
  cr_assert_eq(Each.state().Results.size(), 1U);
}

Test(partitionFold, unreadableRecord_doesNotAffectLaterOnes) {
  FoldFixture Each;
  Each.add(submission("s"));
  const auto Changes = Each.add("\xff\xff garbage");
  cr_assert_eq(Changes.size(), 1U);
  cr_assert(std::holds_alternative<RecordUnreadable>(Changes[0]));
  cr_assert_eq(Each.add(result("s", "i0", "x")).size(), 1U);
}

Test(partitionFold, progressOfTwoRuns_isNeverMixed) {
  FoldFixture Each;
  Each.add(submission("s"));
  Each.add(progress("i0", 1, 0, 3));
  Each.add(progress("i0", 2, 3, 2)); // another run does not continue it
  cr_assert_eq(Each.state().Progress.at(ItemId{"i0"}).Events.size(), 3U);
  Each.add(progress("i0", 1, 3, 1));
  cr_assert_eq(Each.state().Progress.at(ItemId{"i0"}).Events.size(), 4U);
  Each.add(progress("i0", 2, 0, 6));
  const EventChain &Chain = Each.state().Progress.at(ItemId{"i0"});
  cr_assert_eq(Chain.RunId, 2);
  for (const wire::TextEvent &Event : Chain.Events)
    cr_assert(Event.Data.starts_with("2."));
}

Test(partitionFold, progressAfterTheResult_isDropped) {
  FoldFixture Each;
  Each.add(submission("s"));
  Each.add(result("s", "i0", "x"));
  Each.add(progress("i0", 1, 0, 3));
  cr_assert(Each.state().Progress.empty());
}

Test(partitionFold, skippedRecords_makeTheFoldIncomplete) {
  PartitionFold Fold;
  cr_assert(!Fold.incomplete());
  Fold.skipTo(10);
  cr_assert(Fold.incomplete());
  cr_assert_eq(Fold.nextOffset(), 10);
}

Test(partitionFold, forget_keepsOpenSubmissions) {
  FoldFixture Each;
  Each.add(submission("s"));
  Each.add(submission("t"));
  Each.add(end("t"));
  Each.Fold.forget(seconds(50));
  cr_assert(Each.Fold.find(SubmissionId{"s"}) != nullptr);
  cr_assert(Each.Fold.find(SubmissionId{"t"}) == nullptr);
}

Test(splitRecord, longRecord_isJoinedAgain) {
  std::string Long;
  for (int Index = 0; Index < 1000; ++Index)
    Long += std::to_string(Index);
  const std::vector<std::string> Parts = splitRecord(Long, 64);
  RecordJoiner Joiner;
  for (size_t Index = 0; Index + 1 < Parts.size(); ++Index) {
    cr_assert(Parts[Index].size() <= 64);
    cr_assert(!Joiner.add(Parts[Index]).has_value());
  }
  cr_assert(Joiner.add(Parts.back()) == Long);
}

Test(splitRecord, emptyRecord_isOnePart) {
  RecordJoiner Joiner;
  const std::vector<std::string> Parts = splitRecord("", 64);
  cr_assert_eq(Parts.size(), 1U);
  cr_assert(Joiner.add(Parts[0]) == std::string());
}
