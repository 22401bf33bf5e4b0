/// @file
/// Strong identifier types, so that the compiler rejects mixing identifiers of
/// different kinds.

#ifndef CAMPHORNOTCH_BASE_ID_TYPE_H
#define CAMPHORNOTCH_BASE_ID_TYPE_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace camphornotch {

/// An identifier that can be compared with and assigned to its own kind only.
/// @tparam TagT an otherwise unused type that names the kind.
template <typename TagT, typename ValueT> struct StrongId {
  ValueT Value{};

  auto operator<=>(const StrongId &) const = default;

  /// Hash support for Abseil containers.
  template <typename HashT>
  friend HashT AbslHashValue(HashT State, const StrongId &Id) {
    return HashT::combine(std::move(State), Id.Value);
  }
};

/// The host of a process, as named in the host list.
using HostId = StrongId<struct HostTag, std::string>;
/// A model engine or plain service behind one agent.
using EndpointId = StrongId<struct EndpointTag, std::string>;
/// A trainer, by the name that it gives itself.
using TrainerId = StrongId<struct TrainerTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
using RegionId = StrongId<struct RegionTag, std::string>;
/// A unit of owned state: one trainer or one range of idempotency keys.
using ShardId = StrongId<struct ShardTag, std::string>;
/// One run of a process; chosen at random when it starts.
using BootId = StrongId<struct BootTag, int64_t>;
/// An offset in the log of the platform.
using LogOffset = StrongId<struct OffsetTag, int64_t>;
/// The offset of the claim under which a shard is owned.
using Epoch = StrongId<struct EpochTag, int64_t>;
/// One unit of work sent to an agent, unique within the BootId of the sender.
using WorkId = StrongId<struct WorkTag, int64_t>;
/// A version of the weights of a model; larger is newer.
using WeightVersion = StrongId<struct VersionTag, int64_t>;

/// No record has this offset; it is before the first one.
inline constexpr LogOffset NoOffset{-1};

} // namespace camphornotch

/// Hash support for the standard containers.
template <typename TagT, typename ValueT>
struct std::hash<camphornotch::StrongId<TagT, ValueT>> {
  size_t operator()(const camphornotch::StrongId<TagT, ValueT> &Id) const {
    return std::hash<ValueT>{}(Id.Value);
  }
};

#endif // CAMPHORNOTCH_BASE_ID_TYPE_H
