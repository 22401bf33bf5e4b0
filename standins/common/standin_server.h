/// @file
/// HTTP server shared by the stand-ins, with the faults common to all.

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

/// Callbacks of a stand-in for requests and faults.
struct StandinHooks {
  /// Handles each request outside the control paths.
  HttpHandler Handle;
  /// @return the answer to GET /control/record.
  std::function<nlohmann::json(const HttpRequest &)> Record;
  /// Injects a fault that only this stand-in has; returns whether its kind is
  /// known.
  std::function<bool(const nlohmann::json &)> Fault;
  /// Called when the stand-in crashes, before its connections are closed.
  std::function<void()> Crash;
};

/// Listens, answers the control paths and injects the common faults:
/// crash, silent, delay, outage and lose_answers.
class StandinServer {
public:
  /// Opens the port; exits the process if it is taken.
  /// @param Port the port on the loopback address.
  StandinServer(Loop &Events, uint16_t Port, StandinHooks InitialHooks);

  /// Answers, or cuts the answer off if the fault lose_answers applies.
  void answer(const Exchange &Waiting, int Status, const nlohmann::json &Body);

  /// @return whether the fault lose_answers applies to the next answer; if so,
  /// it counts as used.
  bool loseNext();

  /// Crashes after a short delay: closes all connections and refuses new ones
  /// for Downtime.
  void crashSoon(Millis Downtime);

private:
  void listen();
  void onRequest(const Exchange &Waiting);
  /// Handles a request to the control paths.
  void control(const Exchange &Waiting);
  /// Injects a fault.
  /// @return whether its kind is known.
  bool inject(const nlohmann::json &Fault);
  /// Closes all connections and refuses new ones for Downtime.
  void crash(Millis Downtime);
  /// Holds a request unanswered until its connection is closed.
  void holdUnanswered(const Exchange &Waiting);

  Loop &Events;
  uint16_t Port;
  StandinHooks Hooks;
  /// Null while crashed.
  std::unique_ptr<HttpServer> Server;
  /// Requests held unanswered.
  std::set<Exchange> Held;
  /// New requests before this time are never answered.
  Millis SilentUntil;
  /// Requests before this time get 503.
  Millis OutageUntil;
  /// Requests before this time are handled after Delay.
  Millis DelayUntil;
  Millis Delay;
  /// Number of further answers that are lost.
  int64_t AnswersToLose = 0;
};

/// Stops the loop on SIGTERM or SIGINT.
void endOnSignal(Loop &Loop);

/// Answers with JSON.
void answerJson(const Exchange &Waiting, int Status,
                const nlohmann::json &Body);

/// Aborts the answer so that the client sees it as cut off.
void cutAnswer(const Exchange &Waiting);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_STANDIN_SERVER_H
