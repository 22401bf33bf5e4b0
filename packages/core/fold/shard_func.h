/// @file
/// Names of shards.

#ifndef CAMPHORNOTCH_CORE_FOLD_SHARD_FUNC_H
#define CAMPHORNOTCH_CORE_FOLD_SHARD_FUNC_H

#include "base/id_type.h"

#include <string_view>

namespace camphornotch {

/// @param Trainer a trainer.
/// @return the shard that holds its steps: "trainer/NAME".
ShardId trainerShard(const TrainerId &Trainer);

/// @param Key an idempotency key.
/// @param Shards how many ranges of keys there are.
/// @return the shard that the key belongs to: "keys/N".
/// @pre Shards > 0
ShardId keyShard(std::string_view Key, int64_t Shards);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FOLD_SHARD_FUNC_H
