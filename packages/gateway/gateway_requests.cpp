/// @file
/// Gateway process: checks callers' requests, and forwards or refuses them.

#include "gateway/gateway_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/client_limits_func.h"
#include "gateway/event_stream_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Reading a stream pauses while more bytes than this wait to be sent to the
/// caller. It is the size of the largest event.
constexpr size_t MaxUnsentBytes = MaxEventBytes;
/// Part of the caller's timeout reserved for returning the answer.
constexpr Millis AnswerMargin{15};
/// Timeout of a request that carries none.
constexpr Millis DefaultTimeLeft{30'000};
/// Retry-After while the gateway has no configuration or has not read the
/// endpoints. Both are read within a second of its start.
constexpr Millis StartingRetryAfter{500};
/// Retry-After for a stream of which nothing is known here yet: its record
/// reaches the store within that time.
constexpr Millis UnknownStreamRetryAfter{300};
/// Cause in the log of a stream that could not be completed.
constexpr std::string_view StreamCutOff = "stream cut off";

} // namespace

void Gateway::refuse(const std::shared_ptr<HttpExchange> &Exchange, int Status,
                     std::string_view Reason, Millis RetryAfter) {
  logLine(LogLevel::Info, "request refused",
          {{"path", Exchange->request().Path},
           {"host_header", Exchange->request().Authority},
           {"status", concat(Status)},
           {"cause", Reason},
           {"config", concat(this->Routes.Version)}});
  Exchange->answer(platform::encodeRefusal(Status, Reason, RetryAfter));
}

void Gateway::refuseStopping(const std::shared_ptr<HttpExchange> &Exchange) {
  this->Counts.countRefusal(RefusalReason::Leaving);
  // Another gateway takes the request at once.
  this->refuse(Exchange, StatusUnavailable, "stopping", Millis{0});
}

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  if (!this->mayStart(steadyNow())) {
    this->refuseStopping(Exchange);
    return;
  }
  if (this->Routes.Version == 0) {
    this->Counts.countRefusal(RefusalReason::Starting);
    this->refuse(Exchange, StatusUnavailable, "starting", StartingRetryAfter);
    return;
  }
  if (this->Limits != nullptr && !this->Limits->mayHandle()) {
    this->Counts.countRefusal(RefusalReason::NoMemory);
    this->refuse(Exchange, StatusUnavailable, "memory is short",
                 ShortMemoryRetryAfter);
    return;
  }
  const CallerLimits &Limits = this->Routes.Limits;
  const HttpRequest &Request = Exchange->request();
  if (Limits.HeaderBytes > 0 &&
      platform::headerBytes(Request) > Limits.HeaderBytes) {
    this->Counts.countRefusal(RefusalReason::TooLarge);
    this->refuse(Exchange, StatusHeaderTooLarge, "head too large", Millis{0});
    return;
  }
  if (Limits.BodyBytes > 0 &&
      static_cast<int64_t>(Request.Body.size()) > Limits.BodyBytes) {
    this->Counts.countRefusal(RefusalReason::TooLarge);
    this->refuse(Exchange, StatusTooLarge, "body too large", Millis{0});
    return;
  }
  platform::DecodedRequest Parsed = platform::decodeCallerRequest(Request);
  if (auto *Routed = std::get_if<platform::RoutedRequest>(&Parsed))
    this->onRouted(Exchange, std::move(*Routed));
  else
    this->onSubmissionCall(Exchange, std::move(Parsed));
}

std::optional<std::string>
Gateway::admit(const std::shared_ptr<HttpExchange> &Exchange,
               const Route *MatchedRoute) {
  const AccessDecision Decision =
      this->Access.check(Exchange->request(), this->Routes, MatchedRoute,
                         this->Published.available(steadyNow()));
  if (Decision.isAllowed())
    return Decision.Caller == nullptr ? std::string() : Decision.Caller->Name;
  const AccessRefusal Refusal = accessRefusal(Decision.Outcome);
  this->Counts.countRefusal(Refusal.Reason);
  this->refuse(Exchange, Refusal.Status, Refusal.Cause, Refusal.RetryAfter);
  return std::nullopt;
}

std::optional<std::string>
Gateway::accountIfUsed(const std::string &AccountName) const {
  return this->Routes.Accounts == nullptr ? std::nullopt
                                          : std::optional(AccountName);
}

void Gateway::onSubmissionCall(const std::shared_ptr<HttpExchange> &Exchange,
                               platform::DecodedRequest Call) {
  const std::optional<std::string> AccountName = this->admit(Exchange, nullptr);
  if (!AccountName.has_value())
    return;
  const auto Scope = [this, &AccountName](SubmissionId &Id) {
    Id.Value = accountScopedId(this->accountIfUsed(*AccountName), Id.Value);
  };
  if (auto *Read = std::get_if<platform::ResultsRead>(&Call)) {
    Scope(Read->Id);
    this->Batches.readResults(Exchange, *Read);
  } else if (auto *Body = std::get_if<platform::ItemBodyRead>(&Call)) {
    Scope(Body->Key.Submission);
    this->Batches.readBody(Exchange, *Body);
  } else {
    auto &Ending = std::get<platform::SubmissionEndRequest>(Call);
    Scope(Ending.Id);
    this->Batches.endSubmission(Exchange, Ending);
  }
}

void Gateway::onRouted(const std::shared_ptr<HttpExchange> &Exchange,
                       platform::RoutedRequest Routed) {
  const HttpRequest &Request = Exchange->request();
  const Route *MatchedRoute =
      findRoute(this->Routes, Request.Authority, Request.Path);
  if (MatchedRoute == nullptr) {
    this->Counts.countRefusal(RefusalReason::UnknownPath);
    this->refuse(Exchange, StatusNotFound, "no route", Millis{0});
    return;
  }
  const std::optional<std::string> AccountName =
      this->admit(Exchange, MatchedRoute);
  if (!AccountName.has_value())
    return;
  if (MatchedRoute->Kind != RouteKind::Rollout) {
    this->forward(Exchange, Routed, *MatchedRoute, *AccountName);
    return;
  }
  const std::optional<std::string> Submitter =
      this->accountIfUsed(*AccountName);
  if (!Routed.RequestId.empty())
    Routed.RequestId = accountScopedId(Submitter, Routed.RequestId);
  this->Batches.submit(Exchange, Routed, Submitter);
}

struct Gateway::ForwardedRequest {
  Millis ArrivedAt;
  std::string RequestId;
  std::string Service;
  std::string Account;
  std::string RouteName;
  /// Version of the configuration that it was forwarded by.
  int64_t Version = 0;
  ExpectedWork Work;
  /// Absent unless the policy forecasts, or if it was not sent.
  std::optional<WorkForecast> Forecast;
};

void Gateway::onForwarded(const ForwardedRequest &Request, int Status,
                          std::string_view Cause) {
  const Millis Took = steadyNow() - Request.ArrivedAt;
  constexpr double MillisPerSecond = 1000.0;
  this->RequestSeconds.Observe(static_cast<double>(Took.Count) /
                               MillisPerSecond);
  const std::string StatusText = concat(Status);
  const std::string TookText = concat(Took.Count);
  const std::string VersionText = concat(Request.Version);
  std::vector<LogField> Fields{{"request_id", Request.RequestId},
                               {"service", Request.Service},
                               {"account", Request.Account},
                               {"status", StatusText},
                               {"cause", Cause},
                               {"took_ms", TookText},
                               {"config", VersionText}};
  std::optional<ForecastFields> Added;
  if (Request.Forecast.has_value()) {
    Added.emplace(Request.Work, *Request.Forecast);
    Added->addTo(Fields);
    if (Cause == ForecastReason)
      this->RequestWork.countLate();
    if (Status < StatusFirstFailure && Cause != StreamCutOff)
      this->RequestWork.finished(
          Request.RouteName, 0,
          static_cast<double>(std::max<int64_t>(Took.Count, 1)),
          Request.Work.Amount);
  }
  logLine(LogLevel::Info, "request answered", Fields);
}

void Gateway::forward(const std::shared_ptr<HttpExchange> &Exchange,
                      const platform::RoutedRequest &Routed,
                      const Route &MatchedRoute,
                      const std::string &AccountName) {
  const HttpRequest &Request = Exchange->request();
  const RequestDigest Digest =
      digestOf(Request.Authority, Request.Target, Request.Body);
  if (this->Suspects.isQuarantined(Digest)) {
    this->Counts.countRefusal(RefusalReason::Quarantined);
    logLine(
        LogLevel::Info, "request held back",
        {{"request_id", Routed.RequestId}, {"digest", concat(Digest.Value)}});
    this->refuse(Exchange, StatusBadGateway, "quarantined", Millis{0});
    return;
  }
  const AdmittedRequest Admitted{Exchange,    Routed, MatchedRoute,
                                 AccountName, Digest, steadyNow()};
  const bool GoesOn = MatchedRoute.Kind == RouteKind::Stream &&
                      MatchedRoute.Resumable && Routed.ReceivedEvents > 0;
  if (GoesOn)
    this->takeUpStream(Admitted);
  else
    this->send(Admitted, nullptr);
}

std::optional<StreamOrigin>
Gateway::soleOrigin(const Route &MatchedRoute) const {
  std::optional<StreamOrigin> Sole;
  for (const auto &[Id, State] : this->Pool.all()) {
    const EndpointRecord &Record = State.Record;
    if (!hasService(MatchedRoute, Record.Service))
      continue;
    if (Sole.has_value() &&
        (Sole->Service != Record.Service || Sole->Software != Record.Software))
      return std::nullopt;
    Sole = StreamOrigin{Record.Service, Record.Software};
  }
  return Sole;
}

void Gateway::takeUpStream(const AdmittedRequest &Admitted) {
  const auto IsGone = std::make_shared<bool>(false);
  Admitted.Exchange->onGone([IsGone] { *IsGone = true; });
  const auto GoOn = [this, Admitted, IsGone](const StreamOrigin *Origin) {
    if (*IsGone)
      return;
    const platform::RoutedRequest &Routed = Admitted.Routed;
    logLine(LogLevel::Info, "stream taken up",
            {{"request_id", Routed.RequestId},
             {"resumes", Routed.Resumes},
             {"events_had", concat(Routed.ReceivedEvents)},
             {"service", Origin == nullptr ? "" : Origin->Service},
             {"software", Origin == nullptr ? "" : Origin->Software},
             {"took_ms", concat((steadyNow() - Admitted.ArrivedAt).Count)}});
    if (Origin != nullptr &&
        hasService(Admitted.MatchedRoute, Origin->Service)) {
      this->send(Admitted, Origin);
      return;
    }
    this->Counts.countRefusal(RefusalReason::NoEndpoint);
    this->refuse(Admitted.Exchange, StatusUnavailable,
                 Origin == nullptr ? "stream not known" : "service not routed",
                 UnknownStreamRetryAfter);
  };
  if (!Admitted.Routed.Resumes.empty()) {
    this->Origins.find(Admitted.Routed.Resumes, GoOn);
    return;
  }
  const std::optional<StreamOrigin> Sole =
      this->soleOrigin(Admitted.MatchedRoute);
  GoOn(Sole.has_value() ? &*Sole : nullptr);
}

void Gateway::send(const AdmittedRequest &Admitted,
                   const StreamOrigin *Origin) {
  const std::shared_ptr<HttpExchange> &Exchange = Admitted.Exchange;
  const platform::RoutedRequest &Routed = Admitted.Routed;
  const Route &MatchedRoute = Admitted.MatchedRoute;
  const std::string &AccountName = Admitted.AccountName;
  const RequestDigest Digest = Admitted.Digest;
  const Millis ArrivedAt = Admitted.ArrivedAt;
  const HttpRequest &Request = Exchange->request();
  Millis TimeLeft =
      Routed.TimeLeft == Never ? DefaultTimeLeft : Routed.TimeLeft;
  if (MatchedRoute.Timeout > Millis{0})
    TimeLeft = std::min(TimeLeft, MatchedRoute.Timeout);
  if (!this->mayStart(ArrivedAt + TimeLeft)) {
    this->refuseStopping(Exchange);
    return;
  }
  ForwardJob Job;
  Job.Params.MatchedRoute = MatchedRoute;
  Job.Params.Service = drawService(MatchedRoute, this->Random());
  if (Origin != nullptr) {
    Job.Params.Service = Origin->Service;
    Job.Params.Software = Origin->Software;
  }
  const ServiceInfo *Service = findService(this->Routes, Job.Params.Service);
  if (Service != nullptr && Service->Engine.has_value())
    this->EngineUsedAt = steadyNow();
  Job.Params.ArrivedAt = ArrivedAt;
  Job.Params.Deadline = ArrivedAt + TimeLeft - AnswerMargin;
  Job.Request.Method = Request.Method;
  Job.Request.Path = Request.Target;
  Job.Request.Host = Request.Authority;
  Job.Request.Headers = Request.Headers;
  // All attempts send the one copy of the body.
  Job.Request.SharedBody =
      std::make_shared<const std::string>(Exchange->takeBody());
  Job.Request.RequestId = Routed.RequestId;
  Job.Request.HasAccounts = this->Routes.Accounts != nullptr;
  Job.Request.Account = AccountName;
  Job.Request.ReceivedEvents = Routed.ReceivedEvents;
  if (this->Pool.usesForecasts())
    Job.Params.Work = this->RequestWork.expect({MatchedRoute.Name, 0, 0});
  const auto Forwarded = std::make_shared<ForwardedRequest>(ForwardedRequest{
      ArrivedAt, Routed.RequestId, Job.Params.Service, AccountName,
      MatchedRoute.Name, this->Routes.Version, Job.Params.Work, std::nullopt});
  const auto Log = [this, Forwarded](int Status, std::string_view Cause) {
    this->onForwarded(*Forwarded, Status, Cause);
  };
  ForwardCallbacks Callbacks;
  Callbacks.OnConnectionBroken = [this, Digest](const BrokenAttempt &Broken) {
    this->Suspects.onBroken(Digest, Broken.Endpoint, Broken.BrokenAt,
                            Broken.BrokenAt - Broken.SentAt);
  };
  Callbacks.OnForecast = [Forwarded](const WorkForecast &Forecast) {
    Forwarded->Forecast = Forecast;
  };
  Callbacks.OnAnswer = [this, Exchange, Log,
                        Digest](const HttpResponse &Response) {
    Log(Response.Status, "endpoint");
    if (Response.Status < StatusFirstFailure)
      this->Suspects.onSucceeded(Digest);
    Exchange->answer(Response);
  };
  Callbacks.OnRefusal = [Exchange, Log, Forwarded](const EndRequest &End) {
    if (End.Forecast.has_value())
      Forwarded->Forecast = End.Forecast;
    Log(End.Status, End.Reason);
    Exchange->answer(
        platform::encodeRefusal(End.Status, End.Reason, End.RetryAfter));
  };
  if (MatchedRoute.Kind == RouteKind::Stream && MatchedRoute.Resumable)
    Callbacks.OnStreamBegan =
        [this, Id = Routed.RequestId,
         Service = Job.Params.Service](const std::string &Software) {
          this->Origins.add(Id, StreamOrigin{Service, Software});
        };
  Callbacks.OnStreamStart = [Exchange](HttpResponse Head) {
    Exchange->start(std::move(Head));
  };
  const auto AssignedId = std::make_shared<ForwardId>();
  Callbacks.OnStreamEvents = [this, Exchange,
                              AssignedId](std::string_view Part) {
    Exchange->write(Part);
    const bool IsShort =
        this->Limits != nullptr && !this->Limits->controller().fits(0);
    if (Exchange->unsentBytes() > (IsShort ? 0 : MaxUnsentBytes))
      this->Forward.pause(*AssignedId);
  };
  Callbacks.OnStreamEnd = [this, Exchange, Log, Digest](bool Complete) {
    Log(StatusOk, Complete ? "stream ended" : StreamCutOff);
    if (Complete) {
      this->Suspects.onSucceeded(Digest);
      Exchange->finish();
    } else {
      Exchange->abort();
    }
  };
  this->Usage.count(AccountName, Callbacks);
  const ForwardId Id =
      this->Forward.start(std::move(Job), std::move(Callbacks));
  *AssignedId = Id;
  Exchange->onDrained([this, Id] { this->Forward.resume(Id); });
  Exchange->onGone([this, Id, Request = Routed.RequestId] {
    logLine(LogLevel::Info, "caller left", {{"request_id", Request}});
    this->Forward.cancel(Id);
  });
}

} // namespace camphornotch
