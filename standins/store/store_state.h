/// @file
/// State of the stand-in for the platform's partitioned store.

#ifndef CAMPHORNOTCH_STANDINS_STORE_STORE_STATE_H
#define CAMPHORNOTCH_STANDINS_STORE_STORE_STATE_H

#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// The records of one partition.
struct StandinPartition {
  /// The offset of the oldest kept record.
  int64_t First = 0;
  std::vector<std::string> Records;

  /// @return the offset that the next record gets.
  int64_t end() const {
    return this->First + static_cast<int64_t>(this->Records.size());
  }
};

/// A member of a group.
struct StandinMember {
  /// When it last joined.
  Millis JoinedAt{0};
  /// Time after its last join when its membership ends.
  Millis SessionTimeout{0};
  /// The partitions assigned to it.
  std::set<int64_t> Partitions;
};

/// Topics with partitions, and one group over the partitions of one topic.
class StandinStoreState {
public:
  /// @param Partitions number of partitions of each topic; keyed topics have
  /// one.
  explicit StandinStoreState(int64_t Partitions) : Partitions(Partitions) {}

  /// Appends records.
  /// @param ExpectedEnd the required end offset of the partition; absent: any.
  /// @return the offset of the first record, or nothing if the end differs.
  std::optional<int64_t> append(const std::string &Topic, int64_t Part,
                                const std::vector<std::string> &Records,
                                std::optional<int64_t> ExpectedEnd);

  /// @return the partition; created if it does not exist.
  StandinPartition &partition(const std::string &Topic, int64_t Part) {
    return this->Topics[Topic][Part];
  }

  /// Writes a record of a keyed topic.
  /// @param Value the value; an empty one deletes the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

  /// @param Topic a keyed topic.
  /// @return newest value and offset by key.
  std::map<std::string, std::pair<std::string, int64_t>>
  newest(const std::string &Topic);

  /// Deletes all records of a partition; its end offset stays.
  void dropHistory(const std::string &Topic, int64_t Part);

  /// Adds a member to the group or renews its membership. A partition that is
  /// reassigned moves to its new member once the old holder has joined again
  /// knowing the new generation.
  /// @param SessionTimeout time without a join after which it is removed.
  /// @param KnownGeneration the last generation it was told; 0: none.
  /// @return the partitions it holds now.
  std::set<int64_t> join(const std::string &Member, Millis SessionTimeout,
                         int64_t KnownGeneration, Millis Now);

  /// Removes a member from the group.
  void leave(const std::string &Member);

  /// @return the member that holds each partition.
  const std::map<int64_t, std::string> &holders() const {
    return this->HolderByPartition;
  }

  /// @return the group's generation.
  int64_t generation() const { return this->Generation; }

private:
  /// Reassigns all partitions and starts a new generation.
  void assignPartitions();

  /// Number of partitions of each topic.
  int64_t Partitions;
  std::map<std::string, std::map<int64_t, StandinPartition>> Topics;
  /// The newest record of each key; dropHistory() leaves it in place.
  std::map<std::string, std::map<std::string, std::pair<std::string, int64_t>>>
      Keyed;
  std::map<std::string, StandinMember> Members;
  /// The member that holds each partition.
  std::map<int64_t, std::string> HolderByPartition;
  int64_t Generation = 0;
};

/// @return the records in the body of an append.
std::vector<std::string> standinRecords(const std::string &Body);

/// @return the records in the encoding of a read's answer.
std::string standinBytes(const std::vector<std::string> &Records);

/// @return the number in that many bytes, big-endian.
std::string standinNumber(uint64_t Number, int Bytes);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_STORE_STORE_STATE_H
