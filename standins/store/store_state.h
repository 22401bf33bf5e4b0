/// @file
/// The state of the stand-in of the platform's partitioned store.

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

/// One partition's records.
struct StandinPartition {
  /// The offset of the first record kept.
  int64_t First = 0;
  /// The records kept.
  std::vector<std::string> Records;

  /// @return the offset that the next record gets.
  int64_t end() const {
    return this->First + static_cast<int64_t>(this->Records.size());
  }
};

/// A member of a group.
struct StandinMember {
  /// When it joined last.
  Millis JoinedAt{0};
  /// Time after which it is out.
  Millis Lifetime{0};
  /// Its partitions.
  std::set<int64_t> Parts;
};

/// Topics with partitions, and one group over the partitions of one topic.
class StandinStoreState {
public:
  /// @param Partitions partitions of each topic but keyed ones.
  explicit StandinStoreState(int64_t Partitions) : Partitions(Partitions) {}

  /// Appends records.
  /// @param Topic the topic.
  /// @param Part the partition.
  /// @param Records the records.
  /// @param At the offset that the partition must end at; absent: any.
  /// @return the offset of the first one, or nothing if the condition failed.
  std::optional<int64_t> append(const std::string &Topic, int64_t Part,
                                const std::vector<std::string> &Records,
                                std::optional<int64_t> At);

  /// @param Topic the topic.
  /// @param Part the partition.
  /// @return the partition, made if need be.
  StandinPartition &partition(const std::string &Topic, int64_t Part) {
    return this->Topics[Topic][Part];
  }

  /// Writes a record of a keyed topic.
  /// @param Topic the topic.
  /// @param Key the key.
  /// @param Value the value; empty drops the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

  /// @param Topic a keyed topic.
  /// @return newest value and offset by key.
  std::map<std::string, std::pair<std::string, int64_t>>
  newest(const std::string &Topic);

  /// Drops the history of a partition.
  /// @param Topic the topic.
  /// @param Part the partition.
  void dropHistory(const std::string &Topic, int64_t Part);

  /// Joins a member, or keeps it in. A partition that is dealt to another
  /// member passes on once its holder has joined again after it heard so.
  /// @param Member who.
  /// @param Lifetime time after which it is out.
  /// @param Heard the last generation that it got; 0: none.
  /// @param Now the time.
  /// @return its partitions.
  std::set<int64_t> join(const std::string &Member, Millis Lifetime,
                         int64_t Heard, Millis Now);

  /// Takes a member out.
  /// @param Member who.
  void leave(const std::string &Member);

  /// @return who holds each partition.
  const std::map<int64_t, std::string> &holders() const {
    return this->Holders;
  }

  /// @return the group's generation.
  int64_t generation() const { return this->Generation; }

private:
  /// Deals the partitions out anew.
  void deal();

  /// Partitions of each topic.
  int64_t Partitions;
  /// The topics.
  std::map<std::string, std::map<int64_t, StandinPartition>> Topics;
  /// The newest record of each key, which outlives the history.
  std::map<std::string, std::map<std::string, std::pair<std::string, int64_t>>>
      Keyed;
  /// The members.
  std::map<std::string, StandinMember> Members;
  /// Who holds each partition.
  std::map<int64_t, std::string> Holders;
  /// The group's generation.
  int64_t Generation = 0;
};

/// @param Body the body of an append.
/// @return its records.
std::vector<std::string> standinRecords(const std::string &Body);

/// @param Records records.
/// @return them as a read answers them.
std::string standinBytes(const std::vector<std::string> &Records);

/// @param Number a number.
/// @param Bytes how many bytes.
/// @return it in that many bytes, the highest first.
std::string standinNumber(uint64_t Number, int Bytes);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_STORE_STORE_STATE_H
