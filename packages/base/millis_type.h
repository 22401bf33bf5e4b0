/// @file
/// The one time type: a count of milliseconds, for instants and durations.

#ifndef CAMPHORNOTCH_BASE_MILLIS_TYPE_H
#define CAMPHORNOTCH_BASE_MILLIS_TYPE_H

#include <compare>
#include <cstdint>

namespace camphornotch {

/// Milliseconds, either since the process's steady-clock origin or between
/// two instants.
struct Millis {
  /// The number of milliseconds.
  int64_t Count = 0;

  /// Orders by count.
  auto operator<=>(const Millis &) const = default;

  /// @param Other what to add.
  /// @return the sum.
  constexpr Millis operator+(Millis Other) const {
    return Millis{this->Count + Other.Count};
  }

  /// @param Other what to take away.
  /// @return the difference, which may be negative.
  constexpr Millis operator-(Millis Other) const {
    return Millis{this->Count - Other.Count};
  }

  /// @param Factor how many times.
  /// @return the multiple.
  constexpr Millis operator*(int64_t Factor) const {
    return Millis{this->Count * Factor};
  }

  /// @param Other what to add in place.
  /// @return this value.
  constexpr Millis &operator+=(Millis Other) {
    this->Count += Other.Count;
    return *this;
  }
};

/// @param Value a number of seconds.
/// @return the same span in milliseconds.
constexpr Millis seconds(int64_t Value) { return Millis{Value * 1000}; }

/// Later than any instant a process reaches.
inline constexpr Millis Never{INT64_MAX / 4};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_MILLIS_TYPE_H
