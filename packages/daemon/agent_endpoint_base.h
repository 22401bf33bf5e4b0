/// @file
/// The agent's client of its endpoint: work, cancel, orders, probes.

#ifndef CAMPHORNOTCH_DAEMON_AGENT_ENDPOINT_BASE_H
#define CAMPHORNOTCH_DAEMON_AGENT_ENDPOINT_BASE_H

#include "core/agent/agent_type.h"
#include "core/agent/stream_func.h"
#include "net/http_client_base.h"
#include "net/loop_base.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <string>

namespace camphornotch {

/// Where the endpoint is and how long it may take.
struct EndpointConfig {
  /// Its address.
  HttpTarget Target;
  /// Whether it is a model engine.
  bool IsEngine = true;
  /// The engine's model.
  std::string Model;
  /// Time for an order.
  Millis OrderTimeout = seconds(30);
};

/// Turns actions of the agent controller into HTTP calls and their answers
/// into events.
class EndpointClient {
public:
  /// Takes each event; never called from within a member of this class.
  using Handler = std::function<void(AgentEvent)>;

  /// @param Events the loop to run on.
  /// @param Http sends the calls.
  /// @param Config where the endpoint is.
  /// @param Tell takes the events.
  EndpointClient(Loop &Events, HttpClient &Http, EndpointConfig Config,
                 Handler Tell);

  /// Sends work to the endpoint.
  /// @param Action the work.
  void start(const StartAtEndpoint &Action);
  /// Cancels work.
  /// @param Action which.
  void stop(const StopAtEndpoint &Action);
  /// Closes the connection of work without a further event.
  /// @param Action which.
  void abandon(const AbandonRun &Action);
  /// Cancels a stream of an earlier boot.
  /// @param Action which.
  void cancelStray(const CancelStray &Action);
  /// Asks whether the endpoint is there.
  /// @param Action the probe.
  void probe(const ProbeEndpoint &Action);
  /// Orders a weight swap.
  /// @param Action the order.
  void order(const SendOrder &Action);
  /// Asks for the version.
  /// @param Action the question.
  void ask(const AskVersion &Action);

private:
  /// Work at the endpoint.
  struct Attempt {
    /// The call.
    HttpCallId Call;
    /// The HTTP status; 0: the head has not arrived.
    int Status = 0;
    /// Cuts the stream into events.
    EventSplitter Splitter;
    /// The last finish reason.
    std::string FinishReason;
    /// Whether the mark after the last event arrived.
    bool Done = false;
  };

  /// Sends a completion.
  void startCompletion(const StartAtEndpoint &Action);
  /// Sends a call of a plain service.
  void startCall(const StartAtEndpoint &Action);
  /// Takes a part of a completion's answer.
  void onChunk(RunId Run, std::string_view Bytes);
  /// The connection brought the whole answer.
  /// @param Response with the body of an answer that is no stream.
  void onEnd(RunId Run, HttpResponse Response);
  /// The connection failed.
  void onFailure(RunId Run, const HttpFailure &Failure);
  /// Closes the connection of an attempt whose answer cannot be taken.
  void breakOff(RunId Run);
  /// Forgets an attempt and tells its end.
  void finish(RunId Run, AgentEvent Event);
  /// Closes an attempt's connection and tells that it stopped.
  void closeStopped(RunId Run);
  /// Tells an event in a later turn.
  void tellLater(AgentEvent Event);
  /// @param Method the method.
  /// @param Path path and query.
  /// @param Body the body.
  /// @return a call of the endpoint.
  [[nodiscard]] HttpCall makeCall(std::string Method, std::string Path,
                                  std::string Body) const;
  /// @param StreamId a request id at the engine.
  /// @return the call that cancels it.
  [[nodiscard]] HttpCall cancelCall(const std::string &StreamId) const;

  /// The loop.
  Loop &Events;
  /// Sends the calls.
  HttpClient &Http;
  /// Where the endpoint is.
  EndpointConfig Config;
  /// Takes the events.
  Handler Tell;
  /// Work at the endpoint.
  absl::flat_hash_map<RunId, Attempt> Attempts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_AGENT_ENDPOINT_BASE_H
