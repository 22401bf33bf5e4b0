/// @file
/// A count of milliseconds, used for both time points and durations.

#ifndef CAMPHORNOTCH_BASE_MILLIS_TYPE_H
#define CAMPHORNOTCH_BASE_MILLIS_TYPE_H

#include <compare>
#include <cstdint>

namespace camphornotch {

/// Milliseconds, either since the origin of a clock or between two time points.
struct Millis {
  int64_t Count = 0;

  auto operator<=>(const Millis &) const = default;

  constexpr Millis operator+(Millis Other) const {
    return Millis{this->Count + Other.Count};
  }

  /// @return the difference, which may be negative.
  constexpr Millis operator-(Millis Other) const {
    return Millis{this->Count - Other.Count};
  }

  constexpr Millis operator*(int64_t Factor) const {
    return Millis{this->Count * Factor};
  }

  constexpr Millis &operator+=(Millis Other) {
    this->Count += Other.Count;
    return *this;
  }
};

/// Converts seconds to milliseconds.
constexpr Millis seconds(int64_t Value) { return Millis{Value * 1000}; }

/// Later than any time that a process reaches; a sum of two does not overflow.
inline constexpr Millis Never{INT64_MAX / 4};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_MILLIS_TYPE_H
