/// @file
/// Chooses the processes that may claim a duty.

#ifndef CAMPHORNOTCH_CORE_DUTIES_DUTY_CANDIDATE_FUNC_H
#define CAMPHORNOTCH_CORE_DUTIES_DUTY_CANDIDATE_FUNC_H

#include "core/gateway/endpoint_pool_type.h"

#include <map>
#include <string_view>

namespace camphornotch {

/// Only a few processes compete for a duty and read its records, so that the
/// cost does not grow with the number of hosts.
/// @param Endpoints the registered endpoints.
/// @param Engine the engine beside this process.
/// @return whether the engine ranks among the first by a hash of the duty's
///   name and the engine's id.
bool isDutyCandidate(std::string_view Duty,
                     const std::map<EndpointId, EndpointState> &Endpoints,
                     const EndpointId &Engine);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_DUTY_CANDIDATE_FUNC_H
