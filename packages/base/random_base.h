/// @file
/// The seeded generator that is passed to controllers.

#ifndef CAMPHORNOTCH_BASE_RANDOM_BASE_H
#define CAMPHORNOTCH_BASE_RANDOM_BASE_H

#include <cstdint>

namespace camphornotch {

/// A small generator (splitmix64); equal seeds give equal sequences.
class Random {
public:
  /// @param Seed where the sequence starts.
  explicit Random(uint64_t Seed) : State(Seed) {}

  /// @return the next 64 random bits.
  uint64_t next();

  /// @param Bound one more than the largest result.
  /// @return a number from 0 to Bound - 1, each as likely.
  /// @pre Bound > 0
  uint64_t below(uint64_t Bound);

  /// @return a number from 0 up to, but without, 1.
  double unit();

private:
  /// The position in the sequence.
  uint64_t State;
};

/// @return bits from the operating system; only tasks call it.
uint64_t freshSeed();

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_RANDOM_BASE_H
