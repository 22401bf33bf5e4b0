/// @file
/// Finds a loader's engine, and its place, among the registered ones.

#ifndef CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H
#define CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H

#include "core/loads/load_controller_base.h"

#include <set>
#include <string_view>

namespace camphornotch {

/// A loader's engine.
struct OwnEngine {
  /// Its id.
  EndpointId Id;
  /// Its place among the engines of its service.
  EnginePlace Place;
};

/// Entries of runs that have ended may still be registered: of several at one
/// address, the one that was born last counts.
/// @param Endpoints the registered endpoints.
/// @param Service the engine's service.
/// @param Where the engine's address.
/// @param Wrong ids that the engine at the address said not to be.
/// @return the engine, or nothing if it is not registered.
std::optional<OwnEngine>
findOwnEngine(const std::map<EndpointId, EndpointState> &Endpoints,
              std::string_view Service, const Address &Where,
              const std::set<EndpointId> &Wrong);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H
