/// @file
/// The state of one partition of batch submissions, folded from its records.

#ifndef CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H

#include "base/error_type.h"
#include "core/batch/batch_type.h"

#include <span>
#include <string>
#include <variant>

namespace camphornotch {

/// A submission that was not there before.
struct SubmissionAdded {
  /// Which.
  SubmissionId Id;
};

/// An item that got its result.
struct ItemListed {
  /// Which.
  ItemKey Key;
};

/// A submission whose caller ended it.
struct SubmissionEnded {
  /// Which.
  SubmissionId Id;
};

/// A record that cannot be read; it changes nothing.
struct RecordUnreadable {
  /// Its offset.
  int64_t Offset = 0;
  /// What is wrong with it.
  Error Cause;
};

/// What a record changed.
using PartitionChange = std::variant<SubmissionAdded, ItemListed,
                                     SubmissionEnded, RecordUnreadable>;

/// Folds records in the order of their offsets. The first submission of an id
/// and the first result of an item stand, so a record that was appended twice,
/// late, or by two owners changes nothing: appends need no condition, and one
/// without an answer may simply be sent again.
class PartitionFold {
public:
  /// Takes in the next record.
  /// @param Offset its offset; one below next() is ignored.
  /// @param Bytes the record.
  /// @param Now the time.
  /// @return what it changed.
  std::vector<PartitionChange> apply(int64_t Offset, std::string_view Bytes,
                                     Millis Now);

  /// Notes that records before an offset are not kept any more.
  /// @param Offset the oldest one kept.
  void skipTo(int64_t Offset);

  /// @return the offset of the next record.
  int64_t next() const { return this->Next; }

  /// @return whether records were lost to this fold, so that an unknown id may
  ///         have existed.
  bool incomplete() const { return this->Skipped; }

  /// @param Id a submission.
  /// @return it, or null.
  const SubmissionState *find(const SubmissionId &Id) const;

  /// @return all submissions.
  const std::map<SubmissionId, SubmissionState> &all() const {
    return this->Submissions;
  }

  /// Forgets ended submissions of a certain age.
  /// @param SeenBefore those folded before this time.
  void forget(Millis SeenBefore);

private:
  /// @param Record a submission.
  /// @param Now the time.
  /// @param Changes takes what changed.
  void applySubmission(wire::SubmissionRecord Record, Millis Now,
                       std::vector<PartitionChange> &Changes);
  /// @param Record a result.
  /// @param Changes takes what changed.
  void applyResult(wire::ItemResultRecord Record,
                   std::vector<PartitionChange> &Changes);
  /// @param Record events of an item.
  void applyProgress(wire::ItemProgressRecord Record);

  /// The offset of the next record.
  int64_t Next = 0;
  /// Whether records were lost.
  bool Skipped = false;
  /// The submissions.
  std::map<SubmissionId, SubmissionState> Submissions;
};

/// @param Submission a submission.
/// @param Item an item.
/// @return the item as it was submitted, or null.
const wire::BatchItemField *findItem(const SubmissionState &Submission,
                                     const ItemId &Item);

/// Cuts records that are too long for the store into parts.
/// @param Record the encoded record.
/// @param MaxBytes the most that the store takes in one record.
/// @return the parts, to be appended in one call.
std::vector<std::string> splitRecord(std::string_view Record, size_t MaxBytes);

/// Joins the parts of records as they are read.
class RecordJoiner {
public:
  /// @param Part the next record of the partition.
  /// @return a whole record, once its last part is here.
  std::optional<std::string> add(std::string_view Part);

private:
  /// The parts so far.
  std::string Parts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H
