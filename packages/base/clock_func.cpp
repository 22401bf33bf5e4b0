/// @file
/// Reads of the machine's clocks.

#include "base/clock_func.h"

#include <chrono>

namespace camphornotch {

namespace {

/// @param Span a span of any standard clock.
/// @return the span in whole milliseconds.
template <typename DurationT> Millis toMillis(DurationT Span) {
  using std::chrono::duration_cast;
  return Millis{duration_cast<std::chrono::milliseconds>(Span).count()};
}

} // namespace

Millis steadyNow() {
  return toMillis(std::chrono::steady_clock::now().time_since_epoch());
}

Millis wallNow() {
  return toMillis(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace camphornotch
