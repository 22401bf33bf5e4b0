/// @file
/// Who owns each partition, as far as this process knows.

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

/// What a call about a partition of another process does next.
enum class OwnerStep : uint8_t {
  Ask,       ///< It goes to the owner.
  Await,     ///< It waits until the owners are looked up.
  ComeAgain, ///< Its caller comes again: the owner will serve it soon.
  ReadHere,  ///< This process reads the partition itself.
};

/// A member of the group.
struct OwnerMember {
  /// Its name.
  std::string Name;
  /// Where it answers peers.
  Address Where;

  /// Equal if name and address are.
  bool operator==(const OwnerMember &) const = default;
};

/// The next step of a call.
struct OwnerAdvice {
  /// The step.
  OwnerStep Step = OwnerStep::ReadHere;
  /// Whom to ask, if that is the step.
  OwnerMember Owner;
  /// Why the owner is not asked; empty: it is.
  std::string_view Cause;
};

/// Keeps what the store and the owners said, and decides when the store is
/// asked again. An owner that cannot serve for a short while is waited for:
/// if all others read its partition at once, it gets less of the store.
class OwnerTable {
public:
  /// @param Self this process's own member name, which is never asked.
  explicit OwnerTable(std::string Self) : Self(std::move(Self)) {}

  /// @param Now the time.
  /// @return whether the store is to be asked for the owners now.
  bool lookUpDue(Millis Now) const;

  /// Notes that the store is being asked.
  /// @param Now the time.
  void lookUpBegun(Millis Now);

  /// Takes the store's answer.
  /// @param Owners the owners.
  /// @param Now the time.
  void learnt(std::span<const PartitionOwner> Owners, Millis Now);

  /// Notes that the store did not answer.
  void lookUpFailed();

  /// Takes the group's generation, as a join told it.
  /// @param Generation the generation; another one means other owners.
  void generationSeen(int64_t Generation);

  /// Decides about a call.
  /// @param Where the partition that it concerns.
  /// @param Now the time.
  /// @return its next step.
  OwnerAdvice advise(const PartitionId &Where, Millis Now);

  /// Notes that an owner served a call.
  /// @param Where the partition.
  /// @param Owner the member.
  void answered(const PartitionId &Where, const OwnerMember &Owner);

  /// Notes that a member said it does not own a partition.
  /// @param Where the partition.
  /// @param Owner the member.
  /// @param Now the time.
  void refused(const PartitionId &Where, const OwnerMember &Owner, Millis Now);

  /// Notes that an owner has not read its partition yet.
  /// @param Where the partition.
  /// @param Now the time.
  /// @return the call's next step.
  OwnerAdvice catchingUp(const PartitionId &Where, Millis Now);

  /// Notes that a member did not answer.
  /// @param Where the partition that it was asked about.
  /// @param Owner the member.
  /// @param SentAt when it was asked.
  /// @param Now the time.
  void failed(const PartitionId &Where, const OwnerMember &Owner, Millis SentAt,
              Millis Now);

private:
  /// What is known of one partition.
  struct Entry {
    /// Its owner, by the store.
    OwnerMember Owner;
    /// When the owner said that it is none; absent: it did not.
    std::optional<Millis> RefusedAt;
  };

  /// A time without service by an owner.
  struct Trouble {
    /// When it began.
    Millis Since{0};
    /// When it was met last.
    Millis Last{0};
  };

  /// Notes that the owner does not serve.
  /// @param Where the partition.
  /// @param Since when that may have begun.
  /// @param Now the time.
  /// @return when it began.
  Millis noteTrouble(const PartitionId &Where, Millis Since, Millis Now);
  /// @param Where a partition whose owner does not serve.
  /// @param Patience how long its callers come again.
  /// @param Cause why it does not serve.
  /// @param Now the time.
  /// @return the call's next step.
  OwnerAdvice withoutOwner(const PartitionId &Where, Millis Patience,
                           std::string_view Cause, Millis Now);
  /// @param MarkedAt when an owner was found wrong.
  /// @param Now the time.
  /// @return whether the store is about to tell who it is now.
  bool newsComing(Millis MarkedAt, Millis Now) const;

  /// This process's own name in the group.
  std::string Self;
  /// The partitions that have an owner.
  std::map<PartitionId, Entry> Entries;
  /// When a member did not answer, by name.
  std::map<std::string, Millis> FailedAt;
  /// Partitions that their owners did not serve lately.
  std::map<PartitionId, Trouble> Troubles;
  /// Whether the store is being asked.
  bool UnderWay = false;
  /// When the store was asked last; absent: never.
  std::optional<Millis> BegunAt;
  /// When the store was asked for what is known; absent: nothing is.
  std::optional<Millis> KnownFrom;
  /// Whether something known was found wrong since the store was asked.
  bool Urgent = false;
  /// Whether what is known may be wrong.
  bool Doubtful = false;
  /// The group's generation, by the last join.
  int64_t Generation = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_OWNER_TABLE_BASE_H
