/// @file
/// HTTP side of one model engine.

#ifndef CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_SERVER_H
#define CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_SERVER_H

#include "net/http_client_base.h"
#include "standins/common/standin_server.h"
#include "standins/engine/engine_state.h"

#include <map>
#include <string>

namespace camphornotch::standin {

/// One engine behind one port.
class EngineServer {
public:
  /// @param Events the loop to run on.
  /// @param Http fetches weights.
  /// @param Port the port.
  /// @param Settings the engine's settings.
  EngineServer(Loop &Events, HttpClient &Http, uint16_t Port,
               const EngineSettings &Settings);
  EngineServer(const EngineServer &) = delete;
  EngineServer &operator=(const EngineServer &) = delete;

private:
  /// A completion whose answer is not whole yet.
  struct Answering {
    /// The request.
    Exchange Waiting;
    /// The request's identifier.
    std::string RequestId;
    /// Whether the answer is streamed.
    bool Stream = false;
    /// Whether it has the form of a chat.
    bool Chat = false;
    /// Output so far, if it is not streamed.
    std::string Text;
    /// Tokens so far.
    int64_t Tokens = 0;
    /// Index of the first token made here.
    int64_t FirstToken = 0;
    /// Versions so far.
    std::vector<TokenSegment> Segments;
  };

  /// An order to load weights.
  struct SwapOrder {
    /// The request.
    Exchange Waiting;
    /// The version to load.
    int64_t Version = 0;
    /// Whether it is to fail.
    bool Fails = false;
  };

  /// @param Waiting a request.
  void handle(const Exchange &Waiting);
  /// @param Waiting a completion.
  /// @param Chat whether it has the form of a chat.
  void complete(const Exchange &Waiting, bool Chat);
  /// Breaks every answer off, as a crash does.
  void cutAll();
  /// @param Waiting an order.
  void order(const Exchange &Waiting);
  /// Fetches the weights, if they have a location, then swaps.
  /// @param Order the order.
  /// @param Location where the weights are.
  void fetchWeights(const SwapOrder &Order, const std::string &Location);
  /// Swaps and answers.
  /// @param Order the order.
  void swap(const SwapOrder &Order);
  /// @param Waiting a request to cancel.
  void cancel(const Exchange &Waiting);
  /// Passes new output on.
  /// @param Part the output.
  void deliver(const RunPart &Part);
  /// Sends a part of a streamed answer.
  /// @param Run the answer.
  /// @param Part the output.
  static void streamPart(Answering &Run, const RunPart &Part);
  /// Sends a whole answer.
  /// @param Run the answer.
  /// @param Part its last output.
  static void answerWhole(const Answering &Run, const RunPart &Part);
  /// Generates and plans the next time to do so.
  void tick();
  /// @return the record of all runs.
  /// @param Request may name the first run wanted.
  nlohmann::json record(const HttpRequest &Request);
  /// @param Fault a fault of the engine.
  /// @return whether it is known.
  bool fault(const nlohmann::json &Fault);

  /// The loop.
  Loop &Events;
  /// Fetches weights.
  HttpClient &Http;
  /// The engine.
  EngineState State;
  /// Answers that are not whole, by run.
  std::map<int64_t, Answering> Open;
  /// The highest fencing number seen.
  int64_t Fence = 0;
  /// Swaps still to fail.
  int64_t SwapsToFail = 0;
  /// Answers to swaps still to be lost.
  int64_t SwapAnswersToLose = 0;
  /// A prompt with this text crashes the engine; empty: none does.
  std::string Poison;
  /// Downtime after a poison prompt.
  int64_t PoisonDownMs = 0;
  /// Number of crashes.
  int64_t Crashes = 0;
  /// Orders seen: version and fence of each.
  nlohmann::json Orders = nlohmann::json::array();
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_ENGINE_ENGINE_SERVER_H
