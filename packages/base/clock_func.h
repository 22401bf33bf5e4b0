/// @file
/// Access to the system clocks. Only tasks call these functions; controllers
/// never do.

#ifndef CAMPHORNOTCH_BASE_CLOCK_FUNC_H
#define CAMPHORNOTCH_BASE_CLOCK_FUNC_H

#include "base/millis_type.h"

namespace camphornotch {

/// @return the time of the monotonic clock.
Millis steadyNow();

/// @return the time since the host started. It is monotonic and also advances
///         while the host is suspended; used for the age of information.
Millis bootNow();

/// @return milliseconds since the Unix epoch, for logs and expiry times.
Millis wallNow();

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_CLOCK_FUNC_H
