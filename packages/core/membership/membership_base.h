/// @file
/// Combines the host list, which lags, with the state of links.

#ifndef CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H
#define CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H

#include "core/membership/membership_type.h"

#include <set>
#include <string_view>

namespace camphornotch {

/// Tracks every host, its state, and which links are wanted.
///
/// The host list may be out of date, and a link may stop delivering without
/// being closed, so neither is sufficient alone: a host is removed only when it
/// is no longer listed and answers neither this entry nor another. A host that
/// is listed but does not answer this entry is suspect for as long as it is
/// listed. Hosts that leave get no new work from that moment.
class MembershipController {
public:
  explicit MembershipController(MembershipSettings Settings);

  /// @return the actions to take, in order.
  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       Millis Now);

  /// @return when handle(MembershipTick{}, Now) is due.
  Millis nextDeadline() const { return this->Deadline; }

  /// @return all known hosts.
  const std::map<HostId, MemberState> &members() const { return this->Members; }

  /// @return the host's state; Gone if it is unknown.
  HostState stateOf(const HostId &Host) const;

  /// @return whether another entry reported within PeerReportMaxAge that it
  ///         reaches the host.
  bool reachedByOther(const HostId &Host, Millis Now) const;

  /// @return the hosts with a link to this entry, for the report to other
  ///         entries.
  std::vector<HostId> reached() const;

  /// @return the live entries of this data centre, including this one.
  std::vector<HostId> localEntries() const;

private:
  using Actions = std::vector<MembershipAction>;

  void on(const HostsListed &Event, Millis Now, Actions &Out);
  void on(const MemberUp &Event, Millis Now, Actions &Out);
  void on(const MemberDown &Event, Millis Now, Actions &Out);
  void on(const LeavingReported &Event, Millis Now, Actions &Out);
  void on(const ReachabilityReported &Event, Millis Now, Actions &Out);
  void on(const DrainsOrdered &Event, Millis Now, Actions &Out);
  void on(const MembershipTick &Event, Millis Now, Actions &Out);

  /// Updates the state of every host and removes those that are gone.
  void updateStates(Millis Now, Actions &Out);
  void updateState(MemberState &Member, Millis Now, Actions &Out);
  /// Applies the host list's data on one host.
  void applyListed(const ListedHost &Listed, Millis Now, Actions &Out);
  /// @return the state that follows from the known facts.
  HostState computeState(const MemberState &Member, Millis Now) const;
  /// Opens and closes links as wanted.
  void relink(Actions &Out);

  MembershipSettings Settings;
  std::map<HostId, MemberState> Members;
  /// Hosts that an operator ordered to leave.
  std::set<HostId> Drains;
  /// Hosts were added, removed or moved since the links were last computed.
  bool LinksStale = true;
  /// As in the last LocalEntriesChanged.
  std::vector<HostId> LastLocalEntries;
  /// When the next update of states is due.
  Millis Deadline = Never;
};

/// @return the name of the state in the status.
std::string_view hostStateName(HostState State);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H
