/// @file
/// Detects requests that break each endpoint that runs them.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"
#include "core/gateway/endpoint_pool_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace camphornotch {

/// Hash that is equal for repetitions of a request, whatever their ids.
using RequestDigest = StrongId<struct RequestDigestTag, int64_t>;

/// @param Host the route's host.
/// @param Path path and query of the request.
RequestDigest digestOf(std::string_view Host, std::string_view Path,
                       std::string_view Body);

/// What a table made of another process's knowledge of a request.
enum class SuspectNews {
  /// This process knew less.
  Learned,
  /// Both knew the same.
  Same,
  /// This process knows more.
  Outdated,
};

/// Counts the endpoints that each request broke one after another, as gateways
/// report them. Endpoints that break while the request is under way at several
/// of them count once: whatever ended them all need not be the request.
/// Repeated reports on the same lifetime of an endpoint count once; an endpoint
/// that breaks again after a start counts again.
///
/// A request that broke three endpoints is quarantined for a minute. If it
/// breaks one more after that, it is quarantined again, each time for twice as
/// long, so that it costs few endpoints however often it comes.
///
/// Processes send each other what they know of a request as a
/// wire::SuspectState. The later acquittal prevails, then the larger count, so
/// that the order of the messages does not matter and none counts twice.
class SuspectTable {
public:
  /// Notes that a connection broke while an endpoint had a request.
  /// @param RanFor how long the endpoint had had the request by then.
  /// @return whether this lifetime was not reported for the request lately.
  bool add(RequestDigest Digest, const EndpointLifetime &Endpoint,
           Millis BrokenAt, Millis RanFor = Millis{0});

  /// Notes that an endpoint executed a request completely. Its breaks no longer
  /// count, since one that crashes endpoints crashes each that begins it.
  /// @return whether there were any.
  bool succeeded(RequestDigest Digest, Millis Now);

  /// Adds what another process knows of a request.
  SuspectNews merge(const wire::SuspectState &Other, Millis Now);

  /// @return whether the request broke so many endpoints that it must not be
  ///         sent to another.
  bool isQuarantined(RequestDigest Digest, Millis Now) const;

  /// @return what is known of a request, for another process; nothing if it is
  ///   not in the table.
  std::optional<wire::SuspectState> state(RequestDigest Digest,
                                          Millis Now) const;

  /// @param Most limit of the requests; those with fewer breaks are left out.
  /// @return what is known of all requests, for another process.
  std::vector<wire::SuspectState> states(size_t Most, Millis Now) const;

  /// Removes requests whose reports are all too old.
  void forgetOld(Millis Now);

private:
  struct Suspect {
    /// How often a success showed that its breaks before were not its fault.
    int64_t Acquittals = 0;
    /// When each lifetime of an endpoint was last reported broken.
    std::map<EndpointLifetime, Millis> BrokenAt;
    /// Endpoints that broke one after another since the last acquittal.
    int Breaks = 0;
    /// When the last of them broke, or the last acquittal.
    Millis ChangedAt{0};
    /// Until when others may know of its breaks, also of those that an
    /// acquittal lifted.
    Millis KeptUntil{0};
  };

  /// @return the end of the quarantine; not after the last break if there is
  ///   none.
  static Millis quarantinedUntil(const Suspect &Known);
  /// Sets the time of a change.
  static void changed(Suspect &Known, Millis At);

  std::map<RequestDigest, Suspect> Suspects;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_SUSPECT_TABLE_BASE_H
