/// @file
/// Joins the lagging host list with what links say.

#ifndef CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H
#define CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H

#include "core/membership/membership_type.h"

#include <set>
#include <string_view>

namespace camphornotch {

/// Knows every host, its state, and which links are wanted.
///
/// The list lags and links can go silent, so neither decides alone: a host is
/// gone only when the list has dropped it and it answers neither here nor to
/// another entry. A host that is listed but silent here is suspect for as
/// long as it is listed. Hosts that leave get no new work at once.
class MembershipController {
public:
  /// @param Settings this process, times and numbers.
  explicit MembershipController(MembershipSettings Settings);

  /// @param Event what happened.
  /// @param Now the time.
  /// @return what to do, in order.
  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       Millis Now);

  /// @return when handle(MembershipTick{}, Now) is due.
  Millis nextDeadline() const { return this->Deadline; }

  /// @return every host that is known, by name.
  const std::map<HostId, MemberState> &members() const { return this->Members; }

  /// @param Host a host.
  /// @return its state; Gone if it is not known.
  HostState stateOf(const HostId &Host) const;

  /// Whether a host that is suspect here can be reached through another entry.
  /// @param Host a host.
  /// @param Now the time.
  /// @return whether an entry said lately that it reaches the host.
  bool reachedByOther(const HostId &Host, Millis Now) const;

  /// @return the hosts that are linked here: the word for other entries.
  std::vector<HostId> reached() const;

  /// @return the live entries of this data centre, with this one.
  std::vector<HostId> localEntries() const;

private:
  /// The list that actions are put into.
  using Actions = std::vector<MembershipAction>;

  void on(const HostsListed &Event, Millis Now, Actions &Out);
  void on(const MemberUp &Event, Millis Now, Actions &Out);
  void on(const MemberDown &Event, Millis Now, Actions &Out);
  void on(const MemberSays &Event, Millis Now, Actions &Out);
  void on(const MemberWord &Event, Millis Now, Actions &Out);
  void on(const DrainsOrdered &Event, Millis Now, Actions &Out);
  void on(const MembershipTick &Event, Millis Now, Actions &Out);

  /// Judges every host again and forgets those that are gone.
  void judgeAll(Millis Now, Actions &Out);
  /// Judges one host again.
  void judgeOne(MemberState &Member, Millis Now, Actions &Out);
  /// Takes what the list says of one host.
  void takeListed(const ListedHost &Listed, Millis Now, Actions &Out);
  /// @param Member a host.
  /// @param Now the time.
  /// @return its state by what is known.
  HostState judge(const MemberState &Member, Millis Now) const;
  /// Opens and closes links as wanted.
  void relink(Actions &Out);

  /// This process, times and numbers.
  MembershipSettings Settings;
  /// Every host known.
  std::map<HostId, MemberState> Members;
  /// Hosts that an operator ordered to leave.
  std::set<HostId> Drains;
  /// Hosts came, went or moved since links were wanted last.
  bool LinksStale = true;
  /// The live local entries told last.
  std::vector<HostId> ToldEntries;
  /// When the next judgement is due.
  Millis Deadline = Never;
};

/// @param State a state.
/// @return its name in the status.
std::string_view hostStateName(HostState State);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_MEMBERSHIP_MEMBERSHIP_BASE_H
