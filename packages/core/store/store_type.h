/// @file
/// The platform's store: partitions of records, keyed topics, groups.

#ifndef CAMPHORNOTCH_CORE_STORE_STORE_TYPE_H
#define CAMPHORNOTCH_CORE_STORE_STORE_TYPE_H

#include "base/error_type.h"
#include "base/id_type.h"
#include "base/millis_type.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphornotch {

/// One partition of a topic.
struct PartitionId {
  /// The topic.
  std::string Topic;
  /// The partition's number, from 0.
  int64_t Part = 0;

  /// Orders by topic, then number.
  auto operator<=>(const PartitionId &) const = default;
};

/// How a call to the store failed.
struct StoreFailure {
  /// What happened.
  Error Cause;
  /// Whether the store surely did nothing, and never will for this call.
  bool NotDone = false;
  /// Whether the records asked for are not kept any more.
  bool Expired = false;
  /// Of an expired read: the oldest offset kept; -1: not told.
  int64_t FirstKept = -1;
};

/// A value, or how the call failed.
template <typename ValueT>
using StoreResult =
    boost::outcome_v2::basic_result<ValueT, StoreFailure,
                                    boost::outcome_v2::policy::terminate>;

/// Takes the outcome of a call to the store, once.
template <typename ValueT>
using StoreReply = std::function<void(StoreResult<ValueT>)>;

/// Records as read from a partition.
struct ReadPage {
  /// The offset of the first record here.
  int64_t From = 0;
  /// The offset that the next record appended gets.
  int64_t End = 0;
  /// The oldest offset kept.
  int64_t FirstKept = 0;
  /// The records.
  std::vector<std::string> Records;
};

/// One record of a keyed topic.
struct KeyedRecord {
  /// The key.
  std::string Key;
  /// The value; empty: the key was dropped.
  std::string Value;
  /// The record's offset.
  int64_t Offset = 0;
};

/// Newest records of a keyed topic.
struct KeyedPage {
  /// The records.
  std::vector<KeyedRecord> Records;
  /// Whether there are more after the last key.
  bool More = false;
  /// The offset that the next record gets.
  int64_t End = 0;
};

/// A member of a group, as it joins.
struct GroupMember {
  /// The group.
  std::string Group;
  /// The member.
  std::string Member;
  /// The topics whose partitions are dealt out.
  std::vector<std::string> Topics;
  /// Time after which a silent member loses its partitions.
  Millis Lifetime{0};
  /// The last generation received; 0: none.
  int64_t Generation = 0;
};

/// The partitions that a member of a group has.
struct GroupShare {
  /// The group's generation.
  int64_t Generation = 0;
  /// The member's partitions.
  std::vector<PartitionId> Parts;
};

/// A member that has a partition.
struct PartitionOwner {
  /// The partition.
  PartitionId Where;
  /// The member.
  std::string Member;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_STORE_TYPE_H
