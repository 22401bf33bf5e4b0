/// @file
/// Stable hashes (xxHash) and rendezvous ranking, equal on every process.

#ifndef CAMPHORNOTCH_BASE_HASH_FUNC_H
#define CAMPHORNOTCH_BASE_HASH_FUNC_H

#include <cstdint>
#include <string_view>

namespace camphornotch {

/// @param Bytes what to hash.
/// @param Seed separates uses of the same bytes.
/// @return a 64-bit hash that is the same on every host and version.
uint64_t hashBytes(std::string_view Bytes, uint64_t Seed = 0);

/// The score of one candidate for one key; the highest score owns the key.
/// @param Key what is to be placed.
/// @param Candidate one place for it.
/// @return the score.
uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_HASH_FUNC_H
