/// @file
/// Choice of an endpoint by one of the policies.

#ifndef CAMPHORNOTCH_CORE_ROUTING_CHOICE_FUNC_H
#define CAMPHORNOTCH_CORE_ROUTING_CHOICE_FUNC_H

#include "base/error_type.h"
#include "core/routing/choice_type.h"
#include "core/routing/endpoint_table_base.h"

#include <optional>
#include <random>
#include <span>

namespace camphornotch {

/// The seeded generator that controllers draw from.
using RandomSource = std::mt19937_64;

/// Chooses where to send one piece of work.
/// @param Policy the policy; round robin advances its turn.
/// @param Table the endpoints.
/// @param Request what is needed.
/// @param Now the time.
/// @param Random the generator.
/// @return an eligible endpoint, or nothing.
std::optional<EndpointIndex> chooseEndpoint(ChoicePolicy &Policy,
                                            const EndpointTable &Table,
                                            const ChoiceRequest &Request,
                                            Millis Now, RandomSource &Random);

/// @param Patterns patterns of endpoint names; none: all are allowed.
/// @param Endpoint an endpoint.
/// @return whether the patterns allow it.
bool allowsEndpoint(std::span<const std::string> Patterns,
                    const EndpointState &Endpoint);

/// @param Table the endpoints.
/// @param Index one of them.
/// @param Request the work.
/// @return the expected milliseconds until the work is done there.
double estimateMs(const EndpointTable &Table, EndpointIndex Index,
                  const ChoiceRequest &Request);

/// @param Table the endpoints.
/// @param Index one of them.
/// @return places for rollouts that are free now, after what is on the way;
///         below zero when work waits.
int32_t freePlaces(const EndpointTable &Table, EndpointIndex Index);

/// @param Table the endpoints.
/// @param Index one of them.
/// @param Lookahead how much own work may wait there.
/// @return whether a rollout may be sent there now.
bool hasPlace(const EndpointTable &Table, EndpointIndex Index,
              int32_t Lookahead);

/// @param Name a policy's name in the rules: `probing`, `round_robin` or
///        `least_outstanding`.
/// @return the policy, or an error that lists the names.
Result<ChoicePolicy> parseChoicePolicy(std::string_view Name);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_CHOICE_FUNC_H
