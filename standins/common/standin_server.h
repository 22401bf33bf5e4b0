/// @file
/// The HTTP side shared by the stand-ins, with the faults that all can have.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_STANDIN_SERVER_H
#define CAMPHORNOTCH_STANDINS_COMMON_STANDIN_SERVER_H

#include "net/http_server_base.h"
#include "net/loop_base.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace camphornotch::standin {

/// A request that waits for its answer.
using Exchange = std::shared_ptr<HttpExchange>;

/// What a stand-in does with requests and faults.
struct StandinHooks {
  /// Takes each request that is not for the control paths.
  HttpHandler Handle;
  /// @return the answer to GET /control/record.
  std::function<nlohmann::json(const HttpRequest &)> Record;
  /// Takes a fault of its own; returns whether it is known.
  std::function<bool(const nlohmann::json &)> Fault;
  /// Called when the stand-in crashes, before its connections are closed.
  std::function<void()> Crash;
};

/// Listens, answers the control paths and injects the common faults:
/// crash, silent, delay, outage and lose_answers.
class StandinServer {
public:
  /// Listens at once; ends the process if the port is taken.
  /// @param Events the loop to run on.
  /// @param Port the port on the loopback address.
  /// @param Given what the stand-in does.
  StandinServer(Loop &Events, uint16_t Port, StandinHooks Given);

  /// Answers, unless this answer is to be lost.
  /// @param Waiting the request.
  /// @param Status the status.
  /// @param Body the answer's body.
  void answer(const Exchange &Waiting, int Status, const nlohmann::json &Body);

  /// @return whether the next answer is to be lost; counts it as lost.
  bool loseNext();

  /// Closes all connections soon and refuses new ones for a time.
  /// @param Down how long.
  void crashSoon(Millis Down);

private:
  /// Opens the port.
  void listen();
  /// @param Waiting a request.
  void take(const Exchange &Waiting);
  /// @param Waiting a request for the control paths.
  void control(const Exchange &Waiting);
  /// @param Fault the fault asked for.
  /// @return whether it is known.
  bool inject(const nlohmann::json &Fault);
  /// Closes all connections and refuses new ones for a time.
  /// @param Down how long.
  void crash(Millis Down);
  /// Keeps a request without ever answering it.
  /// @param Waiting the request.
  void hold(const Exchange &Waiting);

  /// The loop.
  Loop &Events;
  /// The port.
  uint16_t Port;
  /// What the stand-in does.
  StandinHooks Hooks;
  /// The open port; nothing while crashed.
  std::unique_ptr<HttpServer> Server;
  /// Requests that are never answered.
  std::set<Exchange> Held;
  /// Until when new requests get no answer.
  Millis SilentUntil;
  /// Until when requests get 503.
  Millis OutageUntil;
  /// Until when requests are delayed.
  Millis DelayUntil;
  /// By how much.
  Millis Delay;
  /// Answers still to be lost.
  int64_t AnswersToLose = 0;
};

/// @param Loop ends on SIGTERM or SIGINT.
void endOnSignal(Loop &Loop);

/// Answers with JSON.
/// @param Waiting the request.
/// @param Status the status.
/// @param Body the body.
void answerJson(const Exchange &Waiting, int Status,
                const nlohmann::json &Body);

/// Lets the client see that its answer was cut off.
/// @param Waiting the request.
void cutAnswer(const Exchange &Waiting);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_STANDIN_SERVER_H
