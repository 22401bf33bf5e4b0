/// @file
/// Finds endpoints by service, distance and address.

#include "core/gateway/endpoint_index_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

const EndpointId &idOf(const EndpointState *State) { return State->Record.Id; }

void insertById(std::vector<EndpointState *> &States, EndpointState &State) {
  States.insert(std::ranges::lower_bound(States, State.Record.Id, {}, idOf),
                &State);
}

void eraseById(std::vector<EndpointState *> &States, const EndpointId &Id) {
  const auto Found = std::ranges::lower_bound(States, Id, {}, idOf);
  if (Found != States.end() && idOf(*Found) == Id)
    States.erase(Found);
}

} // namespace

void EndpointIndex::add(EndpointState &State) {
  ServiceEndpoints &Service = this->Services[State.Record.Service];
  insertById(Service.All, State);
  insertById(Service.ByDistance[static_cast<size_t>(State.Distance)], State);
  insertById(this->ByAddress[State.Record.ListenAddress], State);
}

void EndpointIndex::remove(const EndpointState &State) {
  const EndpointId &Id = State.Record.Id;
  const auto Service = this->Services.find(State.Record.Service);
  if (Service != this->Services.end()) {
    eraseById(Service->second.All, Id);
    eraseById(Service->second.ByDistance[static_cast<size_t>(State.Distance)],
              Id);
    if (Service->second.All.empty())
      this->Services.erase(Service);
  }
  const auto Sharing = this->ByAddress.find(State.Record.ListenAddress);
  if (Sharing == this->ByAddress.end())
    return;
  eraseById(Sharing->second, Id);
  if (Sharing->second.empty())
    this->ByAddress.erase(Sharing);
}

const ServiceEndpoints *EndpointIndex::find(std::string_view Service) const {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

ServiceEndpoints *EndpointIndex::find(std::string_view Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

std::span<EndpointState *const>
EndpointIndex::at(const Address &ListenAddress) const {
  const auto Found = this->ByAddress.find(ListenAddress);
  if (Found == this->ByAddress.end())
    return {};
  return Found->second;
}

} // namespace camphornotch
