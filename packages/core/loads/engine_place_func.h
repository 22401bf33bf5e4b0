/// @file
/// Finds a loader's engine and its rank among the registered endpoints.

#ifndef CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H
#define CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H

#include "core/loads/load_controller_base.h"

#include <set>
#include <string_view>

namespace camphornotch {

/// The engine beside a loader.
struct OwnEngine {
  EndpointId Id;
  EnginePlace Place;
};

/// Registrations of ended runs may remain: of several at one address, the one
/// that started last counts.
/// @param Service empty: the one that the newest of them names.
/// @param DeniedIds ids that the engine at the address said are not its own.
/// @return the engine; absent if it is not registered.
std::optional<OwnEngine>
findOwnEngine(const std::map<EndpointId, EndpointState> &Endpoints,
              std::string_view Service, const Address &EngineAddress,
              const std::set<EndpointId> &DeniedIds);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LOADS_ENGINE_PLACE_FUNC_H
