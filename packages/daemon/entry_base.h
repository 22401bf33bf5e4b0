/// @file
/// An entry: its tasks and how their messages reach each other.

#ifndef CAMPHORNOTCH_DAEMON_ENTRY_BASE_H
#define CAMPHORNOTCH_DAEMON_ENTRY_BASE_H

#include "daemon/agent_services_base.h"
#include "daemon/call_task_base.h"
#include "daemon/config_task_base.h"
#include "daemon/http_front_base.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"
#include "daemon/owner_task_base.h"
#include "daemon/push_task_base.h"
#include "daemon/route_task_base.h"
#include "daemon/sample_task_base.h"
#include "daemon/work_links_base.h"

namespace camphornotch {

/// Owns the tasks of an entry.
class Entry {
public:
  /// @param Settings the settings, which must outlive the entry.
  explicit Entry(const EntrySettings &Settings);

  /// Opens the sockets and starts the tasks.
  /// @return the HTTP port, or why a socket cannot be had.
  Result<uint16_t> start();

  /// Runs until the process is told to stop and has finished its work.
  void run();

private:
  /// @return what the link task tells.
  LinkTaskEvents linkEvents();
  /// @return what the log task tells.
  LogTaskEvents logEvents();
  /// Takes a request that passed the filters.
  /// @param Exchange the request.
  void dispatch(const std::shared_ptr<CallerExchange> &Exchange);

  /// @name Requests by kind
  /// @{
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const CompletionRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const SubmitRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const PullRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const WeightsRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const ServiceRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const StatusRequest &Wanted);
  void serve(const std::shared_ptr<CallerExchange> &Exchange,
             const ExplainRequest &Wanted);
  /// @}

  /// Takes a message of a peer.
  /// @param Peer the sender.
  /// @param Message the message.
  void onPeer(const HostId &Peer, const wire::PeerMessage &Message);
  /// Takes an answer to work.
  /// @param Agent the sender.
  /// @param Event the answer.
  void onAnswer(const HostId &Agent, const WorkEvent &Event);
  /// A peer's link is up.
  /// @param Up the event.
  void onUp(const LinkUp &Up);
  /// A record stands in the log.
  /// @param Event the record.
  void onCommitted(const RecordCommitted &Event);
  /// The folded state changed.
  /// @param Changes what changed.
  void onChanged(const std::vector<FoldChange> &Changes);
  /// Hands the rules in force to routing, if they are new.
  void applyRules();
  /// @return why the process cannot serve; empty if it can.
  std::string whyNotReady();
  /// Brings gauges up to date.
  void updateGauges();
  /// Begins to stop.
  void beginStop();
  /// One part of the stop is done; the last one ends the process.
  void partStopped();
  /// Ends the process once no request is open.
  void endOnceIdle();

  /// The settings.
  const EntrySettings &Settings;
  /// This process's boot.
  BootId Boot;
  /// The loop.
  Loop Events;
  /// Calls to the platform.
  HttpClient Http;
  /// The process's metrics.
  Metrics Counters;
  /// The endpoints.
  EndpointTable Table;
  /// Numbers for work.
  WorkIdSource WorkIds;
  /// The log.
  LogTask Log;
  /// The links.
  LinkTask Links;
  /// Work at agents.
  WorkLinks Works;
  /// Requests that are answered whole.
  RouteTask Routes;
  /// Trainers' steps and samples.
  SampleTask Samples;
  /// Calls that may run at most once.
  CallTask Calls;
  /// Who owns which shard.
  OwnerTask Owners;
  /// What agents are told of the log.
  PushTask Pushes;
  /// What agents ask and report.
  AgentServices Agents;
  /// The configuration in force.
  ConfigTask Configs;
  /// HTTP towards callers.
  HttpFront Front;
  /// Offset of the rules that routing has.
  LogOffset RoutingRules = NoOffset;
  /// Whether the process is stopping.
  bool Stopping = false;
  /// Parts of the stop that are not done.
  int StopParts = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_ENTRY_BASE_H
