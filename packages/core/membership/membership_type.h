/// @file
/// Events and actions of the membership controller.

#ifndef CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H
#define CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H

#include "base/address_type.h"
#include "base/id_type.h"
#include "base/millis_type.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// State of a host as this process sees it.
enum class HostState : uint8_t {
  Live,    ///< Answers this entry, or is listed and not known to be silent.
  Suspect, ///< Does not answer this entry; others may reach it. No new work.
  Leaving, ///< Was ordered to leave, or reports it. No new work.
  Gone,    ///< Not listed any more and does not answer.
};

/// A host as given by the host list.
struct ListedHost {
  HostId Host;
  /// An agent; otherwise an entry.
  bool IsAgent = false;
  DataCentreId DataCentre;
  RegionId Region;
  /// Listens for peer links.
  Address LinkAddress;
  /// Listens for HTTP.
  Address HttpAddress;
  /// Marked as leaving in the list.
  bool Leaving = false;
  /// Its endpoint; agents only.
  EndpointId Endpoint;
  /// "engine" or "service"; agents only.
  std::string EndpointKind;
  /// Model or service; agents only.
  std::string Serves;
};

/// A host as this process sees it.
struct MemberState {
  ListedHost Listed;
  HostState State = HostState::Live;
  /// Included in the newest list.
  bool IsListed = true;
  /// A link to it is up.
  bool Linked = false;
  /// A link was up or was tried; before that, the lack of an answer means
  /// nothing.
  bool LinkTried = false;
  /// The host itself reports that it is leaving.
  bool ReportsLeaving = false;
  /// An operator ordered it to leave.
  bool Drained = false;
  /// When another entry last reported that it reaches the host; -1: never.
  Millis ReachedByOtherAt{-1};
  /// When it was last listed, linked or reached by another entry.
  Millis LastSeen;
  /// This entry should hold a link to it.
  bool LinkWanted = false;
};

/// Settings of the membership controller.
struct MembershipSettings {
  HostId Self;
  DataCentreId DataCentre;
  /// Entries that link to each agent of their data centre.
  int64_t EntriesPerAgent = 3;
  /// Entries of each other data centre that an entry links to.
  int64_t RemoteLinks = 2;
  /// Time after which an unlisted host that does not answer is gone.
  Millis GoneAfter{10000};
  /// How long another entry's report counts.
  Millis PeerReportMaxAge{5000};
};

/// The host list was read.
struct HostsListed {
  std::vector<ListedHost> Hosts;
};

/// A link to a host is up.
struct MemberUp {
  HostId Host;
};

/// A host does not answer, not even on a new connection.
struct MemberDown {
  HostId Host;
};

/// A host reported whether it is leaving.
struct LeavingReported {
  HostId Host;
  bool Leaving = false;
};

/// Another entry reported which hosts it reaches.
struct ReachabilityReported {
  HostId From;
  std::vector<HostId> Reached;
};

/// The drain orders in effect, from the log.
struct DrainsOrdered {
  std::vector<HostId> Hosts;
};

/// The deadline passed.
struct MembershipTick {};

using MembershipEvent =
    std::variant<HostsListed, MemberUp, MemberDown, LeavingReported,
                 ReachabilityReported, DrainsOrdered, MembershipTick>;

/// Open a link and keep it.
struct OpenLink {
  HostId Host;
  Address LinkAddress;
};

/// Close the link and do not open it again.
struct CloseLink {
  HostId Host;
  Address LinkAddress;
};

/// A host's state changed; for a new host OldState is Gone.
struct MemberChanged {
  HostId Host;
  HostState OldState = HostState::Live;
  HostState NewState = HostState::Live;
  /// Why, for the log.
  std::string Reason;
};

/// The live entries of this data centre changed.
struct LocalEntriesChanged {
  std::vector<HostId> Entries;
};

using MembershipAction =
    std::variant<OpenLink, CloseLink, MemberChanged, LocalEntriesChanged>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H
