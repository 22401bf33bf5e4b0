/// @file
/// Pushes versions and quarantine to the agents.

#ifndef CAMPHORNOTCH_DAEMON_PUSH_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_PUSH_TASK_BASE_H

#include "core/fold/fold_change_type.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"

#include <vector>

namespace camphornotch {

/// Tells agents what the log says, since they have no connection to it.
class PushTask {
public:
  /// @param Links carries the messages.
  /// @param Log holds the folded state.
  PushTask(LinkTask &Links, const LogTask &Log) : Links(Links), Log(Log) {}

  /// A peer's link is up: tells an agent all that it needs.
  /// @param Up the event.
  void linkUp(const LinkUp &Up);

  /// The folded state changed: tells all agents what concerns them.
  /// @param Changes what changed.
  void changed(const std::vector<FoldChange> &Changes);

private:
  /// @param Peer an agent.
  /// @param Model the model whose version is told.
  void sendVersion(const HostId &Peer, const std::string &Model);
  /// @param Peer an agent.
  void sendQuarantine(const HostId &Peer);
  /// Says how many engines swap and which place the agent's has.
  /// @param Peer an agent.
  /// @param Announce the announcement to complete.
  void addRank(const HostId &Peer, wire::WeightsAnnounce &Announce) const;
  /// @return the hosts of the linked agents.
  std::vector<HostId> agents() const;

  /// Carries the messages.
  LinkTask &Links;
  /// Holds the folded state.
  const LogTask &Log;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_PUSH_TASK_BASE_H
