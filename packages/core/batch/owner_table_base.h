/// @file
/// Tracks the owner of each partition and decides where calls about it go.

#ifndef CAMPHORNOTCH_CORE_BATCH_OWNER_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_OWNER_TABLE_BASE_H

#include "base/address_type.h"
#include "base/millis_type.h"
#include "core/store/store_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace camphornotch {

/// What to do with a call about a partition that another process owns.
enum class OwnerAction : uint8_t {
  AskOwner,    ///< Send it to the owner.
  AwaitLookup, ///< Hold it until the owners are looked up.
  RetryLater,  ///< Tell its caller to retry: the owner will serve it soon.
  ReadLocally, ///< Read the partition in this process.
};

/// A member of the group.
struct OwnerMember {
  std::string Name;
  /// Where it accepts peer requests.
  Address PeerAddress;

  bool operator==(const OwnerMember &) const = default;
};

/// What to do with a call, and why.
struct OwnerDecision {
  OwnerAction Action = OwnerAction::ReadLocally;
  /// The member to ask, with AskOwner.
  OwnerMember Owner;
  /// Why the owner is not asked; empty with AskOwner.
  std::string_view Cause;
};

/// Keeps what the store and the owners answered, and decides when to look up
/// the owners in the store again. Callers are told to wait for an owner that
/// cannot serve for a short while: if all other processes read its partition at
/// once, the owner's own reads get less of the store's bandwidth.
class OwnerTable {
public:
  /// @param Self this process's own member name, which is never asked.
  explicit OwnerTable(std::string Self) : Self(std::move(Self)) {}

  /// @return whether to look up the owners in the store now.
  bool isLookupDue(Millis Now) const;

  void lookupStarted(Millis Now);

  /// @param Owners the store's answer.
  void lookupSucceeded(std::span<const PartitionOwner> Owners, Millis Now);

  void lookupFailed();

  /// @param NewGeneration the group's generation, from the answer to a join; a
  ///   change means that owners changed.
  void noteGeneration(int64_t NewGeneration);

  /// Decides what to do with a call about a partition.
  OwnerDecision decide(const PartitionId &Partition, Millis Now);

  /// Notes that an owner served a call.
  void ownerAnswered(const PartitionId &Partition, const OwnerMember &Owner);

  /// Notes that a member answered that it does not own the partition.
  void ownerRefused(const PartitionId &Partition, const OwnerMember &Owner,
                    Millis Now);

  /// Notes that an owner has not read its partition to the end yet.
  /// @return what to do with the call.
  OwnerDecision ownerCatchingUp(const PartitionId &Partition, Millis Now);

  /// Notes that a member did not answer a call.
  /// @param SentAt when the call was sent.
  void ownerFailed(const PartitionId &Partition, const OwnerMember &Owner,
                   Millis SentAt, Millis Now);

private:
  /// What is known of one partition.
  struct Entry {
    /// The owner that the store named.
    OwnerMember Owner;
    /// When that member answered that it is not the owner; absent: it did not.
    std::optional<Millis> RefusedAt;
  };

  /// A period in which a partition's owner does not serve.
  struct Outage {
    Millis StartedAt{0};
    Millis LastSeenAt{0};
  };

  /// Notes that a partition's owner does not serve.
  /// @param StartedAt when a new outage is taken to have started.
  /// @return when the current outage started.
  Millis recordOutage(const PartitionId &Partition, Millis StartedAt,
                      Millis Now);
  /// Decides about a call whose partition's owner does not serve.
  /// @param RetryPeriod callers are told to retry for this long.
  /// @param Cause why it does not serve.
  OwnerDecision decideWithoutOwner(const PartitionId &Partition,
                                   Millis RetryPeriod, std::string_view Cause,
                                   Millis Now);
  /// @param NotedAt when an owner was found to be wrong.
  /// @return whether a lookup that runs or is due will tell the current owner.
  bool isNewerLookupExpected(Millis NotedAt, Millis Now) const;

  /// This process's own name in the group.
  std::string Self;
  /// The partitions that have an owner.
  std::map<PartitionId, Entry> Entries;
  /// When a member did not answer, by name.
  std::map<std::string, Millis> FailedAt;
  /// Partitions that their owners did not serve recently.
  std::map<PartitionId, Outage> Outages;
  bool LookupRunning = false;
  /// Start of the last lookup; absent: there was none.
  std::optional<Millis> LookupStartedAt;
  /// Start of the lookup that gave the entries; absent: none has succeeded.
  std::optional<Millis> EntriesLookedUpAt;
  /// Whether an entry was found to be wrong since the last lookup started.
  bool LookupUrgent = false;
  /// Whether the entries may be outdated.
  bool MaybeOutdated = false;
  /// The group's generation at the last join.
  int64_t Generation = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_OWNER_TABLE_BASE_H
