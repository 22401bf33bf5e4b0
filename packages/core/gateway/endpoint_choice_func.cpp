/// @file
/// Parses the setting that selects the endpoint choice policy.

#include "core/gateway/endpoint_choice_type.h"

#include <cassert>

namespace camphornotch {

EndpointChoice parseEndpointChoice(std::string_view Name) {
  if (Name == "remaining_work")
    return RemainingWorkChoice{};
  if (Name == "least_outstanding")
    return LeastOutstandingChoice{};
  if (Name == "round_robin")
    return RoundRobinChoice{};
  assert(Name == "expected_time");
  return ExpectedTimeChoice{};
}

} // namespace camphornotch
