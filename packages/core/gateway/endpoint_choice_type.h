/// @file
/// The policies for choosing among eligible endpoints.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H
#define CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H

#include <string_view>
#include <variant>

namespace camphornotch {

/// Chooses the endpoint with the shortest expected time.
struct ExpectedTimeChoice {};
/// Chooses the better of a few drawn candidates by when the work is expected to
/// end there.
struct RemainingWorkChoice {};
/// Baseline: chooses the endpoint with the least outstanding work of this
/// process.
struct LeastOutstandingChoice {};
/// Baseline: chooses the endpoint that this process chose least recently.
struct RoundRobinChoice {};

using EndpointChoice = std::variant<ExpectedTimeChoice, RemainingWorkChoice,
                                    LeastOutstandingChoice, RoundRobinChoice>;

/// @param Name a value of the setting endpoint_choice.
/// @pre the value has been validated.
EndpointChoice parseEndpointChoice(std::string_view Name);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_ENDPOINT_CHOICE_TYPE_H
