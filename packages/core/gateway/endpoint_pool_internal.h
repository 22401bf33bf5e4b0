/// @file
/// Constants that the policies for choosing endpoints share.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_INTERNAL_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_INTERNAL_H

#include "base/millis_type.h"

#include <array>

namespace camphornotch {

/// Round-trip time by NetworkDistance, from the sites' link delays.
inline constexpr std::array<double, 3> RoundTripMs{1.0, 4.0, 26.0};
/// Maximum age of a usable measurement: other load at the sites slows an
/// endpoint for a few seconds at a time.
inline constexpr Millis MeasurementMaxAge{3'000};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_POOL_INTERNAL_H
