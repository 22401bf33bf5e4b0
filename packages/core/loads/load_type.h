/// @file
/// Reports of an engine and orders to load weights.

#ifndef CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H
#define CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H

#include "base/id_type.h"
#include "core/gateway/endpoint_pool_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// One run in an engine's report.
struct EngineRun {
  std::string Id;
  /// Events that it has made.
  int64_t Events = 0;
};

/// An engine's answer to a report poll.
struct EngineReport {
  /// Orders that it has accepted since its start.
  int64_t Sequence = 0;
  /// Whether an order is being executed.
  bool Busy = false;
  int64_t Running = 0;
  int64_t Waiting = 0;
  ModelVersions Versions;
  /// What the engine runs; empty if the report does not say.
  std::vector<EngineRun> Runs;
  /// Cache memory that cannot be evicted, in tokens.
  int64_t KvUsed = 0;
  /// Cache memory, in tokens; 0: not reported.
  int64_t KvTotal = 0;
};

/// An order to load newer weights. An engine that has accepted another order
/// since the report rejects it, so that a delayed order cannot undo a newer
/// one.
struct LoadOrder {
  std::string Model;
  int64_t Version = 0;
  /// Must equal the engine's EngineReport::Sequence.
  int64_t ExpectedSequence = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H
