/// @file
/// Finds endpoints by service, distance and address.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_INDEX_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_INDEX_BASE_H

#include "core/gateway/endpoint_pool_type.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The endpoints of one service.
struct ServiceEndpoints {
  /// All of them, in the order of their ids.
  std::vector<EndpointState *> All;
  /// By NetworkDistance, each in the order of the ids.
  std::array<std::vector<EndpointState *>, 3> ByDistance;
  /// Their median time for an event or answer, in milliseconds; 0: not known.
  double MedianMs = 0;
  /// When MedianMs was last updated.
  Millis MedianAt{0};
};

/// An index of endpoints that another container owns. An endpoint is removed
/// before its id, service, address or distance changes, and added afterwards.
class EndpointIndex {
public:
  /// @param State stays at its address until it is removed.
  void add(EndpointState &State);

  void remove(const EndpointState &State);

  /// @return the service's endpoints, or null if it has none.
  const ServiceEndpoints *find(std::string_view Service) const;
  ServiceEndpoints *find(std::string_view Service);

  /// @return the endpoints registered with an address: those of ended runs may
  ///   remain for a while.
  std::span<EndpointState *const> at(const Address &ListenAddress) const;

private:
  std::map<std::string, ServiceEndpoints, std::less<>> Services;
  std::map<Address, std::vector<EndpointState *>> ByAddress;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_INDEX_BASE_H
