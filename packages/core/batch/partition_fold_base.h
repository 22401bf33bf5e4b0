/// @file
/// Computes the state of one partition of batch submissions from its records.

#ifndef CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H

#include "base/error_type.h"
#include "core/batch/batch_type.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace camphornotch {

/// A submission that was unknown before.
struct SubmissionAdded {
  SubmissionId Id;
};

/// An item that got its result.
struct ItemResultAdded {
  ItemKey Key;
};

/// A submission that its caller ended.
struct SubmissionEnded {
  SubmissionId Id;
};

/// A record that cannot be decoded; it changes no state.
struct RecordUnreadable {
  int64_t Offset = 0;
  Error Cause;
};

/// What a record changed.
using PartitionChange = std::variant<SubmissionAdded, ItemResultAdded,
                                     SubmissionEnded, RecordUnreadable>;

/// Applies records in the order of their offsets. The first submission with an
/// id and the first result of an item are final, so a record that was appended
/// twice, late or by two owners changes nothing. Hence appends need no
/// condition, and an append without an answer may be sent again.
class PartitionFold {
public:
  /// Applies the next record.
  /// @param Offset the record's offset; one below nextOffset() is ignored.
  /// @return what it changed.
  std::vector<PartitionChange> apply(int64_t Offset, std::string_view Bytes,
                                     Millis Now);

  /// Notes that records before an offset are no longer retained.
  void skipTo(int64_t Offset);

  int64_t nextOffset() const { return this->NextOffset; }

  /// @return whether records were skipped, so that an unknown id may have
  ///         existed.
  bool incomplete() const { return this->Skipped; }

  /// @return the submission, or null.
  const SubmissionState *find(const SubmissionId &Id) const;

  /// @return all submissions.
  const std::map<SubmissionId, SubmissionState> &all() const {
    return this->Submissions;
  }

  /// Removes the ended submissions that were applied before a time.
  void forget(Millis SeenBefore);

private:
  /// @param Changes receives what changed.
  void applySubmission(wire::SubmissionRecord Record, Millis Now,
                       std::vector<PartitionChange> &Changes);
  /// @param Changes receives what changed.
  void applyResult(wire::ItemResultRecord Record,
                   std::vector<PartitionChange> &Changes);
  void applyProgress(wire::ItemProgressRecord Record);

  int64_t NextOffset = 0;
  /// Whether records were skipped.
  bool Skipped = false;
  std::map<SubmissionId, SubmissionState> Submissions;
};

/// @return the account that submitted; empty: a caller without a key; absent:
///   the configuration had no accounts.
std::optional<std::string_view>
submittingAccount(const wire::SubmissionRecord &Record);

/// @return the item as it was submitted, or null.
const wire::BatchItemField *findItem(const SubmissionState &Submission,
                                     const ItemId &Item);

/// Splits an encoded record that is too long for the store into parts.
/// @param MaxBytes the longest record that the store accepts.
/// @return the parts, to be appended in one call.
std::vector<std::string> splitRecord(std::string_view Record, size_t MaxBytes);

/// Joins the parts that splitRecord() made, in the order of the partition.
class RecordJoiner {
public:
  /// @param Part the next record of the partition.
  /// @return a complete record if this was its last part.
  std::optional<std::string> add(std::string_view Part);

private:
  /// The parts of an incomplete record, concatenated.
  std::string Parts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_PARTITION_FOLD_BASE_H
