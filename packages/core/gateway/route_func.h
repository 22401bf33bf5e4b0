/// @file
/// Looks up routes and services in a route table.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H
#define CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H

#include "core/gateway/route_type.h"

#include <string_view>

namespace camphornotch {

/// @param Host the Host header; a port in it is ignored.
/// @return the route of that host with the longest matching prefix, or null.
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path);

const ServiceInfo *findService(const RouteTable &Table, std::string_view Name);

/// Chooses a service of the route in proportion to the weights.
/// @param Draw a random number.
/// @return the service; empty if the route has none.
std::string_view drawService(const Route &Wanted, uint64_t Draw);

/// @return whether a request may be sent again after it may have run.
bool mayRepeat(const Route &Wanted);

/// @return whether the service has a share of the route's requests.
bool hasService(const Route &Wanted, std::string_view Service);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H
