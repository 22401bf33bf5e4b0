/// @file
/// Forwards requests to endpoints according to their plans, and returns the
/// answers.

#ifndef CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H

#include "core/gateway/forward_plan_base.h"
#include "gateway/crash_check_base.h"
#include "net/http_client_base.h"
#include "net/metrics_base.h"
#include "platform/engine_func.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphornotch {

/// Identifies one request in progress; 0: none.
using ForwardId = StrongId<struct ForwardTag, uint64_t>;

/// A request to forward.
struct ForwardJob {
  /// Input of its forward plan.
  ForwardParams Params;
  /// The request; the endpoint and the remaining time are filled in for each
  /// attempt.
  platform::EngineRequest Request;
};

/// An attempt whose connection broke while the endpoint had the request.
struct BrokenAttempt {
  EndpointLifetime Endpoint;
  Millis SentAt;
  Millis BrokenAt;
};

/// Callbacks of one request. The last call is exactly one of OnAnswer,
/// OnRefusal and OnStreamEnd.
struct ForwardCallbacks {
  /// An endpoint answered; also called with a failure status of its own.
  std::function<void(HttpResponse)> OnAnswer;
  /// The request ends without an answer of an endpoint.
  std::function<void(const EndRequest &)> OnRefusal;
  /// An endpoint answered with a status of 500 or more and the request may be
  /// retried. Optional.
  std::function<void(int Status)> OnServerError;
  /// The endpoint crashed, or may have, while it had the request: its
  /// connection closed before any answer or within a stream, or it broke off or
  /// spoiled another answer and was gone afterwards. May be called after the
  /// last call, and more than once. Optional.
  std::function<void(const BrokenAttempt &)> OnConnectionBroken;
  /// @return whether an attempt may be sent now; if not, the request waits
  ///   until it may or its deadline passes. Optional: always.
  std::function<bool()> MaySend;
  /// An attempt was sent to an endpoint. Optional.
  std::function<void(uint64_t Number, NetworkDistance)> OnAttemptSent;
  /// An attempt did not reach its endpoint, or was not run there. Optional.
  std::function<void(uint64_t Number)> OnAttemptNotRun;
  /// The request is sent to its first endpoint, by this forecast. Optional.
  std::function<void(const WorkForecast &)> OnForecast;
  /// The first events of a stream that began anew are about to be passed on.
  /// Optional.
  /// @param Software version of the endpoint's software.
  std::function<void(const std::string &Software)> OnStreamBegan;
  /// The head of a stream arrived.
  std::function<void(HttpResponse)> OnStreamStart;
  /// Complete events of a stream arrived.
  std::function<void(std::string_view)> OnStreamEvents;
  /// The stream ended; Complete is false if it was cut off.
  std::function<void(bool Complete)> OnStreamEnd;
};

/// Owns the requests in progress.
class ForwardTask {
public:
  ForwardTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
              Metrics &Counts);

  /// Starts to forward a request. Its last callback may run before this
  /// returns.
  ForwardId start(ForwardJob Job, ForwardCallbacks Callbacks);

  /// Aborts a request whose caller is gone; no callback runs any more.
  /// @param Id the request; ignored if it has ended.
  void cancel(ForwardId Id);

  /// Ends all requests, because the process ends: with a refusal that says
  /// whether they may have run, or as a stream that is cut off.
  void endAll();

  /// Call after each change of the pool of endpoints.
  void poolChanged() { this->Crashes.poolChanged(); }

  /// @return whether the request is in progress; it may end before start()
  ///   returns.
  bool isRunning(ForwardId Id) const { return this->Requests.contains(Id); }

  /// Stops reading the answer until resume(), for a slow caller.
  /// @param Id the request; ignored if it has ended.
  void pause(ForwardId Id);

  /// Continues reading after pause().
  /// @param Id the request; ignored if it has ended.
  void resume(ForwardId Id);

  /// @return the number of requests in progress.
  size_t running() const { return this->Requests.size(); }

private:
  /// One attempt to send the request to an endpoint.
  struct Attempt {
    EndpointId Endpoint;
    /// When the endpoint's lifetime began that it was sent to.
    int64_t StartedAtMs = 0;
    /// Version of the endpoint's software when it was sent.
    std::string Software;
    HttpCallId Call;
    Millis SentAt;
    /// Decoded head of the answer; status 0 before it arrives.
    platform::EngineAnswer Head;
    /// Whether its events are passed to the caller.
    bool Streams = false;
    /// The event that the caller had last when a resumed stream began, until
    /// its first event has been checked; 0: there is nothing to check.
    int64_t ResumesAfter = 0;
    /// Bytes of an incomplete event.
    std::string Buffer;

    EndpointLifetime lifetime() const {
      return EndpointLifetime{this->Endpoint, this->StartedAtMs};
    }
    /// @return what is reported of it if its connection breaks now.
    BrokenAttempt broken() const;
  };

  struct ActiveRequest {
    ActiveRequest(ForwardJob Job, ForwardCallbacks Callbacks);
    platform::EngineRequest Request;
    ForwardCallbacks Callbacks;
    ForwardPlan Plan;
    /// Attempts in progress, by number.
    std::map<uint64_t, Attempt> Attempts;
    /// Number of attempts so far.
    uint64_t AttemptCount = 0;
    /// The latest failure answer of an endpoint, passed on if no attempt
    /// succeeds.
    HttpResponse Failure;
    bool Streaming = false;
    /// Whether the caller has events of the stream.
    bool HasEvents = false;
    /// Runs advance() at the time that the plan asked for.
    TimerId PlanTimer;
  };

  /// Carries out the plan's steps until it waits or the request ends.
  void advance(ForwardId Id);
  void send(ForwardId Id, ActiveRequest &Active, const EndpointId &Endpoint);
  void onHead(ForwardId Id, uint64_t Number, const HttpResponse &Response);
  void onChunk(ForwardId Id, uint64_t Number, std::string_view Part);
  /// Checks the first event of a resumed stream once it is complete.
  /// @return false if it does not follow the last one that the caller has.
  static bool resumes(Attempt &Current);
  /// Notes that events of an attempt are about to be passed on.
  void noteEvents(ActiveRequest &Active, const Attempt &Current);
  void onFinished(ForwardId Id, uint64_t Number, HttpResponse Response);
  void onFailed(ForwardId Id, uint64_t Number, const HttpFailure &Failure);
  /// Reports an attempt that broke, if its endpoint turns out to have crashed.
  void checkForCrash(const ActiveRequest &Active, const BrokenAttempt &Broken);
  /// Aborts an attempt whose answer may not be passed on or may never end, then
  /// continues with the plan.
  /// @param Number an attempt that is in progress.
  /// @param Cause for the log.
  void abortAttempt(ForwardId Id, uint64_t Number, std::string_view Cause);
  /// Ends an attempt and continues with the plan.
  /// @param End the outcome for the plan.
  /// @param Work the outcome for the endpoint's statistics.
  /// @param Cause for the log.
  void endAttempt(ForwardId Id, uint64_t Number, AttemptOutcome End,
                  WorkOutcome Work, std::string_view Cause);
  /// Ends a request with the answer of an endpoint.
  void finish(ForwardId Id, uint64_t Number, HttpResponse Response);
  /// Ends a request that the plan gives up.
  void refuse(ForwardId Id, const EndRequest &End);
  /// Cancels a request's attempts and removes it.
  /// @return the request, for its last callback.
  std::unique_ptr<ActiveRequest> remove(ForwardId Id);
  ActiveRequest *find(ForwardId Id);

  Loop &Events;
  HttpClient &Http;
  EndpointPool &Pool;
  Metrics &Counts;
  CrashCheck Crashes;
  /// Requests in progress.
  std::map<ForwardId, std::unique_ptr<ActiveRequest>> Requests;
  /// The last id assigned.
  uint64_t LastId = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_FORWARD_TASK_BASE_H
