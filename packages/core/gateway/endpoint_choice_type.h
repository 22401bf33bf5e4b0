/// @file
/// The ways to choose among the endpoints that will do.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H

#include <string_view>
#include <variant>

namespace camphornotch {

/// The one with the least expected time.
struct ExpectedTimeChoice {};
/// The one with the least work of this process: a baseline.
struct LeastOutstandingChoice {};
/// The one that this process chose the longest ago: a baseline.
struct RoundRobinChoice {};

/// One of the ways.
using EndpointChoice =
    std::variant<ExpectedTimeChoice, LeastOutstandingChoice, RoundRobinChoice>;

/// @param Name a value of the setting endpoint_choice.
/// @return the way.
/// @pre the setting was checked.
EndpointChoice parseEndpointChoice(std::string_view Name);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H
