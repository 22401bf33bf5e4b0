/// @file
/// Changes of an engine's weights: what is known and what is ordered.

#ifndef CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H
#define CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H

#include "base/id_type.h"
#include "core/gateway/endpoint_pool_type.h"

#include <cstdint>
#include <string>

namespace camphornotch {

/// What an engine says of itself when asked.
struct EngineReport {
  /// Orders that it has accepted since its start.
  int64_t Sequence = 0;
  /// Whether an order is being carried out.
  bool Busy = false;
  /// Work running.
  int64_t Running = 0;
  /// Work waiting.
  int64_t Waiting = 0;
  /// The versions of its models.
  ModelVersions Versions;
};

/// An order to load newer weights. It is void at an engine that has accepted
/// another order since the report, so that one carried out late cannot undo a
/// newer one.
struct LoadOrder {
  /// The model.
  std::string Model;
  /// The version to load.
  int64_t Version = 0;
  /// Orders that the engine must have accepted before, no more and no less.
  int64_t ExpectedSequence = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_LOAD_TYPE_H
