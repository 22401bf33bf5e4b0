/// @file
/// Requests that break each endpoint that begins to run them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace camphornotch {

/// What makes two requests the same, whatever their ids.
using RequestDigest = StrongId<struct RequestDigestTag, int64_t>;

/// @param Host the route's host.
/// @param Path path and query.
/// @param Body the body.
/// @return the request's digest.
RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body);

/// Counts the endpoints that each request broke, as gateways report them. A
/// report that arrives twice counts once.
class SuspectTable {
public:
  /// Notes that a connection broke while an endpoint had a request.
  /// @param Digest the request.
  /// @param Endpoint the endpoint.
  /// @param Now the time.
  /// @return whether that is news.
  bool add(RequestDigest Digest, const EndpointId &Endpoint, Millis Now);

  /// @param Digest a request.
  /// @param Now the time.
  /// @return whether it broke so many endpoints that no other may get it.
  bool isQuarantined(RequestDigest Digest, Millis Now) const;

  /// Forgets old reports.
  /// @param Now the time.
  void forgetOld(Millis Now);

private:
  /// When each endpoint was broken, by request.
  std::map<RequestDigest, std::map<EndpointId, Millis>> BrokenAt;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
