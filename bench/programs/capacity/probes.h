/// @file
/// The slopes that are measured, by subsystem.

#ifndef CAMPHORNOTCH_BENCH_CAPACITY_PROBES_H
#define CAMPHORNOTCH_BENCH_CAPACITY_PROBES_H

#include "capacity/slope_func.h"

#include <vector>

namespace camphornotch::bench {

/// @return bytes and time of messages: heartbeats, figures, relayed tokens.
std::vector<Slope> wireSlopes();

/// @return bytes, time and memory of records and folded state.
std::vector<Slope> foldSlopes();

/// @return time and memory of endpoints, decisions, requests and slots.
std::vector<Slope> routingSlopes();

/// @return memory and time of samples held for a trainer.
std::vector<Slope> sampleSlopes();

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_CAPACITY_PROBES_H
