/// @file
/// Strong identifier types: values of different kinds cannot be mixed up.

#ifndef CAMPHORNOTCH_BASE_ID_TYPE_H
#define CAMPHORNOTCH_BASE_ID_TYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphornotch {

/// A value that only its own kind compares and assigns with.
/// @tparam TagT an otherwise unused type that names the kind.
/// @tparam ValueT what the identifier is made of.
template <typename TagT, typename ValueT> struct StrongId {
  /// The bare value.
  ValueT Value{};

  /// Orders by value.
  auto operator<=>(const StrongId &) const = default;

  /// Hash support for the absl containers.
  /// @param State the running hash.
  /// @param Id the identifier to add.
  /// @return the running hash with the identifier in it.
  template <typename HashT>
  friend HashT AbslHashValue(HashT State, const StrongId &Id) {
    return HashT::combine(std::move(State), Id.Value);
  }
};

/// A process's host, as the host list names it.
using HostId = StrongId<struct HostTag, std::string>;
/// A model engine or plain service behind one agent.
using EndpointId = StrongId<struct EndpointTag, std::string>;
/// A trainer, as it names itself.
using TrainerId = StrongId<struct TrainerTag, std::string>;
/// One of the data centres.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// One of the regions.
using RegionId = StrongId<struct RegionTag, std::string>;
/// A unit of owned state: one trainer or one range of idempotency keys.
using ShardId = StrongId<struct ShardTag, std::string>;
/// One run of a process; drawn at random when it starts.
using BootId = StrongId<struct BootTag, int64_t>;
/// A position in the platform's log.
using LogOffset = StrongId<struct OffsetTag, int64_t>;
/// The offset of the claim under which a shard is owned.
using Epoch = StrongId<struct EpochTag, int64_t>;
/// One piece of work sent to an agent, unique for the sending boot.
using WorkId = StrongId<struct WorkTag, int64_t>;
/// One version of a model's weights; larger is newer.
using WeightVersion = StrongId<struct VersionTag, int64_t>;

/// No record has this offset: before the first one.
inline constexpr LogOffset NoOffset{-1};

} // namespace camphornotch

/// Hash support for the standard containers.
template <typename TagT, typename ValueT>
struct std::hash<camphornotch::StrongId<TagT, ValueT>> {
  /// @param Id the identifier.
  /// @return its hash.
  size_t operator()(const camphornotch::StrongId<TagT, ValueT> &Id) const {
    return std::hash<ValueT>{}(Id.Value);
  }
};

#endif // CAMPHORNOTCH_BASE_ID_TYPE_H
