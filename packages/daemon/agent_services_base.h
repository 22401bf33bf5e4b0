/// @file
/// What an entry does for agents besides sending them work.

#ifndef CAMPHORNOTCH_DAEMON_AGENT_SERVICES_BASE_H
#define CAMPHORNOTCH_DAEMON_AGENT_SERVICES_BASE_H

#include "core/agent/crash_base.h"
#include "core/fold/fold_change_type.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"

#include <set>
#include <vector>

namespace camphornotch {

/// Collects crash reports and quarantines what they prove, answers for the
/// standing of boots, and tells agents whose hosts leave.
class AgentServices {
public:
  /// @param Links carries the messages.
  /// @param Log holds the folded state and takes records.
  AgentServices(LinkTask &Links, LogTask &Log);

  /// An agent's link is up: tells it whether its host leaves, and suspects.
  /// @param Up the event.
  void linkUp(const LinkUp &Up);

  /// The folded state changed.
  /// @param Changes what changed.
  void changed(const std::vector<FoldChange> &Changes);

  /// A new host list arrived.
  void listed();

  /// @param Peer an agent.
  /// @param Message its message.
  /// @return whether it was for this object.
  bool take(const HostId &Peer, const wire::PeerMessage &Message);

private:
  /// Counts a crash and quarantines what is proven.
  void onCrash(const wire::CrashReport &Report);
  /// Answers for the standing of a boot, if the state is known.
  void onQuery(const HostId &Peer, const wire::StandingQuery &Query);
  /// Puts a digest into quarantine, through the log.
  void quarantine(int64_t Digest, const wire::CrashReport &Report);
  /// Takes over how many crashes make a suspect.
  void followRules();
  /// Sends quarantined and suspect digests to an agent.
  void sendSuspects(const HostId &Peer);
  /// Tells an agent whether its host leaves.
  void sendLeave(const HostId &Peer, bool Leave, bool ByHostList);
  /// @param Host a host.
  /// @return whether the host list says that it leaves.
  [[nodiscard]] bool isListedLeaving(const HostId &Host) const;

  /// Carries the messages.
  LinkTask &Links;
  /// Holds the folded state and takes records.
  LogTask &Log;
  /// Evidence of crashes of all endpoints.
  CrashAttribution Crashes;
  /// Agents told that the host list says that they leave.
  std::set<HostId> ToldLeaving;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_AGENT_SERVICES_BASE_H
