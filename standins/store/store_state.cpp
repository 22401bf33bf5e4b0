/// @file
/// State of the stand-in for the platform's partitioned store.

#include "standins/store/store_state.h"

namespace camphornotch::standin {

namespace {

/// Size of the length field before each record.
constexpr size_t LengthBytes = 4;
constexpr int ByteBits = 8;

} // namespace

std::string standinNumber(uint64_t Number, int Bytes) {
  std::string Text;
  for (int Shift = (Bytes - 1) * ByteBits; Shift >= 0; Shift -= ByteBits)
    Text.push_back(static_cast<char>((Number >> Shift) & 0xff));
  return Text;
}

std::vector<std::string> standinRecords(const std::string &Body) {
  std::vector<std::string> Records;
  size_t At = 0;
  while (At + LengthBytes <= Body.size()) {
    size_t Length = 0;
    for (size_t Index = 0; Index < LengthBytes; ++Index)
      Length = (Length << ByteBits) | static_cast<uint8_t>(Body[At + Index]);
    At += LengthBytes;
    Records.push_back(Body.substr(At, Length));
    At += Length;
  }
  return Records;
}

std::string standinBytes(const std::vector<std::string> &Records) {
  std::string Bytes;
  for (const std::string &Record : Records) {
    Bytes += standinNumber(Record.size(), static_cast<int>(LengthBytes));
    Bytes += Record;
  }
  return Bytes;
}

std::optional<int64_t>
StandinStoreState::append(const std::string &Topic, int64_t Part,
                          const std::vector<std::string> &Records,
                          std::optional<int64_t> ExpectedEnd) {
  StandinPartition &Partition = this->partition(Topic, Part);
  const int64_t Offset = Partition.end();
  if (ExpectedEnd.has_value() && *ExpectedEnd != Offset)
    return std::nullopt;
  Partition.Records.insert(Partition.Records.end(), Records.begin(),
                           Records.end());
  return Offset;
}

void StandinStoreState::put(const std::string &Topic, const std::string &Key,
                            const std::string &Value) {
  StandinPartition &Partition = this->partition(Topic, 0);
  const int64_t Offset = Partition.end();
  Partition.Records.push_back(standinNumber(Key.size(), 1) + Key + Value);
  if (Value.empty())
    this->Keyed[Topic].erase(Key);
  else
    this->Keyed[Topic][Key] = {Value, Offset};
}

std::map<std::string, std::pair<std::string, int64_t>>
StandinStoreState::newest(const std::string &Topic) {
  return this->Keyed[Topic];
}

void StandinStoreState::dropHistory(const std::string &Topic, int64_t Part) {
  StandinPartition &Partition = this->partition(Topic, Part);
  Partition.First = Partition.end();
  Partition.Records.clear();
}

std::set<int64_t> StandinStoreState::join(const std::string &Member,
                                          Millis SessionTimeout,
                                          int64_t KnownGeneration, Millis Now) {
  bool Changed = !this->Members.contains(Member);
  StandinMember &Joined = this->Members[Member];
  Joined.JoinedAt = Now;
  Joined.SessionTimeout = SessionTimeout;
  Changed |= std::erase_if(this->Members, [Now](const auto &Other) {
               return Now - Other.second.JoinedAt > Other.second.SessionTimeout;
             }) > 0;
  if (Changed)
    this->assignPartitions();
  const std::set<int64_t> &Assigned = this->Members[Member].Partitions;
  const bool KnowsAssignment = KnownGeneration >= this->Generation;
  std::erase_if(this->HolderByPartition, [&](const auto &Held) {
    const bool Lost = !this->Members.contains(Held.second);
    const bool Released = Held.second == Member && KnowsAssignment &&
                          !Assigned.contains(Held.first);
    return Lost || Released;
  });
  std::set<int64_t> Held;
  for (const int64_t Part : Assigned)
    if (this->HolderByPartition.try_emplace(Part, Member).first->second ==
        Member)
      Held.insert(Part);
  return Held;
}

void StandinStoreState::leave(const std::string &Member) {
  if (this->Members.erase(Member) > 0)
    this->assignPartitions();
}

void StandinStoreState::assignPartitions() {
  ++this->Generation;
  for (auto &[Name, Each] : this->Members)
    Each.Partitions.clear();
  auto Next = this->Members.begin();
  for (int64_t Part = 0; Part < this->Partitions && !this->Members.empty();
       ++Part) {
    Next->second.Partitions.insert(Part);
    if (++Next == this->Members.end())
      Next = this->Members.begin();
  }
}

} // namespace camphornotch::standin
