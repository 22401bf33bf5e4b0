/// @file
/// An entry: its tasks and how their messages reach each other.

#ifndef CAMPHORNOTCH_DAEMON_ENTRY_BASE_H
#define CAMPHORNOTCH_DAEMON_ENTRY_BASE_H

#include "daemon/agent_services_base.h"
#include "daemon/http_front_base.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"
#include "daemon/push_task_base.h"
#include "daemon/route_task_base.h"
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
  /// @param Event the answer.
  void onAnswer(const WorkEvent &Event);
  /// @return why the process cannot serve; empty if it can.
  std::string whyNotReady() const;
  /// Brings gauges up to date.
  void updateGauges();
  /// Begins to stop.
  void beginStop();

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
  /// What agents are told of the log.
  PushTask Pushes;
  /// What agents ask and report.
  AgentServices Agents;
  /// HTTP towards callers.
  HttpFront Front;
  /// Whether the process is stopping.
  bool Stopping = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_ENTRY_BASE_H
