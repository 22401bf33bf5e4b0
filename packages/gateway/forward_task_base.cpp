/// @file
/// Forwards requests to endpoints according to their plans, and returns the
/// answers.

#include "gateway/forward_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/answer_fault_func.h"
#include "gateway/event_stream_base.h"
#include "gateway/leaving_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Timeout for connecting to an endpoint; the slowest link takes 24 ms.
constexpr Millis ConnectTimeout{300};
/// After this time without an answer, the other idle connections to the
/// endpoint are closed, since they may be dead, too. Several times the longest
/// request of the sites.
constexpr Millis SilentAfter{800};
/// Pause before MaySend is asked again.
constexpr Millis MaySendInterval{50};

/// @return the reason that the metrics count the refusal under.
RefusalReason reasonOf(const EndRequest &End) {
  if (End.Reason == "deadline" || End.Reason == ForecastReason)
    return RefusalReason::DeadlineTooShort;
  if (End.Reason == "endpoints_full")
    return RefusalReason::QueueFull;
  if (End.Reason == "stopping")
    return RefusalReason::Leaving;
  if (End.Reason == "no_endpoint")
    return RefusalReason::NoEndpoint;
  return RefusalReason::EndpointFailed;
}

} // namespace

ForwardTask::ActiveRequest::ActiveRequest(ForwardJob Job,
                                          ForwardCallbacks Callbacks)
    : Request(std::move(Job.Request)), Callbacks(std::move(Callbacks)),
      Plan(std::move(Job.Params)) {}

ForwardTask::ForwardTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
                         Metrics &Counts)
    : Events(Events), Http(Http), Pool(Pool), Counts(Counts),
      Crashes(Events, Pool) {}

BrokenAttempt ForwardTask::Attempt::broken() const {
  return BrokenAttempt{this->lifetime(), this->SentAt, steadyNow()};
}

ForwardId ForwardTask::start(ForwardJob Job, ForwardCallbacks Callbacks) {
  const ForwardId Id{++this->LastId};
  this->Requests.emplace(Id, std::make_unique<ActiveRequest>(
                                 std::move(Job), std::move(Callbacks)));
  this->advance(Id);
  return Id;
}

ForwardTask::ActiveRequest *ForwardTask::find(ForwardId Id) {
  const auto Found = this->Requests.find(Id);
  return Found == this->Requests.end() ? nullptr : Found->second.get();
}

void ForwardTask::advance(ForwardId Id) {
  for (;;) {
    ActiveRequest *Active = this->find(Id);
    if (Active == nullptr)
      return;
    const Millis Now = steadyNow();
    const ForwardStep Step = Active->Plan.next(this->Pool, Now);
    if (const auto *Send = std::get_if<SendAttempt>(&Step)) {
      if (Active->Callbacks.MaySend && !Active->Callbacks.MaySend()) {
        this->Events.cancel(Active->PlanTimer);
        Active->PlanTimer = this->Events.callAfter(
            MaySendInterval, [this, Id] { this->advance(Id); });
        return;
      }
      if (Active->AttemptCount == 0 && Send->Forecast.has_value() &&
          Active->Callbacks.OnForecast)
        Active->Callbacks.OnForecast(*Send->Forecast);
      this->send(Id, *Active, Send->Endpoint);
      continue;
    }
    if (const auto *Wait = std::get_if<AwaitAttempt>(&Step)) {
      this->Events.cancel(Active->PlanTimer);
      Active->PlanTimer = this->Events.callAt(
          Wait->RecheckAt, [this, Id] { this->advance(Id); });
      return;
    }
    if (const auto *End = std::get_if<EndRequest>(&Step)) {
      this->refuse(Id, *End);
      return;
    }
    const std::unique_ptr<ActiveRequest> Removed = this->remove(Id);
    if (Removed->Streaming)
      Removed->Callbacks.OnStreamEnd(false);
    else
      Removed->Callbacks.OnAnswer(std::move(Removed->Failure));
    return;
  }
}

void ForwardTask::send(ForwardId Id, ActiveRequest &Active,
                       const EndpointId &Endpoint) {
  const Millis Now = steadyNow();
  const EndpointState *State = this->Pool.find(Endpoint);
  platform::EngineRequest Request = Active.Request;
  Request.ListenAddress = State->Record.ListenAddress;
  Request.Instance = Endpoint;
  Request.TimeLeft = Active.Plan.deadline() - Now;
  if (Active.AttemptCount > 0)
    this->Counts.countRetry(Active.Attempts.empty()
                                ? RetryReason::EndpointFailed
                                : RetryReason::Hedge);
  HttpCall Call = platform::encodeEngineRequest(Request);
  Call.ConnectTimeout = ConnectTimeout;
  const uint64_t Number = ++Active.AttemptCount;
  HttpCallbacks Callbacks;
  Callbacks.Head = [this, Id, Number](const HttpResponse &Head) {
    this->onHead(Id, Number, Head);
  };
  if (Active.Plan.params().MatchedRoute.Kind == RouteKind::Stream)
    Callbacks.Chunk = [this, Id, Number](std::string_view Part) {
      this->onChunk(Id, Number, Part);
    };
  Callbacks.Finished = [this, Id, Number](HttpResponse Response) {
    this->onFinished(Id, Number, std::move(Response));
  };
  Callbacks.Failed = [this, Id, Number](const HttpFailure &Failure) {
    this->onFailed(Id, Number, Failure);
  };
  Active.Plan.attemptStarted(Endpoint, Now);
  this->Pool.workStarted(Endpoint);
  Attempt Current;
  Current.Endpoint = Endpoint;
  Current.StartedAtMs = State->Record.StartedAtMs;
  Current.Software = State->Record.Software;
  Current.SentAt = Now;
  Current.Call = this->Http.start(std::move(Call), std::move(Callbacks));
  Active.Attempts.emplace(Number, std::move(Current));
  if (Active.Callbacks.OnAttemptSent)
    Active.Callbacks.OnAttemptSent(Number, State->Distance);
}

void ForwardTask::onHead(ForwardId Id, uint64_t Number,
                         const HttpResponse &Response) {
  ActiveRequest *Active = this->find(Id);
  if (Active == nullptr || !Active->Attempts.contains(Number))
    return;
  Attempt &Current = Active->Attempts.at(Number);
  Current.Head = platform::decodeEngineAnswer(Response);
  noteLeaving(Current.Head, Current.lifetime(), Active->Request.RequestId,
              this->Pool, this->Counts);
  const std::string_view Fault =
      executionFault(Current.Head, Active->Request, Response.Framed);
  if (!Fault.empty()) {
    this->abortAttempt(Id, Number, Fault);
    return;
  }
  if (Active->Plan.params().MatchedRoute.Kind != RouteKind::Stream)
    return;
  if (Response.Status >= StatusFirstFailure || Current.Head.NotRun) {
    this->Http.collect(Current.Call);
    return;
  }
  Current.Streams = true;
  if (Active->Streaming) {
    Current.ResumesAfter = Active->Request.ReceivedEvents;
    return;
  }
  Active->Streaming = true;
  HttpResponse Head;
  Head.Status = Response.Status;
  Head.ContentType = Response.ContentType;
  Head.Headers = platform::forwardedAnswerHeaders(Response);
  Active->Callbacks.OnStreamStart(std::move(Head));
}

bool ForwardTask::resumes(Attempt &Current) {
  const size_t End = Current.Buffer.find(EventEnd);
  if (End == std::string::npos)
    return true;
  const Result<platform::EngineEvent> First = platform::decodeEngineEvent(
      std::string_view(Current.Buffer).substr(0, End));
  const int64_t Expected = std::exchange(Current.ResumesAfter, 0) + 1;
  return First.has_value() && First.value().Id == Expected;
}

void ForwardTask::noteEvents(ActiveRequest &Active, const Attempt &Current) {
  if (std::exchange(Active.HasEvents, true))
    return;
  // The events of earlier tries decide where the caller went on with a stream.
  if (Active.Plan.params().Software.has_value())
    return;
  if (!this->Pool.keepsSoftware(Current.Endpoint, Current.Software)) {
    Active.Plan.streamBegan(std::nullopt);
    return;
  }
  Active.Plan.streamBegan(Current.Software);
  if (Active.Callbacks.OnStreamBegan)
    Active.Callbacks.OnStreamBegan(Current.Software);
}

void ForwardTask::onChunk(ForwardId Id, uint64_t Number,
                          std::string_view Part) {
  ActiveRequest *Active = this->find(Id);
  if (Active == nullptr || !Active->Attempts.contains(Number))
    return;
  Attempt &Current = Active->Attempts.at(Number);
  if (Active->Plan.params().Software.has_value() &&
      !this->Pool.keepsSoftware(Current.Endpoint, Current.Software)) {
    Active->Plan.streamBegan(std::nullopt);
    this->abortAttempt(Id, Number, "the endpoint's software has changed");
    return;
  }
  Current.Buffer += Part;
  if (Current.ResumesAfter > 0 && !this->resumes(Current)) {
    this->abortAttempt(Id, Number, "the stream does not go on where it ended");
    return;
  }
  const size_t LastEnd = Current.Buffer.rfind(EventEnd);
  if (LastEnd == std::string::npos) {
    if (Current.Buffer.size() > MaxEventBytes)
      this->abortAttempt(Id, Number, "an event is too long");
    return;
  }
  const std::string CompleteEvents =
      Current.Buffer.substr(0, LastEnd + EventEnd.size());
  Current.Buffer.erase(0, CompleteEvents.size());
  const size_t LastStart = CompleteEvents.rfind(EventEnd, LastEnd - 1);
  const Result<platform::EngineEvent> Last = platform::decodeEngineEvent(
      LastStart == std::string::npos || LastEnd == 0
          ? std::string_view(CompleteEvents)
          : std::string_view(CompleteEvents)
                .substr(LastStart + EventEnd.size()));
  if (Last.has_value() && Last.value().Id > 0)
    Active->Request.ReceivedEvents = Last.value().Id;
  this->noteEvents(*Active, Current);
  Active->Callbacks.OnStreamEvents(CompleteEvents);
}

void ForwardTask::onFinished(ForwardId Id, uint64_t Number,
                             HttpResponse Response) {
  ActiveRequest *Active = this->find(Id);
  if (Active == nullptr || !Active->Attempts.contains(Number))
    return;
  const Attempt &Current = Active->Attempts.at(Number);
  if (Current.Head.NotRun) {
    this->endAttempt(Id, Number, AttemptOutcome::Refused,
                     Current.Head.Misdirected ? WorkOutcome::Misdirected
                                              : WorkOutcome::Refused,
                     concat("status ", Response.Status));
    return;
  }
  if (Current.Streams) {
    if (Current.Buffer.empty()) {
      this->finish(Id, Number, std::move(Response));
      return;
    }
    this->endAttempt(Id, Number, AttemptOutcome::Failed,
                     WorkOutcome::ConnectionBroken,
                     "the stream ended within an event");
    return;
  }
  if (Active->Streaming) {
    // The caller has a part of the stream, which this answer does not continue.
    this->endAttempt(Id, Number, AttemptOutcome::Failed, WorkOutcome::Answered,
                     concat("status ", Response.Status,
                            " in place of the rest of the stream"));
    return;
  }
  const bool MayRetry = Response.Status >= StatusServerError &&
                        mayRepeat(Active->Plan.params().MatchedRoute);
  if (!MayRetry) {
    this->finish(Id, Number, std::move(Response));
    return;
  }
  const std::string Cause = concat("status ", Response.Status);
  Active->Failure.Status = Response.Status;
  Active->Failure.ContentType = Response.ContentType;
  Active->Failure.Headers = platform::forwardedAnswerHeaders(Response);
  Active->Failure.Body = std::move(Response.Body);
  if (Active->Callbacks.OnServerError)
    Active->Callbacks.OnServerError(Response.Status);
  this->endAttempt(Id, Number, AttemptOutcome::Errored, WorkOutcome::Answered,
                   Cause);
}

void ForwardTask::onFailed(ForwardId Id, uint64_t Number,
                           const HttpFailure &Failure) {
  const ActiveRequest *Active = this->find(Id);
  if (Active != nullptr && Active->Attempts.contains(Number) &&
      !Failure.NotSent) {
    const Attempt &Current = Active->Attempts.at(Number);
    const bool Closed = Failure.Cause.Kind == ErrorKind::Unavailable;
    // An endpoint that spoils its answers breaks off bodies, too: that alone
    // does not show that it crashed.
    if (Closed && (Current.Head.Status == 0 || Current.Streams)) {
      if (Active->Callbacks.OnConnectionBroken)
        Active->Callbacks.OnConnectionBroken(Current.broken());
    } else if (!Current.Head.NotRun) {
      this->checkForCrash(*Active, Current.broken());
    }
  }
  this->endAttempt(Id, Number,
                   Failure.NotSent ? AttemptOutcome::NotSent
                                   : AttemptOutcome::Failed,
                   WorkOutcome::ConnectionBroken, Failure.Cause.Message);
}

void ForwardTask::checkForCrash(const ActiveRequest &Active,
                                const BrokenAttempt &Broken) {
  if (Active.Callbacks.OnConnectionBroken)
    this->Crashes.begin(
        Broken.Endpoint,
        [Broken, OnCrashed = Active.Callbacks.OnConnectionBroken] {
          OnCrashed(Broken);
        });
}

void ForwardTask::abortAttempt(ForwardId Id, uint64_t Number,
                               std::string_view Cause) {
  const ActiveRequest &Active = *this->find(Id);
  const Attempt &Current = Active.Attempts.at(Number);
  this->Http.cancel(Current.Call);
  this->checkForCrash(Active, Current.broken());
  this->endAttempt(Id, Number, AttemptOutcome::Failed,
                   WorkOutcome::ConnectionBroken, Cause);
}

void ForwardTask::endAttempt(ForwardId Id, uint64_t Number, AttemptOutcome End,
                             WorkOutcome Work, std::string_view Cause) {
  ActiveRequest *Active = this->find(Id);
  if (Active == nullptr || !Active->Attempts.contains(Number))
    return;
  const Attempt Current = std::move(Active->Attempts.at(Number));
  Active->Attempts.erase(Number);
  const bool DidNotRun =
      End == AttemptOutcome::NotSent || End == AttemptOutcome::Refused;
  if (DidNotRun && Active->Callbacks.OnAttemptNotRun)
    Active->Callbacks.OnAttemptNotRun(Number);
  const Millis Now = steadyNow();
  this->Pool.workEnded(Current.Endpoint, Work, Millis{0}, Now);
  if (Active->HasEvents &&
      !this->Pool.keepsSoftware(Current.Endpoint, Current.Software))
    Active->Plan.streamBegan(std::nullopt);
  Active->Plan.attemptEnded(Current.Endpoint, End);
  logLine(LogLevel::Info, "attempt gave no final answer",
          {{"request_id", Active->Request.RequestId},
           {"endpoint", Current.Endpoint.Value},
           {"attempt", concat(Number)},
           {"took_ms", concat((Now - Current.SentAt).Count)},
           {"cause", Cause}});
  this->advance(Id);
}

void ForwardTask::finish(ForwardId Id, uint64_t Number, HttpResponse Response) {
  ActiveRequest *Active = this->find(Id);
  const Attempt Current = std::move(Active->Attempts.at(Number));
  Active->Attempts.erase(Number);
  const Millis Now = steadyNow();
  this->Pool.workEnded(Current.Endpoint, WorkOutcome::Answered,
                       Now - Current.SentAt, Now);
  const std::unique_ptr<ActiveRequest> Removed = this->remove(Id);
  if (Removed->Streaming) {
    Removed->Callbacks.OnStreamEnd(true);
    return;
  }
  HttpResponse Answer;
  Answer.Status = Response.Status;
  Answer.ContentType = Response.ContentType;
  Answer.Headers = platform::forwardedAnswerHeaders(Response);
  Answer.Body = std::move(Response.Body);
  Removed->Callbacks.OnAnswer(std::move(Answer));
}

void ForwardTask::refuse(ForwardId Id, const EndRequest &End) {
  this->Counts.countRefusal(reasonOf(End));
  const std::unique_ptr<ActiveRequest> Removed = this->remove(Id);
  if (Removed->Streaming)
    Removed->Callbacks.OnStreamEnd(false);
  else
    Removed->Callbacks.OnRefusal(End);
}

void ForwardTask::endAll() {
  while (!this->Requests.empty()) {
    const auto &[Id, Active] = *this->Requests.begin();
    const EndRequest End = Active->Plan.stop();
    logLine(LogLevel::Warn, "request ended by the stop of the gateway",
            {{"request_id", Active->Request.RequestId},
             {"attempts_open", concat(Active->Attempts.size())},
             {"status", concat(End.Status)}});
    this->refuse(Id, End);
  }
}

std::unique_ptr<ForwardTask::ActiveRequest> ForwardTask::remove(ForwardId Id) {
  auto Node = this->Requests.extract(Id);
  std::unique_ptr<ActiveRequest> Removed = std::move(Node.mapped());
  this->Events.cancel(Removed->PlanTimer);
  const Millis Now = steadyNow();
  for (const auto &[Number, Current] : Removed->Attempts) {
    this->Http.cancel(Current.Call);
    const EndpointState *Endpoint = this->Pool.find(Current.Endpoint);
    if (Endpoint != nullptr && Now - Current.SentAt > SilentAfter)
      this->Http.closeIdle(HttpTarget{Endpoint->Record.ListenAddress.Ip,
                                      Endpoint->Record.ListenAddress.Port});
    // An attempt that another endpoint overtook was slow, so its time counts.
    this->Pool.workEnded(Current.Endpoint, WorkOutcome::Abandoned,
                         Now - Current.SentAt, Now);
  }
  return Removed;
}

void ForwardTask::pause(ForwardId Id) {
  if (const ActiveRequest *Active = this->find(Id))
    for (const auto &[Number, Current] : Active->Attempts)
      this->Http.pause(Current.Call);
}

void ForwardTask::resume(ForwardId Id) {
  if (const ActiveRequest *Active = this->find(Id))
    for (const auto &[Number, Current] : Active->Attempts)
      this->Http.resume(Current.Call);
}

void ForwardTask::cancel(ForwardId Id) {
  if (this->find(Id) == nullptr)
    return;
  // This may run inside a callback, when a write shows that the caller has
  // left: the callback's captures must outlive that call.
  const std::shared_ptr<ActiveRequest> Removed = this->remove(Id);
  this->Events.defer([Removed] {});
}

} // namespace camphornotch
