/// @file
/// Stable hashes: equal in every process and version.

#ifndef CAMPHORNOTCH_BASE_HASH_FUNC_H
#define CAMPHORNOTCH_BASE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace camphornotch {

/// @param Bytes what to hash.
/// @param Seed separates uses of the same bytes.
/// @return a well-mixed 64-bit hash.
uint64_t hashBytes(std::string_view Bytes, uint64_t Seed = 0);

/// The weight of a node for a key in rendezvous hashing: the node with the
/// largest weight is the key's first choice.
/// @param Key what is to be placed.
/// @param Node a candidate.
/// @return the weight of the candidate for the key.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_HASH_FUNC_H
