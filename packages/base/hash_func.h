/// @file
/// Stable hashes (xxHash) and rendezvous hashing, equal in every process.

#ifndef CAMPHORNOTCH_BASE_HASH_FUNC_H
#define CAMPHORNOTCH_BASE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace camphornotch {

/// @param Seed gives independent hashes of the same bytes.
/// @return a 64-bit hash that is the same on every host and version.
uint64_t hashBytes(std::string_view Bytes, uint64_t Seed = 0);

/// The score of a candidate for a key; the candidate with the highest score
/// owns the key.
uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_HASH_FUNC_H
