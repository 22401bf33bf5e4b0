/// @file
/// Batch submissions, their items and results.

#ifndef CAMPHORNOTCH_CORE_BATCH_BATCH_TYPE_H
#define CAMPHORNOTCH_CORE_BATCH_BATCH_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphornotch {

/// Id of a batch submission, chosen by its caller.
using SubmissionId = StrongId<struct SubmissionTag, std::string>;
/// Id of an item within its submission, chosen by the caller.
using ItemId = StrongId<struct ItemTag, std::string>;

/// Identifies one item of one submission.
struct ItemKey {
  SubmissionId Submission;
  ItemId Item;

  auto operator<=>(const ItemKey &) const = default;
};

/// The events of an item's text that were made by one run, or by several of
/// which each continued where the one before ended.
struct EventChain {
  /// Identifies the chain.
  int64_t RunId = 0;
  std::vector<wire::TextEvent> Events;
  /// Version of software of the engines that made them.
  std::string Software;
};

/// State of one submission, computed from the records of its partition.
struct SubmissionState {
  wire::SubmissionRecord Record;
  /// When this process applied the submission's record; never before the
  /// submission was accepted.
  Millis SeenAt{0};
  /// Whether the caller ended the submission.
  bool Ended = false;
  /// In the order of their records.
  std::vector<wire::ItemResultRecord> Results;
  /// Index in Results of each item that has a result.
  std::map<ItemId, size_t> Positions;
  /// The longest chain of events of each item without a result.
  std::map<ItemId, EventChain> Progress;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_BATCH_TYPE_H
