/// @file
/// The agent's client of its endpoint: work and its end.

#include "daemon/agent_endpoint_base.h"

#include "base/http_status_type.h"
#include "base/log_func.h"
#include "wire/codec_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Time for a cancel to be answered and the stream to end.
constexpr Millis StopTimeout{1000};
/// Time for a stream to end that the engine no longer knows.
constexpr Millis LastEventsTimeout{50};
/// Time for a call under an intent; it is never cut for a caller's deadline.
constexpr Millis IntentTimeout = seconds(600);
/// Largest event of a stream.
constexpr size_t MaxEventBytes = size_t{4} << 20;

} // namespace

EndpointClient::EndpointClient(Loop &Events, HttpClient &Http,
                               EndpointConfig Config, Handler Tell)
    : Events(Events), Http(Http), Config(std::move(Config)),
      Tell(std::move(Tell)) {}

HttpCall EndpointClient::makeCall(std::string Method, std::string Path,
                                  std::string Body) const {
  HttpCall Call;
  Call.Target = this->Config.Target;
  Call.Method = std::move(Method);
  Call.Path = std::move(Path);
  Call.Body = std::move(Body);
  return Call;
}

void EndpointClient::start(const StartAtEndpoint &Action) {
  if (Action.Work.Kind == wire::WorkKind::Completion)
    this->startCompletion(Action);
  else
    this->startCall(Action);
}

void EndpointClient::startCompletion(const StartAtEndpoint &Action) {
  Result<std::string> Body =
      completionBody(Action.Work, Action.StreamId, Action.Priority);
  if (!Body.has_value()) {
    this->tellLater(
        EndpointFinished{Action.Run, 400, "text/plain", Body.error().Message});
    return;
  }
  HttpCall Call = this->makeCall("POST", Action.Work.Path, Body.value());
  Call.Headers.push_back({"Content-Type", "application/json"});
  Call.Headers.push_back({"X-Request-Id", Action.Work.RequestId});
  const RunId Run = Action.Run;
  HttpCallbacks Tells;
  Tells.Head = [this, Run](const HttpResponse &Head) {
    const auto Found = this->Attempts.find(Run);
    if (Found == this->Attempts.end())
      return;
    Found->second.Status = Head.Status;
    if (Head.Status != StatusOk)
      this->Http.collect(Found->second.Call);
  };
  Tells.Chunk = [this, Run](std::string_view Bytes) {
    this->onChunk(Run, Bytes);
  };
  Tells.Finished = [this, Run](HttpResponse Response) {
    this->onEnd(Run, std::move(Response));
  };
  Tells.Failed = [this, Run](const HttpFailure &Failure) {
    this->onFailure(Run, Failure);
  };
  this->Attempts[Run].Call =
      this->Http.start(std::move(Call), std::move(Tells));
}

void EndpointClient::startCall(const StartAtEndpoint &Action) {
  const wire::StartWork &Work = Action.Work;
  HttpCall Call = this->makeCall(Work.Method, Work.Path, Work.Body);
  if (!Work.ContentType.empty())
    Call.Headers.push_back({"Content-Type", Work.ContentType});
  Call.Headers.push_back({"X-Request-Id", Work.RequestId});
  if (!Work.IdempotencyKey.empty())
    Call.Headers.push_back({"Idempotency-Key", Work.IdempotencyKey});
  const bool Intent = Work.Kind == wire::WorkKind::IntentCall;
  Call.Reuse = !Intent;
  // The answer goes to the entry in one message.
  Call.MaxBodyBytes = MaxFrameBytes;
  Call.Timeout = Intent ? IntentTimeout : Millis{Work.DeadlineMs};
  const RunId Run = Action.Run;
  HttpCallbacks Tells;
  Tells.Finished = [this, Run](HttpResponse Response) {
    this->finish(Run, EndpointFinished{Run, Response.Status,
                                       std::move(Response.ContentType),
                                       std::move(Response.Body)});
  };
  Tells.Failed = [this, Run](const HttpFailure &Failure) {
    this->onFailure(Run, Failure);
  };
  this->Attempts[Run].Call =
      this->Http.start(std::move(Call), std::move(Tells));
}

void EndpointClient::onChunk(RunId Run, std::string_view Bytes) {
  auto Found = this->Attempts.find(Run);
  if (Found == this->Attempts.end())
    return;
  Found->second.Splitter.add(Bytes);
  while (auto Data = Found->second.Splitter.next()) {
    Result<StreamEvent> Event = parseStreamEvent(*Data);
    if (!Event.has_value()) {
      logLine(LogLevel::Warn, Event.error().Message);
      this->breakOff(Run);
      return;
    }
    StreamEvent &Told = Event.value();
    Found->second.Done |= Told.Done;
    if (!Told.FinishReason.empty())
      Found->second.FinishReason = Told.FinishReason;
    if (Told.Text.empty() && Told.Tokens == 0)
      continue;
    this->Tell(
        EndpointOutput{Run, std::move(Told.Text), Told.Tokens, Told.Version});
    Found = this->Attempts.find(Run);
    if (Found == this->Attempts.end())
      return;
  }
  if (Found->second.Splitter.pending() > MaxEventBytes)
    this->breakOff(Run);
}

void EndpointClient::breakOff(RunId Run) {
  logLine(LogLevel::Warn, "work at the endpoint is broken off",
          {{"cause", "its answer is no answer or has no end"}});
  this->Http.cancel(this->Attempts.at(Run).Call);
  this->finish(Run, EndpointBroke{Run});
}

void EndpointClient::onEnd(RunId Run, HttpResponse Response) {
  const auto Found = this->Attempts.find(Run);
  if (Found == this->Attempts.end())
    return;
  const Attempt &Ended = Found->second;
  if (Ended.Status != StatusOk) {
    this->finish(Run, EndpointFinished{Run, Response.Status,
                                       std::move(Response.ContentType),
                                       std::move(Response.Body)});
    return;
  }
  if (!Ended.Done)
    this->finish(Run, EndpointBroke{Run});
  else if (Ended.FinishReason == "cancelled")
    this->finish(Run, EndpointStopped{Run});
  else
    this->finish(Run, EndpointFinished{Run, StatusOk, "text/plain", {}});
}

void EndpointClient::onFailure(RunId Run, const HttpFailure &Failure) {
  if (!this->Attempts.contains(Run))
    return;
  logLine(LogLevel::Warn, "work at the endpoint broke",
          {{"cause", Failure.Cause.Message}});
  this->finish(Run, EndpointBroke{Run, Failure.NotSent});
}

void EndpointClient::finish(RunId Run, AgentEvent Event) {
  this->Attempts.erase(Run);
  this->Tell(std::move(Event));
}

void EndpointClient::stop(const StopAtEndpoint &Action) {
  const RunId Run = Action.Run;
  if (!this->Config.IsEngine) {
    this->Events.defer([this, Run] { this->closeStopped(Run); });
    return;
  }
  this->Events.callAfter(StopTimeout, [this, Run] { this->closeStopped(Run); });
  HttpCallbacks Tells;
  Tells.Finished = [this, Run](const HttpResponse &Response) {
    // The engine does not know it: its end is on the way, or it never came.
    if (Response.Body.find("true") == std::string::npos)
      this->Events.callAfter(LastEventsTimeout,
                             [this, Run] { this->closeStopped(Run); });
  };
  Tells.Failed = [](const HttpFailure &) {};
  this->Http.start(this->cancelCall(Action.StreamId), std::move(Tells));
}

void EndpointClient::closeStopped(RunId Run) {
  const auto Found = this->Attempts.find(Run);
  if (Found == this->Attempts.end())
    return;
  this->Http.cancel(Found->second.Call);
  this->finish(Run, EndpointStopped{Run});
}

void EndpointClient::abandon(const AbandonRun &Action) {
  const auto Found = this->Attempts.find(Action.Run);
  if (Found == this->Attempts.end())
    return;
  this->Http.cancel(Found->second.Call);
  this->Attempts.erase(Found);
}

void EndpointClient::tellLater(AgentEvent Event) {
  this->Events.defer([this, Event = std::move(Event)] { this->Tell(Event); });
}

} // namespace camphornotch
