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

/// What is known of a host.
enum class HostState : uint8_t {
  Live,    ///< It answers here, or it is listed and was not found silent.
  Suspect, ///< It does not answer here; others may reach it. No new work.
  Leaving, ///< It was told to leave, or says so. No new work.
  Gone,    ///< It is not listed any more and does not answer.
};

/// A host as the host list tells it.
struct ListedHost {
  HostId Host;
  /// Whether it is an agent; else an entry.
  bool IsAgent = false;
  DataCentreId DataCentre;
  RegionId Region;
  /// Where it takes peer links.
  Address Links;
  /// Where it takes HTTP.
  Address Http;
  /// The list says that it is leaving.
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
  /// The newest list has it.
  bool IsListed = true;
  /// A link to it is up.
  bool Linked = false;
  /// A link was up or was tried; before that, silence says nothing.
  bool Judged = false;
  /// It says itself that it leaves.
  bool SaysLeaving = false;
  /// An operator ordered it to leave.
  bool Drained = false;
  /// Another entry says that it reaches the host.
  Millis ReachedByOther{-1};
  /// When it was last seen: listed, linked or reached by another.
  Millis LastSeen;
  /// A link to it is wanted here.
  bool LinkWanted = false;
};

/// How membership is judged and linked.
struct MembershipSettings {
  HostId Self;
  DataCentreId DataCentre;
  /// Entries that link to each agent of their data centre.
  int64_t EntriesPerAgent = 3;
  /// Entries of each other data centre that an entry links to.
  int64_t RemoteLinks = 2;
  /// An unlisted host that does not answer is gone after this.
  Millis GoneAfter{10000};
  /// How long the word of another entry counts.
  Millis WordOfOther{5000};
};

/// The host list answered.
struct HostsListed {
  std::vector<ListedHost> Hosts;
};

/// A link to a host is up.
struct MemberUp {
  HostId Host;
};

/// A host does not answer, on a fresh connection either.
struct MemberDown {
  HostId Host;
};

/// A host says whether it is leaving.
struct MemberSays {
  HostId Host;
  bool Leaving = false;
};

/// Another entry says which hosts it reaches.
struct MemberWord {
  HostId From;
  std::vector<HostId> Reached;
};

/// The drain orders that stand in the log.
struct DrainsOrdered {
  std::vector<HostId> Hosts;
};

/// The deadline passed.
struct MembershipTick {};

/// What the controller handles.
using MembershipEvent =
    std::variant<HostsListed, MemberUp, MemberDown, MemberSays, MemberWord,
                 DrainsOrdered, MembershipTick>;

/// Open a link and keep it.
struct OpenLink {
  HostId Host;
  Address Where;
};

/// Close the link and open it no more.
struct CloseLink {
  HostId Host;
  Address Where;
};

/// A host's state changed; a new host comes from Gone.
struct MemberChanged {
  HostId Host;
  HostState Before = HostState::Live;
  HostState After = HostState::Live;
  /// Why, for the log.
  std::string Why;
};

/// The live entries of this data centre changed.
struct LocalEntriesChanged {
  std::vector<HostId> Entries;
};

/// What the controller asks for.
using MembershipAction =
    std::variant<OpenLink, CloseLink, MemberChanged, LocalEntriesChanged>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H
