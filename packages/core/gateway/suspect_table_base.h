/// @file
/// Detects requests that break each endpoint that runs them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace camphornotch {

/// Hash that is equal for repetitions of a request, whatever their ids.
using RequestDigest = StrongId<struct RequestDigestTag, int64_t>;

/// @param Host the route's host.
/// @param Path path and query of the request.
RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body);

/// Counts the endpoints that each request broke, as gateways report them.
/// Repeated reports on the same endpoint count once.
class SuspectTable {
public:
  /// Notes that a connection broke while an endpoint had a request.
  /// @return whether this endpoint is new for the request.
  bool add(RequestDigest Digest, const EndpointId &Endpoint, Millis Now);

  /// @return whether the request broke so many endpoints that it must not be
  ///         sent to another.
  bool isQuarantined(RequestDigest Digest, Millis Now) const;

  /// Removes requests whose reports are all too old.
  void forgetOld(Millis Now);

private:
  /// When each endpoint was last reported broken, by request.
  std::map<RequestDigest, std::map<EndpointId, Millis>> BrokenAt;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
