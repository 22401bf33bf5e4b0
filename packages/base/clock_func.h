/// @file
/// Reads of the machine's clocks; only tasks call them, never controllers.

#ifndef CAMPHORNOTCH_BASE_CLOCK_FUNC_H
#define CAMPHORNOTCH_BASE_CLOCK_FUNC_H

#include "base/millis_type.h"

namespace camphornotch {

/// @return the steady clock, which never goes back.
Millis steadyNow();

/// @return the time since the host started, which never goes back and also
///         counts while the host is suspended: for the age of what is known.
Millis bootNow();

/// @return milliseconds since the Unix epoch, for logs and expiry records.
Millis wallNow();

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_CLOCK_FUNC_H
