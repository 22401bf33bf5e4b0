/// @file
/// Look-up in a route table.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H
#define CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H

#include "core/gateway/route_type.h"

#include <string_view>

namespace camphornotch {

/// @param Table the routes.
/// @param Host the Host header of a request; a port in it is ignored.
/// @param Path the path of the request.
/// @return the route of that host with the longest prefix of the path, or
///         null.
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path);

/// @param Table the services.
/// @param Name a service.
/// @return it, or null.
const ServiceInfo *findService(const RouteTable &Table, std::string_view Name);

/// @param Wanted a route.
/// @param Draw a number drawn for the request.
/// @return the service that the draw falls on; empty if the route has none.
std::string_view drawService(const Route &Wanted, uint64_t Draw);

/// @param Wanted a route.
/// @return whether a request may run again after it may have run.
bool mayRepeat(const Route &Wanted);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ROUTE_FUNC_H
