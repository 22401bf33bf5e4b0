/// @file
/// Detects requests that break each endpoint that runs them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "core/gateway/endpoint_pool_type.h"

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
/// Repeated reports on the same lifetime of an endpoint count once; an endpoint
/// that breaks again after a start counts again.
///
/// A request that broke three endpoints is quarantined for a minute. If it
/// breaks one more after that, it is quarantined again, each time for twice as
/// long, so that it costs few endpoints however often it comes.
class SuspectTable {
public:
  /// Notes that a connection broke while an endpoint had a request.
  /// @return whether this lifetime was not reported for the request lately.
  bool add(RequestDigest Digest, const EndpointLifetime &Endpoint, Millis Now);

  /// Notes that an endpoint executed a request completely. It forgets the
  /// request, since one that crashes endpoints crashes each that begins it.
  void succeeded(RequestDigest Digest) { this->Suspects.erase(Digest); }

  /// @return whether the request broke so many endpoints that it must not be
  ///         sent to another.
  bool isQuarantined(RequestDigest Digest, Millis Now) const;

  /// Removes requests whose reports are all too old.
  void forgetOld(Millis Now);

private:
  struct Suspect {
    /// When each lifetime of an endpoint was last reported broken.
    std::map<EndpointLifetime, Millis> BrokenAt;
    /// End of the quarantine; 0: there was none.
    Millis QuarantinedUntil{0};
    /// Length of the last quarantine.
    Millis QuarantineTime{0};
  };

  /// @return whether nothing about it is needed any more.
  static bool isOld(const Suspect &Known, Millis Now);

  std::map<RequestDigest, Suspect> Suspects;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
