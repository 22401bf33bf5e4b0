/// @file
/// Parses callers' HTTP requests.

#ifndef CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H
#define CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H

#include "base/error_type.h"
#include "core/filters/caller_request_type.h"

#include <string_view>

namespace camphornotch {

/// The parts of an HTTP request that determine the typed request.
struct RequestParts {
  std::string_view Method;
  /// Without the query.
  std::string_view Path;
  /// May be empty.
  std::string_view Query;
  std::string_view Body;
};

inline constexpr int64_t MaxSamplesPerGroup = 65'536;
inline constexpr size_t MaxGroupsPerSubmit = 65'536;
/// Length of the prompt prefix that determines affinity.
inline constexpr size_t AffinityPrefixBytes = 256;

/// @return the typed request; NotFound for an unknown path or method, BadInput
///         for an invalid body.
Result<CallerRequest> parseCallerRequest(const RequestParts &Parts);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H
