/// @file
/// Client of the platform's list of hosts.

#ifndef CAMPHORNOTCH_NET_HOST_LIST_BASE_H
#define CAMPHORNOTCH_NET_HOST_LIST_BASE_H

#include "base/id_type.h"
#include "net/http_client_base.h"

#include <functional>
#include <string>
#include <vector>

namespace camphornotch {

/// A host in the list.
struct HostEntry {
  HostId Host;
  /// Otherwise the host is an entry.
  bool IsAgent = false;
  DataCentreId DataCentre;
  RegionId Region;
  /// The address for peer links.
  HttpTarget Address;
  /// The address for HTTP.
  HttpTarget Http;
  bool Leaving = false;
  /// Agents only.
  EndpointId Endpoint;
  /// "engine" or "service"; agents only.
  std::string EndpointKind;
  /// Model or service name; agents only.
  std::string Serves;
};

/// The list as read at one time.
struct HostList {
  /// Increases with each change.
  int64_t Generation = 0;
  std::vector<HostEntry> Hosts;
};

/// @param Json the body of a response.
/// @return the list without its invalid hosts, or an error if it is no list.
Result<HostList> parseHostList(std::string_view Json);

/// Reads the list periodically.
class HostListPoller {
public:
  /// Receives each list that was read, changed or not.
  using Handler = std::function<void(const HostList &)>;

  /// @param Target the address of the list's server.
  /// @param DataCentre the data centre whose view of the list is read.
  /// @param Interval time between a response and the next request.
  HostListPoller(Loop &Events, HttpClient &Http, HttpTarget Target,
                 DataCentreId DataCentre, Millis Interval, Handler OnList);
  ~HostListPoller();
  HostListPoller(const HostListPoller &) = delete;
  HostListPoller &operator=(const HostListPoller &) = delete;

private:
  void poll();
  /// Schedules the next poll().
  void schedulePoll();

  Loop &Events;
  HttpClient &Http;
  HttpTarget Target;
  DataCentreId DataCentre;
  Millis Interval;
  Handler OnList;
  /// The call in progress.
  HttpCallId Call;
  /// Starts the next poll().
  TimerId PollTimer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HOST_LIST_BASE_H
