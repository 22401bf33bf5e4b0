/// @file
/// Sends requests to endpoints as their plans say, and brings the answers.

#include "gateway/forward_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/answer_fault_func.h"
#include "gateway/event_stream_base.h"

#include <utility>

namespace camphornotch {

namespace {

/// Time for a connection to an endpoint; the slowest link takes 24 ms.
constexpr Millis ConnectTimeout{300};
/// Time without an answer after which the other idle connections to the
/// endpoint may be silent, too: several times the sites' longest request.
constexpr Millis SilentAfter{800};

/// @param Status a status that promises that nothing ran.
/// @return whether an endpoint that does not say so itself may not be quoted.
bool promisesNotRun(int Status) {
  constexpr int RequestTimeout = 408;
  constexpr int Misdirected = 421;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  return Status == RequestTimeout || Status == Misdirected ||
         Status == TooMany || Status == Unavailable;
}

/// @param Answer a head.
/// @param Request what was asked.
/// @param Framed whether the end of the body can be told.
/// @return why it cannot be passed on; empty: it can, or nothing ran.
std::string_view faultOf(const platform::EngineAnswer &Answer,
                         const platform::EngineRequest &Request, bool Framed) {
  if (Answer.NotRun)
    return "";
  const std::string_view Fault = answerFault(Answer, Request.RequestId, Framed);
  if (!Fault.empty())
    return Fault;
  if (Answer.Status < StatusFirstFailure && Answer.Receipt.empty())
    return "the answer has no receipt";
  return promisesNotRun(Answer.Status) ? "a refusal without its mark" : "";
}

/// @param End how a request ends.
/// @return the reason under which it is counted.
RefusalReason reasonOf(const EndRequest &End) {
  if (End.Reason == "deadline")
    return RefusalReason::DeadlineTooShort;
  if (End.Reason == "endpoints_full")
    return RefusalReason::QueueFull;
  if (End.Reason == "no_endpoint")
    return RefusalReason::NoEndpoint;
  return RefusalReason::EndpointFailed;
}

} // namespace

ForwardTask::Running::Running(ForwardJob Job, ForwardSink Sink)
    : Request(std::move(Job.Request)), Sink(std::move(Sink)),
      Plan(std::move(Job.Need)) {}

ForwardTask::ForwardTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
                         Metrics &Counts)
    : Events(Events), Http(Http), Pool(Pool), Counts(Counts) {}

ForwardId ForwardTask::start(ForwardJob Job, ForwardSink Sink) {
  const ForwardId Id{++this->LastId};
  this->Jobs.emplace(
      Id, std::make_unique<Running>(std::move(Job), std::move(Sink)));
  this->advance(Id);
  return Id;
}

ForwardTask::Running *ForwardTask::find(ForwardId Id) {
  const auto Found = this->Jobs.find(Id);
  return Found == this->Jobs.end() ? nullptr : Found->second.get();
}

void ForwardTask::advance(ForwardId Id) {
  for (;;) {
    Running *Each = this->find(Id);
    if (Each == nullptr)
      return;
    const Millis Now = steadyNow();
    const ForwardStep Step = Each->Plan.next(this->Pool, Now);
    if (const auto *Send = std::get_if<SendAttempt>(&Step)) {
      this->send(Id, *Each, Send->Endpoint);
      continue;
    }
    if (const auto *Wait = std::get_if<AwaitAttempt>(&Step)) {
      this->Events.cancel(Each->Wake);
      Each->Wake = this->Events.callAt(Wait->RecheckAt,
                                       [this, Id] { this->advance(Id); });
      return;
    }
    if (const auto *End = std::get_if<EndRequest>(&Step)) {
      this->refuse(Id, *End);
      return;
    }
    const std::unique_ptr<Running> Last = this->take(Id);
    if (Last->Streaming)
      Last->Sink.StreamEnd(false);
    else
      Last->Sink.Answer(std::move(Last->Failure));
    return;
  }
}

void ForwardTask::send(ForwardId Id, Running &Each,
                       const EndpointId &Endpoint) {
  const Millis Now = steadyNow();
  const EndpointState *State = this->Pool.find(Endpoint);
  platform::EngineRequest Request = Each.Request;
  Request.Where = State->Record.ListenAddress;
  Request.Instance = Endpoint;
  Request.TimeLeft = Each.Plan.deadline() - Now;
  if (Each.Sent > 0)
    this->Counts.countRetry(Each.Attempts.empty() ? RetryReason::EndpointFailed
                                                  : RetryReason::Hedge);
  HttpCall Call = platform::encodeEngineRequest(Request);
  Call.ConnectTimeout = ConnectTimeout;
  const uint64_t Number = ++Each.Sent;
  HttpEvents Tell;
  Tell.Head = [this, Id, Number](const HttpResponse &Head) {
    this->onHead(Id, Number, Head);
  };
  if (Each.Plan.params().MatchedRoute.Kind == RouteKind::Stream)
    Tell.Chunk = [this, Id, Number](std::string_view Part) {
      this->onChunk(Id, Number, Part);
    };
  Tell.Finished = [this, Id, Number](HttpResponse Response) {
    this->onFinished(Id, Number, std::move(Response));
  };
  Tell.Failed = [this, Id, Number](const HttpFailure &Failure) {
    this->onFailed(Id, Number, Failure);
  };
  Each.Plan.attemptStarted(Endpoint, Now);
  this->Pool.workStarted(Endpoint);
  Attempt Made;
  Made.Endpoint = Endpoint;
  Made.SentAt = Now;
  Made.Call = this->Http.start(std::move(Call), std::move(Tell));
  Each.Attempts.emplace(Number, std::move(Made));
}

void ForwardTask::onHead(ForwardId Id, uint64_t Number,
                         const HttpResponse &Response) {
  Running *Each = this->find(Id);
  if (Each == nullptr || !Each->Attempts.contains(Number))
    return;
  Attempt &Made = Each->Attempts.at(Number);
  Made.Head = platform::decodeEngineAnswer(Response);
  const std::string_view Fault =
      faultOf(Made.Head, Each->Request, Response.Framed);
  if (!Fault.empty()) {
    this->cut(Id, Number, Fault);
    return;
  }
  const bool Starts =
      Each->Plan.params().MatchedRoute.Kind == RouteKind::Stream &&
      Response.Status < StatusFirstFailure && !Made.Head.NotRun;
  if (!Starts)
    return;
  Made.Streams = true;
  if (Each->Streaming)
    return;
  Each->Streaming = true;
  HttpResponse Head;
  Head.Status = Response.Status;
  Head.ContentType = Response.ContentType;
  Head.Headers = platform::passedAnswerHeaders(Response);
  Each->Sink.StreamStart(std::move(Head));
}

void ForwardTask::onChunk(ForwardId Id, uint64_t Number,
                          std::string_view Part) {
  Running *Each = this->find(Id);
  if (Each == nullptr || !Each->Attempts.contains(Number))
    return;
  Attempt &Made = Each->Attempts.at(Number);
  Made.Rest += Part;
  if (!Made.Streams) {
    if (Made.Rest.size() > DefaultMostBodyBytes)
      this->cut(Id, Number, "the body is over its limit");
    return;
  }
  const size_t LastEnd = Made.Rest.rfind(EventEnd);
  if (LastEnd == std::string::npos) {
    if (Made.Rest.size() > MostEventBytes)
      this->cut(Id, Number, "an event is too long");
    return;
  }
  const std::string Whole = Made.Rest.substr(0, LastEnd + EventEnd.size());
  Made.Rest.erase(0, Whole.size());
  const size_t LastStart = Whole.rfind(EventEnd, LastEnd - 1);
  const Result<platform::EngineEvent> Last = platform::decodeEngineEvent(
      LastStart == std::string::npos || LastEnd == 0
          ? std::string_view(Whole)
          : std::string_view(Whole).substr(LastStart + EventEnd.size()));
  if (Last.has_value() && Last.value().Id > 0)
    Each->Request.EventsHad = Last.value().Id;
  Each->Sink.StreamPart(Whole);
}

void ForwardTask::onFinished(ForwardId Id, uint64_t Number,
                             HttpResponse Response) {
  Running *Each = this->find(Id);
  if (Each == nullptr || !Each->Attempts.contains(Number))
    return;
  const Attempt &Made = Each->Attempts.at(Number);
  const bool Stream =
      Each->Plan.params().MatchedRoute.Kind == RouteKind::Stream;
  if (Made.Head.NotRun) {
    this->endAttempt(Id, Number, AttemptOutcome::Refused,
                     Made.Head.Misdirected ? WorkOutcome::Misdirected
                                           : WorkOutcome::Refused,
                     concat("status ", Response.Status));
    return;
  }
  if (Stream && Made.Streams) {
    if (Made.Rest.empty()) {
      this->finish(Id, Number, std::move(Response));
      return;
    }
    this->endAttempt(Id, Number, AttemptOutcome::Failed,
                     WorkOutcome::ConnectionBroken,
                     "the stream ended within an event");
    return;
  }
  if (Stream)
    Response.Body = Made.Rest;
  const bool MayRetry = Response.Status >= StatusServerError &&
                        mayRepeat(Each->Plan.params().MatchedRoute);
  if (!MayRetry) {
    this->finish(Id, Number, std::move(Response));
    return;
  }
  const std::string Cause = concat("status ", Response.Status);
  Each->Failure.Status = Response.Status;
  Each->Failure.ContentType = Response.ContentType;
  Each->Failure.Headers = platform::passedAnswerHeaders(Response);
  Each->Failure.Body = std::move(Response.Body);
  if (Each->Sink.Errored)
    Each->Sink.Errored(Response.Status);
  this->endAttempt(Id, Number, AttemptOutcome::Errored, WorkOutcome::Answered,
                   Cause);
}

void ForwardTask::onFailed(ForwardId Id, uint64_t Number,
                           const HttpFailure &Failure) {
  const Running *Each = this->find(Id);
  const bool Sent =
      Each != nullptr && Each->Attempts.contains(Number) && !Failure.NotSent;
  // An endpoint that sends something else than an answer is faulty itself.
  const bool Closed = Failure.Cause.Kind == ErrorKind::Unavailable;
  if (Sent && Closed && Each->Sink.Broken &&
      Each->Attempts.at(Number).Head.Status == 0)
    Each->Sink.Broken(Each->Attempts.at(Number).Endpoint);
  this->endAttempt(Id, Number,
                   Failure.NotSent ? AttemptOutcome::NotSent
                                   : AttemptOutcome::Failed,
                   WorkOutcome::ConnectionBroken, Failure.Cause.Message);
}

void ForwardTask::cut(ForwardId Id, uint64_t Number, std::string_view Cause) {
  this->Http.cancel(this->find(Id)->Attempts.at(Number).Call);
  this->endAttempt(Id, Number, AttemptOutcome::Failed,
                   WorkOutcome::ConnectionBroken, Cause);
}

void ForwardTask::endAttempt(ForwardId Id, uint64_t Number, AttemptOutcome End,
                             WorkOutcome Work, std::string_view Cause) {
  Running *Each = this->find(Id);
  if (Each == nullptr || !Each->Attempts.contains(Number))
    return;
  const Attempt Made = std::move(Each->Attempts.at(Number));
  Each->Attempts.erase(Number);
  const Millis Now = steadyNow();
  this->Pool.workEnded(Made.Endpoint, Work, Millis{0}, Now);
  Each->Plan.attemptEnded(Made.Endpoint, End);
  logLine(LogLevel::Info, "attempt gave no final answer",
          {{"request_id", Each->Request.RequestId},
           {"endpoint", Made.Endpoint.Value},
           {"attempt", concat(Number)},
           {"took_ms", concat((Now - Made.SentAt).Count)},
           {"cause", Cause}});
  this->advance(Id);
}

void ForwardTask::finish(ForwardId Id, uint64_t Number, HttpResponse Response) {
  Running *Each = this->find(Id);
  const Attempt Made = std::move(Each->Attempts.at(Number));
  Each->Attempts.erase(Number);
  const Millis Now = steadyNow();
  this->Pool.workEnded(Made.Endpoint, WorkOutcome::Answered, Now - Made.SentAt,
                       Now);
  const std::unique_ptr<Running> Last = this->take(Id);
  if (Last->Streaming) {
    Last->Sink.StreamEnd(true);
    return;
  }
  HttpResponse Answer;
  Answer.Status = Response.Status;
  Answer.ContentType = Response.ContentType;
  Answer.Headers = platform::passedAnswerHeaders(Response);
  Answer.Body = std::move(Response.Body);
  Last->Sink.Answer(std::move(Answer));
}

void ForwardTask::refuse(ForwardId Id, const EndRequest &End) {
  this->Counts.countRefusal(reasonOf(End));
  const std::unique_ptr<Running> Last = this->take(Id);
  if (Last->Streaming)
    Last->Sink.StreamEnd(false);
  else
    Last->Sink.Refuse(End);
}

std::unique_ptr<ForwardTask::Running> ForwardTask::take(ForwardId Id) {
  auto Node = this->Jobs.extract(Id);
  std::unique_ptr<Running> Last = std::move(Node.mapped());
  this->Events.cancel(Last->Wake);
  const Millis Now = steadyNow();
  for (const auto &[Number, Made] : Last->Attempts) {
    this->Http.cancel(Made.Call);
    const EndpointState *At = this->Pool.find(Made.Endpoint);
    if (At != nullptr && Now - Made.SentAt > SilentAfter)
      this->Http.dropIdle(HttpTarget{At->Record.ListenAddress.Ip,
                                     At->Record.ListenAddress.Port});
    // One that another endpoint overtook was slow itself.
    this->Pool.workEnded(Made.Endpoint, WorkOutcome::Abandoned,
                         Now - Made.SentAt, Now);
  }
  return Last;
}

void ForwardTask::pause(ForwardId Id) {
  if (const Running *Each = this->find(Id))
    for (const auto &[Number, Made] : Each->Attempts)
      this->Http.pause(Made.Call);
}

void ForwardTask::resume(ForwardId Id) {
  if (const Running *Each = this->find(Id))
    for (const auto &[Number, Made] : Each->Attempts)
      this->Http.resume(Made.Call);
}

void ForwardTask::cancel(ForwardId Id) {
  if (this->find(Id) == nullptr)
    return;
  // Writing to a caller may show that it left: the sink's captures must
  // outlive that call.
  const std::shared_ptr<Running> Last = this->take(Id);
  this->Events.defer([Last] {});
}

} // namespace camphornotch
