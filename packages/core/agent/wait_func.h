/// @file
/// Estimate of the time until new work would start.

#ifndef CAMPHORNOTCH_CORE_AGENT_WAIT_FUNC_H
#define CAMPHORNOTCH_CORE_AGENT_WAIT_FUNC_H

#include <cstdint>
#include <span>

namespace camphornotch {

/// Fills waiting tokens into places as each comes free, all at one rate, and
/// finds the level at which one more piece of work would start.
/// @param Remaining tokens left at each usable place (0: free); is sorted.
/// @param Ahead tokens that wait in front.
/// @return tokens that one place generates until the start; INT64_MAX / 4 if
///         there are no places.
int64_t tokensUntilStart(std::span<int64_t> Remaining, int64_t Ahead);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_WAIT_FUNC_H
