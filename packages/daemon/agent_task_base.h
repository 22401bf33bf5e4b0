/// @file
/// The agent's task: links, the endpoint's client and HTTP around the
/// controller.

#ifndef CAMPHORNOTCH_DAEMON_AGENT_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_AGENT_TASK_BASE_H

#include "base/settings_type.h"
#include "core/agent/agent_base.h"
#include "core/agent/pause_base.h"
#include "daemon/agent_endpoint_base.h"
#include "net/http_client_base.h"
#include "net/http_server_base.h"
#include "net/link_hub_base.h"
#include "net/loop_base.h"
#include "net/metrics_base.h"

#include <memory>
#include <string>

namespace camphornotch {

/// Owns all sockets of an agent and its controller.
class AgentTask {
public:
  /// @param Events the loop to run on.
  /// @param Settings the settings.
  /// @param Boot this run of the agent.
  AgentTask(Loop &Events, const AgentSettings &Settings, BootId Boot);

  /// Opens the listening sockets; the link port is bound exclusively, so that
  /// a second agent of the endpoint cannot start on the host.
  /// @return nothing, or why an address cannot be had.
  Result<void> listen();

  /// Starts to work.
  void begin();

private:
  /// Hands an event to the controller and carries the actions out.
  void handle(const AgentEvent &Event);
  /// Takes an event of the links.
  void onLink(LinkEvent Event);
  /// Takes an HTTP request.
  void onHttp(const std::shared_ptr<HttpExchange> &Exchange);
  /// Looks for a pause of the process.
  void watchClock();
  /// Looks for a pause at each interval, also when nothing happens.
  void watchClockAgain();
  /// Writes a line if another configuration is in force.
  void noteConfig();
  /// Plans the controller's next tick.
  void planTick();
  /// Fills a heartbeat.
  void fillHeartbeat(wire::Heartbeat &Beat) const;
  /// @return the agent's words in each Hello.
  [[nodiscard]] wire::Hello hello() const;
  /// @return the state as JSON.
  [[nodiscard]] std::string status() const;
  /// Brings the gauges up to date.
  void updateGauges();

  /// @name Actions of the controller, carried out.
  /// @{
  void carry(const TellPeer &Action);
  void carry(const BeatAll &Action);
  void carry(const StartAtEndpoint &Action);
  void carry(const StopAtEndpoint &Action);
  void carry(const AbandonRun &Action);
  void carry(const CancelStray &Action);
  void carry(const ProbeEndpoint &Action);
  void carry(const SendOrder &Action);
  void carry(const AskVersion &Action);
  void carry(const BootCommitted &Action);
  void carry(const CountRefusal &Action);
  void carry(const CountRetry &Action);
  void carry(const ExitAgent &Action);
  /// @}

  /// The loop.
  Loop &Events;
  /// The settings.
  AgentSettings Settings;
  /// This run of the agent.
  BootId Boot;
  /// The fencing number; 0: none yet.
  int64_t Fence = 0;
  /// All decisions.
  AgentController Controller;
  /// The offset of the configuration that was noted last.
  LogOffset NotedConfig{NoOffset};
  /// Sends calls.
  HttpClient Http;
  /// The endpoint's client.
  EndpointClient Endpoint;
  /// The links.
  LinkHub Links;
  /// Counters.
  Metrics Counters;
  /// Finds pauses of the process.
  PauseWatch Pauses;
  /// Probes and metrics.
  std::unique_ptr<HttpServer> Server;
  /// Holds the guard port.
  std::unique_ptr<HttpServer> Guard;
  /// The planned tick.
  TimerId Tick;
  /// When the planned tick is due.
  Millis TickAt = Never;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_AGENT_TASK_BASE_H
