/// @file
/// Answers for operators: the status of an entry, and which rule decides.

#ifndef CAMPHORNOTCH_DAEMON_ADMIN_FUNC_H
#define CAMPHORNOTCH_DAEMON_ADMIN_FUNC_H

#include "core/filters/caller_request_type.h"
#include "core/fold/log_fold_base.h"
#include "core/routing/endpoint_table_base.h"
#include "core/routing/rollout_scheduler_base.h"
#include "daemon/link_task_base.h"

#include <map>
#include <string>

namespace camphornotch {

/// What the status is made of.
struct StatusView {
  /// This process.
  const CommonSettings &Settings;
  /// Its boot.
  BootId Boot;
  /// Why it cannot serve; empty if it can.
  std::string WhyNotReady;
  /// Whether the log answers.
  bool LogReachable = false;
  /// The folded state.
  const LogFold &Fold;
  /// The configuration in force.
  const AcceptedConfig &Config;
  /// The linked peers.
  const std::map<HostId, PeerView> &Peers;
  /// The endpoints.
  const EndpointTable &Table;
  /// The scheduler's counts.
  const RolloutCounts &Rollouts;
};

/// @param View what is known.
/// @return the status as JSON.
std::string renderStatus(const StatusView &View);

/// @param Rules the rules in force.
/// @param Wanted what is asked.
/// @return the rules that decide, as JSON.
std::string renderExplain(const RuleSet &Rules, const ExplainRequest &Wanted);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_ADMIN_FUNC_H
