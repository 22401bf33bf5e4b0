/// @file
/// Reads of the machine's clocks; only tasks call them, never controllers.

#ifndef CAMPHORNOTCH_BASE_CLOCK_FUNC_H
#define CAMPHORNOTCH_BASE_CLOCK_FUNC_H

#include "base/millis_type.h"

namespace camphornotch {

/// @return the steady clock, which never goes back.
Millis steadyNow();

/// @return milliseconds since the Unix epoch, for logs and expiry records.
Millis wallNow();

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_CLOCK_FUNC_H
