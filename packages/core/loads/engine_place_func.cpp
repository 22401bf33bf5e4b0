/// @file
/// Finds a loader's engine and its rank among the registered endpoints.

#include "core/loads/engine_place_func.h"

namespace camphornotch {

namespace {

/// @return the service of the newest registration at the address; empty if
///   there is none.
std::string_view serviceAt(const std::map<EndpointId, EndpointState> &Endpoints,
                           const Address &EngineAddress,
                           const std::set<EndpointId> &DeniedIds) {
  const EndpointRecord *Newest = nullptr;
  for (const auto &[Id, State] : Endpoints)
    if (State.Record.ListenAddress == EngineAddress &&
        !DeniedIds.contains(Id) &&
        (Newest == nullptr || State.Record.StartedAtMs > Newest->StartedAtMs))
      Newest = &State.Record;
  return Newest == nullptr ? std::string_view{} : Newest->Service;
}

} // namespace

std::optional<OwnEngine>
findOwnEngine(const std::map<EndpointId, EndpointState> &Endpoints,
              std::string_view Service, const Address &EngineAddress,
              const std::set<EndpointId> &DeniedIds) {
  if (Service.empty())
    Service = serviceAt(Endpoints, EngineAddress, DeniedIds);
  std::map<Address, const EndpointRecord *> Newest;
  for (const auto &[Id, State] : Endpoints) {
    const EndpointRecord &Record = State.Record;
    if (Record.Service != Service || Record.Draining || DeniedIds.contains(Id))
      continue;
    const EndpointRecord *&Known = Newest[Record.ListenAddress];
    if (Known == nullptr || Record.StartedAtMs > Known->StartedAtMs)
      Known = &Record;
  }
  const auto Own = Newest.find(EngineAddress);
  if (Own == Newest.end())
    return std::nullopt;
  EnginePlace Place{0, static_cast<int64_t>(Newest.size())};
  for (const auto &[OtherAddress, Record] : Newest)
    if (Record->Id < Own->second->Id)
      ++Place.Rank;
  return OwnEngine{Own->second->Id, Place};
}

} // namespace camphornotch
