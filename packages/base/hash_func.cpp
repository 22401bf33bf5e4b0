/// @file
/// Stable hashes (xxHash) and rendezvous hashing.

#include "base/hash_func.h"

#include <xxhash.h>

namespace camphornotch {

uint64_t hashBytes(std::string_view Bytes, uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate) {
  return hashBytes(Candidate, hashBytes(Key));
}

} // namespace camphornotch
