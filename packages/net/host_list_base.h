/// @file
/// Client of the platform's list of live and leaving hosts.

#ifndef CAMPHORNOTCH_NET_HOST_LIST_BASE_H
#define CAMPHORNOTCH_NET_HOST_LIST_BASE_H

#include "base/id_type.h"
#include "net/http_client_base.h"

#include <functional>
#include <string>
#include <vector>

namespace camphornotch {

/// One host, as the list describes it.
struct HostEntry {
  /// The host's name.
  HostId Host;
  /// Whether it is an agent; else an entry.
  bool IsAgent = false;
  /// Its data centre.
  DataCentreId DataCentre;
  /// Its region.
  RegionId Region;
  /// Where it takes peer links.
  HttpTarget Address;
  /// Where it takes HTTP.
  HttpTarget Http;
  /// Whether it is leaving.
  bool Leaving = false;
  /// Its endpoint; agents only.
  EndpointId Endpoint;
  /// "engine" or "service"; agents only.
  std::string EndpointKind;
  /// Model or service name; agents only.
  std::string Serves;
};

/// One answer of the list.
struct HostList {
  /// Grows with each change.
  int64_t Generation = 0;
  /// The hosts.
  std::vector<HostEntry> Hosts;
};

/// @param Json the list's answer.
/// @return the list, without hosts that cannot be understood; or an error.
Result<HostList> parseHostList(std::string_view Json);

/// Asks for the list at each interval.
class HostListPoller {
public:
  /// Takes each new list.
  using Handler = std::function<void(const HostList &)>;

  /// @param Events the loop to run on.
  /// @param Http sends the calls.
  /// @param Where where the list is.
  /// @param DataCentre the data centre to ask for.
  /// @param Interval time between calls.
  /// @param Tell takes each list that answered.
  HostListPoller(Loop &Events, HttpClient &Http, HttpTarget Where,
                 DataCentreId DataCentre, Millis Interval, Handler Tell);
  /// Stops asking.
  ~HostListPoller();
  HostListPoller(const HostListPoller &) = delete;
  HostListPoller &operator=(const HostListPoller &) = delete;

private:
  /// Sends one call.
  void poll();
  /// Plans the next call.
  void again();

  /// The loop.
  Loop &Events;
  /// Sends the calls.
  HttpClient &Http;
  /// Where the list is.
  HttpTarget Where;
  /// The data centre to ask for.
  DataCentreId DataCentre;
  /// Time between calls.
  Millis Interval;
  /// Takes each list.
  Handler Tell;
  /// The call under way.
  HttpCallId Call;
  /// The wait before the next call.
  TimerId Wait;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HOST_LIST_BASE_H
