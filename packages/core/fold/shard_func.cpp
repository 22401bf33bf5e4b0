/// @file
/// Names of shards.

#include "core/fold/shard_func.h"

#include "base/hash_func.h"
#include "base/text_func.h"

#include <cassert>

namespace camphornotch {

ShardId trainerShard(const TrainerId &Trainer) {
  return ShardId{concat("trainer/", Trainer.Value)};
}

ShardId keyShard(std::string_view Key, int64_t Shards) {
  assert(Shards > 0);
  const uint64_t Range = hashBytes(Key) % static_cast<uint64_t>(Shards);
  return ShardId{concat("keys/", Range)};
}

} // namespace camphornotch
