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

/// A batch submission, as its caller named it.
using SubmissionId = StrongId<struct SubmissionTag, std::string>;
/// An item of one, as its caller named it.
using ItemId = StrongId<struct ItemTag, std::string>;

/// Names one item of one submission.
struct ItemKey {
  /// The submission.
  SubmissionId Submission;
  /// The item.
  ItemId Item;

  /// Orders by submission, then item.
  auto operator<=>(const ItemKey &) const = default;
};

/// A chain of events, each made by a run that went on where the last ended.
struct EventChain {
  /// Names the chain.
  int64_t Run = 0;
  /// The events, in order.
  std::vector<wire::TextEvent> Events;
};

/// One submission as folded from its partition.
struct SubmissionState {
  /// As it was submitted.
  wire::SubmissionRecord Record;
  /// When this process folded it; never before it was accepted.
  Millis SeenAt{0};
  /// Whether its caller ended it.
  bool Ended = false;
  /// Results in the order of their records; indexes are positions.
  std::vector<wire::ItemResultRecord> Results;
  /// Position by item.
  std::map<ItemId, size_t> Positions;
  /// The longest chain of events of each item without a result.
  std::map<ItemId, EventChain> Progress;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_BATCH_TYPE_H
