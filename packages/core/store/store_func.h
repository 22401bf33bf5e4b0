/// @file
/// Maps keys to partitions.

#ifndef CAMPHORNOTCH_CORE_STORE_STORE_FUNC_H
#define CAMPHORNOTCH_CORE_STORE_STORE_FUNC_H

#include "base/hash_func.h"
#include "core/store/store_type.h"

#include <string_view>

namespace camphornotch {

/// @param Count number of partitions of the topic, above 0.
/// @return the key's partition, the same on every host.
inline PartitionId partitionFor(const char *Topic, std::string_view Key,
                                int64_t Count) {
  const uint64_t Number = hashBytes(Key) % static_cast<uint64_t>(Count);
  return PartitionId{Topic, static_cast<int64_t>(Number)};
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_STORE_FUNC_H
