/// @file
/// Finds a loader's engine, and its place, among the registered ones.

#include "core/loads/engine_place_func.h"

namespace camphornotch {

std::optional<OwnEngine>
findOwnEngine(const std::map<EndpointId, EndpointState> &Endpoints,
              std::string_view Service, const Address &Where,
              const std::set<EndpointId> &Wrong) {
  std::map<Address, const EndpointRecord *> Newest;
  for (const auto &[Id, State] : Endpoints) {
    const EndpointRecord &Record = State.Record;
    if (Record.Service != Service || Record.Draining || Wrong.contains(Id))
      continue;
    const EndpointRecord *&Known = Newest[Record.ListenAddress];
    if (Known == nullptr || Record.StartedAtMs > Known->StartedAtMs)
      Known = &Record;
  }
  const auto Own = Newest.find(Where);
  if (Own == Newest.end())
    return std::nullopt;
  EnginePlace Place{0, static_cast<int64_t>(Newest.size())};
  for (const auto &[At, Record] : Newest)
    if (Record->Id < Own->second->Id)
      ++Place.Rank;
  return OwnEngine{Own->second->Id, Place};
}

} // namespace camphornotch
