/// @file
/// Types of the platform's store: partitions of records, keyed topics, groups.

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

/// Identifies one partition of a topic.
struct PartitionId {
  std::string Topic;
  /// From 0.
  int64_t Number = 0;

  auto operator<=>(const PartitionId &) const = default;
};

/// Why a call to the store failed.
struct StoreFailure {
  Error Cause;
  /// Whether the store certainly did not execute the call and never will.
  bool NotExecuted = false;
  /// Whether the requested records are no longer retained.
  bool Expired = false;
  /// Of an expired read: the oldest offset retained; -1: unknown.
  int64_t OldestOffset = -1;
};

/// A value, or why the call failed.
template <typename ValueT>
using StoreResult =
    boost::outcome_v2::basic_result<ValueT, StoreFailure,
                                    boost::outcome_v2::policy::terminate>;

/// Called once with the outcome of a call to the store.
template <typename ValueT>
using StoreCallback = std::function<void(StoreResult<ValueT>)>;

/// Consecutive records read from a partition.
struct ReadPage {
  /// The offset of the first record of the page.
  int64_t FirstOffset = 0;
  /// The offset that the next appended record will get.
  int64_t EndOffset = 0;
  /// The oldest offset retained.
  int64_t OldestOffset = 0;
  std::vector<std::string> Records;
};

/// One record of a keyed topic.
struct KeyedRecord {
  std::string Key;
  /// Empty if the key was removed.
  std::string Value;
  int64_t Offset = 0;
};

/// The newest record of each of several keys of a keyed topic.
struct KeyedPage {
  std::vector<KeyedRecord> Records;
  /// The keys after which another page can begin, in the order of the page.
  std::vector<std::string> Cursors;
  /// Number of records that could not be decoded.
  int64_t Skipped = 0;
  /// Whether records of later keys follow on another page.
  bool HasMore = false;
  /// The offset that the next appended record will get.
  int64_t EndOffset = 0;
};

/// What a member sends when it joins a group.
struct GroupMember {
  std::string Group;
  std::string Member;
  /// Topics whose partitions are distributed over the group's members.
  std::vector<std::string> Topics;
  /// Time without a join after which the member loses its partitions.
  Millis SessionTimeout{0};
  /// The last generation received; 0: none.
  int64_t Generation = 0;
};

/// The partitions assigned to a member of a group.
struct GroupShare {
  /// The group's generation.
  int64_t Generation = 0;
  std::vector<PartitionId> Partitions;
};

/// A partition with the group member that it is assigned to.
struct PartitionOwner {
  PartitionId Partition;
  std::string Member;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_STORE_TYPE_H
