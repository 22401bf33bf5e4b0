/// @file
/// Parsing of what callers send.

#ifndef CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H
#define CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H

#include "base/error_type.h"
#include "core/filters/caller_request_type.h"

#include <string_view>

namespace camphornotch {

/// The parts of an HTTP request that say what is wanted.
struct RequestParts {
  /// The method.
  std::string_view Method;
  /// The path without the query.
  std::string_view Path;
  /// The query; may be empty.
  std::string_view Query;
  /// The body.
  std::string_view Body;
};

/// Most samples in one group.
inline constexpr int64_t MaxSamplesPerGroup = 65'536;
/// Most groups in one submission.
inline constexpr size_t MaxGroupsPerSubmit = 65'536;
/// Most bytes of a prompt that decide on affinity.
inline constexpr size_t AffinityPrefixBytes = 256;

/// @param Parts the request.
/// @return the typed request; NotFound for a path that nobody serves,
///         BadInput for a body that cannot be understood.
Result<CallerRequest> parseCallerRequest(const RequestParts &Parts);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_FUNC_H
