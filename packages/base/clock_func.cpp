/// @file
/// Access to the system clocks.

#include "base/clock_func.h"

#include <chrono>
#include <ctime>

namespace camphornotch {

namespace {

/// @return the duration, rounded toward zero to whole milliseconds.
template <typename DurationT> Millis toMillis(DurationT Span) {
  using std::chrono::duration_cast;
  return Millis{duration_cast<std::chrono::milliseconds>(Span).count()};
}

} // namespace

Millis steadyNow() {
  return toMillis(std::chrono::steady_clock::now().time_since_epoch());
}

Millis bootNow() {
  timespec Now = {};
  // Fails only for clocks that the kernel does not support.
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return toMillis(std::chrono::seconds(Now.tv_sec) +
                  std::chrono::nanoseconds(Now.tv_nsec));
}

Millis wallNow() {
  return toMillis(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace camphornotch
