/// @file
/// Sends requests to endpoints as their plans say, and brings the answers.

#ifndef CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H

#include "core/gateway/forward_plan_base.h"
#include "net/http_client_base.h"
#include "net/metrics_base.h"
#include "platform/engine_func.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphornotch {

/// Names one request under way; 0 names none.
using ForwardId = StrongId<struct ForwardTag, uint64_t>;

/// A request to forward.
struct ForwardJob {
  /// What it needs.
  ForwardParams Need;
  /// What is sent; endpoint and time left are filled in.
  platform::EngineRequest Request;
};

/// Where the answer of a request goes; the last call is one of Answer, Refuse
/// and StreamEnd, once.
struct ForwardSink {
  /// The whole answer of an endpoint; also one of its own failures.
  std::function<void(HttpResponse)> Answer;
  /// The request ends without an endpoint's answer.
  std::function<void(const EndRequest &)> Refuse;
  /// An endpoint failed the request itself, with a status of 500 or more, and
  /// it may be sent again; may be left empty.
  std::function<void(int Status)> Errored;
  /// The connection broke while an endpoint had the request and had answered
  /// nothing; may be left empty.
  std::function<void(const EndpointId &)> Broken;
  /// The head of a stream.
  std::function<void(HttpResponse)> StreamStart;
  /// Whole events of a stream.
  std::function<void(std::string_view)> StreamPart;
  /// The end of a stream, whole or broken off.
  std::function<void(bool Whole)> StreamEnd;
};

/// Owns the requests under way.
class ForwardTask {
public:
  /// @param Events the loop.
  /// @param Http sends the requests.
  /// @param Pool the endpoints.
  /// @param Counts counts refusals and retries.
  ForwardTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
              Metrics &Counts);

  /// @param Job the request.
  /// @param Sink where its answer goes.
  /// @return its name, for cancel().
  ForwardId start(ForwardJob Job, ForwardSink Sink);

  /// Ends a request whose caller is gone; nothing more is told.
  /// @param Id the request; one that has ended is ignored.
  void cancel(ForwardId Id);

  /// @param Id a request.
  /// @return whether it is under way; one can end before start() returns.
  bool isRunning(ForwardId Id) const { return this->Jobs.contains(Id); }

  /// Reads no more of a request's answers until resume(): its caller is slow.
  /// @param Id the request; one that has ended is ignored.
  void pause(ForwardId Id);

  /// Reads on after pause().
  /// @param Id the request; one that has ended is ignored.
  void resume(ForwardId Id);

  /// @return requests under way.
  size_t running() const { return this->Jobs.size(); }

private:
  /// One attempt at an endpoint.
  struct Attempt {
    /// The endpoint.
    EndpointId Endpoint;
    /// The call.
    HttpCallId Call;
    /// When it was sent.
    Millis SentAt;
    /// What its head says.
    platform::EngineAnswer Head;
    /// Whether its events go to the caller.
    bool Streams = false;
    /// Bytes of an event that is not whole, or of a failure's body.
    std::string Rest;
  };

  /// One request.
  struct Running {
    /// @param Job the request.
    /// @param Sink where its answer goes.
    Running(ForwardJob Job, ForwardSink Sink);
    /// What is sent.
    platform::EngineRequest Request;
    /// Where the answer goes.
    ForwardSink Sink;
    /// Its plan.
    ForwardPlan Plan;
    /// Attempts under way, by number.
    std::map<uint64_t, Attempt> Attempts;
    /// Attempts so far.
    uint64_t Sent = 0;
    /// An endpoint's own failure, if that is all there is.
    HttpResponse Failure;
    /// Whether the head of a stream was passed on.
    bool Streaming = false;
    /// Asks the plan again.
    TimerId Wake;
  };

  /// Does what the plan says until it waits.
  /// @param Id the request.
  void advance(ForwardId Id);
  /// @param Id the request.
  /// @param Each the request.
  /// @param Endpoint where to send it.
  void send(ForwardId Id, Running &Each, const EndpointId &Endpoint);
  /// @param Id the request.
  /// @param Number the attempt.
  /// @param Response the head of its answer.
  void onHead(ForwardId Id, uint64_t Number, const HttpResponse &Response);
  /// @param Id the request.
  /// @param Number the attempt.
  /// @param Part a part of its body.
  void onChunk(ForwardId Id, uint64_t Number, std::string_view Part);
  /// @param Id the request.
  /// @param Number the attempt.
  /// @param Response its whole answer.
  void onFinished(ForwardId Id, uint64_t Number, HttpResponse Response);
  /// @param Id the request.
  /// @param Number the attempt.
  /// @param Failure how it failed.
  void onFailed(ForwardId Id, uint64_t Number, const HttpFailure &Failure);
  /// Ends an attempt whose answer may not be passed on, and which may have no
  /// end; asks the plan.
  /// @param Id the request.
  /// @param Number the attempt, which is under way.
  /// @param Cause why, for the log.
  void cut(ForwardId Id, uint64_t Number, std::string_view Cause);
  /// Ends an attempt and asks the plan.
  /// @param Id the request.
  /// @param Number the attempt.
  /// @param End how it ended for the plan.
  /// @param Work how it ended for the endpoint.
  /// @param Cause why, for the log.
  void endAttempt(ForwardId Id, uint64_t Number, AttemptOutcome End,
                  WorkOutcome Work, std::string_view Cause);
  /// Ends a request with an endpoint's answer.
  /// @param Id the request.
  /// @param Number the attempt that brought it.
  /// @param Response the answer.
  void finish(ForwardId Id, uint64_t Number, HttpResponse Response);
  /// Ends a request as its plan says.
  /// @param Id the request.
  /// @param End how.
  void refuse(ForwardId Id, const EndRequest &End);
  /// Cancels the attempts of a request and forgets it.
  /// @param Id the request.
  /// @return the request, for its last call.
  std::unique_ptr<Running> take(ForwardId Id);
  /// @param Id a request.
  /// @return it, or null.
  Running *find(ForwardId Id);

  /// The loop.
  Loop &Events;
  /// Sends the requests.
  HttpClient &Http;
  /// The endpoints.
  EndpointPool &Pool;
  /// Counts refusals and retries.
  Metrics &Counts;
  /// Requests under way.
  std::map<ForwardId, std::unique_ptr<Running>> Jobs;
  /// The last name given out.
  uint64_t LastId = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H
