/// @file
/// Gateway process: accepts callers' requests and forwards them to endpoints.

#include "gateway/gateway_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/event_stream_base.h"
#include "gateway/gateway_settings_func.h"
#include "platform/operator_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Body limit of the HTTP server, with room above the limit of the sites; a
/// configuration may set a lower one.
constexpr size_t MaxBodyBytes = size_t{40} << 20;
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
/// Time after SIGTERM during which callers may still connect: the platform
/// removes a host after two failed probes, one second apart.
constexpr Millis StopAcceptTime{3'200};
/// Time after SIGTERM from which a request is served only if its deadline is
/// before the end of the process. Callers must expect an earlier one to be cut.
constexpr Millis StopServeAllTime{2'900};
/// The process ends this long before the end of the grace period even if it is
/// not idle.
constexpr Millis StopMargin{500};
/// Time to send the last answers.
constexpr Millis StopFlushTime{50};
/// Interval of the check whether the process can end.
constexpr Millis StopCheckInterval{50};
/// Time after a request to an engine during which loaders send every report.
constexpr Millis EngineUseMemory{10'000};

/// Upper bounds of the request histogram's buckets, in seconds.
const prometheus::Histogram::BucketBoundaries RequestBounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

} // namespace

Gateway::Gateway(Loop &Events, const GatewaySettings &Settings)
    : Events(Events), Settings(Settings), Http(Events), StoreHttp(Events),
      Store(Events, StoreHttp,
            HttpTarget{Settings.Store.Ip, Settings.Store.Port}),
      Pool(
          Geography{Settings.Common.DataCentre, parseRegions(Settings.Regions)},
          parseEndpointChoice(Settings.EndpointChoice)),
      Peers(Events, this->Settings.Common, Store, Values,
            PeerTaskCallbacks{[this](const KeyedRecord &Record) {
                                this->onPublished(Record);
                              },
                              [this](const wire::EngineStatePush &State) {
                                this->onEngineState(State);
                              },
                              [](const wire::WeightsAnnounce &) {},
                              [this](const wire::CrashReport &Report) {
                                for (const int64_t Digest : Report.Digests)
                                  this->Suspects.add(RequestDigest{Digest},
                                                     brokenLifetime(Report),
                                                     steadyNow());
                              },
                              [this](const HostId &) {
                                const std::map<std::string, int64_t> Known =
                                    this->RequiredVersions;
                                this->RequiredVersions.clear();
                                for (const auto &[Model, Version] : Known)
                                  this->requireVersion(Model, Version);
                              },
                              {},
                              {},
                              [this] { return this->wantsLoad(); }}),
      Published(Events, Store, std::string(platform::OperatorTopic),
                loggingCallbacks("published values",
                                 [this](const KeyedRecord &Record) {
                                   this->onPublished(Record);
                                 })),
      Directory(Events, Store, Pool,
                [this] {
                  this->connectLoaders();
                  this->Batches.wake();
                }),
      Forward(Events, Http, Pool, Counts),
      Batches(
          BatchTaskDependencies{Events, Http, Store, Pool, Forward, Counts},
          this->Settings,
          [this]() -> const RouteTable & { return this->Routes; },
          [this](const std::string &Model, int64_t Version) {
            this->requireVersion(Model, Version);
          }),
      Random(std::random_device{}()),
      RequestSeconds(Counts.histogram("request_seconds",
                                      "Time of callers' requests, in seconds.",
                                      RequestBounds)) {
  this->Store.setRelay([this](const platform::RawStoreCall &Call,
                              platform::RawStoreCallback Reply) {
    return this->Peers.relay(Call, std::move(Reply));
  });
}

Result<void> Gateway::listen() {
  const Result<uint16_t> Linked = this->Peers.listen();
  if (!Linked.has_value())
    return Linked.error();
  HttpServerConfig ProbeConfig;
  ProbeConfig.Address = this->Settings.Common.ListenHttp.Ip;
  ProbeConfig.Port = this->Settings.Common.ListenHttp.Port;
  auto ProbeListener =
      HttpServer::listen(this->Events, ProbeConfig,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->onProbe(Exchange);
                         });
  if (!ProbeListener.has_value())
    return ProbeListener.error();
  this->ProbeServer = std::move(ProbeListener.value());
  HttpServerConfig PeerConfig;
  PeerConfig.Address = this->Settings.ListenPeers.Ip;
  PeerConfig.Port = this->Settings.ListenPeers.Port;
  auto PeerListener =
      HttpServer::listen(this->Events, PeerConfig,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->Batches.onPeerRequest(Exchange);
                         });
  if (!PeerListener.has_value())
    return PeerListener.error();
  this->PeerServer = std::move(PeerListener.value());
  HttpServerConfig CallerConfig;
  CallerConfig.Address = this->Settings.Front.Ip;
  CallerConfig.Port = this->Settings.Front.Port;
  CallerConfig.MaxBodyBytes = MaxBodyBytes;
  auto CallerListener =
      HttpServer::listen(this->Events, CallerConfig,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->onRequest(Exchange);
                         });
  if (!CallerListener.has_value())
    return CallerListener.error();
  this->CallerServer = std::move(CallerListener.value());
  return boost::outcome_v2::success();
}

Result<void> Gateway::begin() {
  const Result<void> Listens = this->listen();
  if (!Listens.has_value())
    return Listens.error();
  this->Events.handleSignals([this](int) { this->beginStop(); },
                             logSettingsChanged);
  this->Published.begin();
  this->Directory.begin();
  this->Batches.begin(
      Address{this->Settings.ListenPeers.Ip, this->PeerServer->port()});
  logLine(LogLevel::Info, "gateway started",
          {{"data_centre", this->Settings.Common.DataCentre}});
  return boost::outcome_v2::success();
}

HttpTarget Gateway::callerTarget() const {
  return HttpTarget{this->Settings.Front.Ip, this->CallerServer->port()};
}

std::string_view Gateway::whyNotReady() const {
  if (this->StopRequestedAt > Millis{0})
    return "stopping";
  if (this->Routes.Version == 0)
    return "no configuration yet";
  if (!this->Directory.complete())
    return "endpoints not read yet";
  return "";
}

void Gateway::onProbe(const std::shared_ptr<HttpExchange> &Exchange) {
  HttpResponse Response;
  Response.ContentType = "text/plain";
  if (platform::isReadinessProbe(Exchange->request())) {
    const std::string_view Why = this->whyNotReady();
    Response.Status = Why.empty() ? StatusOk : StatusUnavailable;
    Response.Body = Why.empty() ? "ready" : Why;
  } else if (Exchange->request().Path == "/metrics") {
    this->setGauges();
    Response.Body = this->Counts.text();
  } else {
    Response.Status = StatusNotFound;
  }
  Exchange->answer(Response);
}

void Gateway::setGauges() {
  const ItemScheduler &Items = this->Batches.scheduler();
  const auto Set = [this](const char *Name, const char *Help, double Value) {
    this->Counts.gauge(Name, Help).Set(Value);
  };
  Set("items_waiting", "Items that wait for an engine.",
      static_cast<double>(Items.waiting()));
  Set("items_running", "Items at engines or being scored.",
      static_cast<double>(Items.running()));
  Set("partitions_owned", "Partitions that this gateway owns.",
      static_cast<double>(this->Batches.owned()));
  Set("requests_open", "Requests that are being forwarded.",
      static_cast<double>(this->Forward.running()));
  Set("config_version", "Version of the configuration in force.",
      static_cast<double>(this->Routes.Version));
}

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

Millis Gateway::stopLimit() const {
  return this->StopRequestedAt + parseGracePeriod(this->Settings.GraceSeconds) -
         StopMargin;
}

bool Gateway::mayStart(Millis Deadline) const {
  if (this->StopRequestedAt == Millis{0})
    return true;
  const Millis Since = steadyNow() - this->StopRequestedAt;
  return Since < StopServeAllTime ||
         (Since < StopAcceptTime && Deadline < this->stopLimit());
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
  const platform::DecodedRequest Parsed =
      platform::decodeCallerRequest(Request);
  if (const auto *Routed = std::get_if<platform::RoutedRequest>(&Parsed))
    this->onRouted(Exchange, *Routed);
  else if (const auto *Read = std::get_if<platform::ResultsRead>(&Parsed))
    this->Batches.readResults(Exchange, *Read);
  else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Parsed))
    this->Batches.readBody(Exchange, *Body);
  else
    this->Batches.endSubmission(
        Exchange, std::get<platform::SubmissionEndRequest>(Parsed));
}

void Gateway::onRouted(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::RoutedRequest &Routed) {
  const HttpRequest &Request = Exchange->request();
  const Route *MatchedRoute =
      findRoute(this->Routes, Request.Authority, Request.Path);
  if (MatchedRoute == nullptr) {
    this->Counts.countRefusal(RefusalReason::UnknownPath);
    this->refuse(Exchange, StatusNotFound, "no route", Millis{0});
    return;
  }
  if (MatchedRoute->Kind == RouteKind::Rollout)
    this->Batches.submit(Exchange, Routed);
  else
    this->forward(Exchange, Routed, *MatchedRoute);
}

void Gateway::forward(const std::shared_ptr<HttpExchange> &Exchange,
                      const platform::RoutedRequest &Routed,
                      const Route &MatchedRoute) {
  const HttpRequest &Request = Exchange->request();
  const Millis Now = steadyNow();
  const RequestDigest Digest =
      digestOf(Request.Authority, Request.Target, Request.Body);
  if (this->Suspects.isQuarantined(Digest, Now)) {
    this->Counts.countRefusal(RefusalReason::Quarantined);
    this->refuse(Exchange, StatusBadGateway, "quarantined", Millis{0});
    return;
  }
  Millis TimeLeft =
      Routed.TimeLeft == Never ? DefaultTimeLeft : Routed.TimeLeft;
  if (MatchedRoute.Timeout > Millis{0})
    TimeLeft = std::min(TimeLeft, MatchedRoute.Timeout);
  if (!this->mayStart(Now + TimeLeft)) {
    this->refuseStopping(Exchange);
    return;
  }
  ForwardJob Job;
  Job.Params.MatchedRoute = MatchedRoute;
  Job.Params.Service = drawService(MatchedRoute, this->Random());
  const ServiceInfo *Service = findService(this->Routes, Job.Params.Service);
  if (Service != nullptr && Service->Engine.has_value())
    this->EngineUsedAt = Now;
  Job.Params.ArrivedAt = Now;
  Job.Params.Deadline = Now + TimeLeft - AnswerMargin;
  Job.Request.Method = Request.Method;
  Job.Request.Path = Request.Target;
  Job.Request.Host = Request.Authority;
  Job.Request.Headers = Request.Headers;
  Job.Request.Body = Request.Body;
  Job.Request.RequestId = Routed.RequestId;
  Job.Request.ReceivedEvents = Routed.ReceivedEvents;
  const auto Log =
      [this, Now, Id = Routed.RequestId, Service = Job.Params.Service,
       Version = this->Routes.Version](int Status, std::string_view Cause) {
        const Millis Elapsed = steadyNow() - Now;
        constexpr double MillisPerSecond = 1000.0;
        this->RequestSeconds.Observe(static_cast<double>(Elapsed.Count) /
                                     MillisPerSecond);
        logLine(LogLevel::Info, "request answered",
                {{"request_id", Id},
                 {"service", Service},
                 {"status", concat(Status)},
                 {"cause", Cause},
                 {"took_ms", concat(Elapsed.Count)},
                 {"config", concat(Version)}});
      };
  ForwardCallbacks Callbacks;
  Callbacks.OnConnectionBroken = [this,
                                  Digest](const EndpointLifetime &Endpoint) {
    this->reportBroken(Digest, Endpoint);
  };
  Callbacks.OnAnswer = [this, Exchange, Log,
                        Digest](const HttpResponse &Response) {
    Log(Response.Status, "endpoint");
    if (Response.Status < StatusFirstFailure)
      this->Suspects.succeeded(Digest);
    Exchange->answer(Response);
  };
  Callbacks.OnRefusal = [Exchange, Log](const EndRequest &End) {
    Log(End.Status, End.Reason);
    Exchange->answer(
        platform::encodeRefusal(End.Status, End.Reason, End.RetryAfter));
  };
  Callbacks.OnStreamStart = [Exchange](HttpResponse Head) {
    Exchange->start(std::move(Head));
  };
  const auto AssignedId = std::make_shared<ForwardId>();
  Callbacks.OnStreamEvents = [this, Exchange,
                              AssignedId](std::string_view Part) {
    Exchange->write(Part);
    if (Exchange->unsentBytes() > MaxUnsentBytes)
      this->Forward.pause(*AssignedId);
  };
  Callbacks.OnStreamEnd = [this, Exchange, Log, Digest](bool Complete) {
    Log(StatusOk, Complete ? "stream ended" : "stream cut off");
    if (Complete) {
      this->Suspects.succeeded(Digest);
      Exchange->finish();
    } else {
      Exchange->abort();
    }
  };
  const ForwardId Id =
      this->Forward.start(std::move(Job), std::move(Callbacks));
  *AssignedId = Id;
  Exchange->onDrained([this, Id] { this->Forward.resume(Id); });
  Exchange->onGone([this, Id, Request = Routed.RequestId] {
    logLine(LogLevel::Info, "caller left", {{"request_id", Request}});
    this->Forward.cancel(Id);
  });
}

void Gateway::onPublished(const KeyedRecord &Record) {
  if (!this->Values.update(Record))
    return;
  if (Record.Key == platform::ConfigKey)
    this->applyConfig(Record);
  this->Peers.announce();
}

void Gateway::applyConfig(const KeyedRecord &Record) {
  Result<RouteTable> Decoded = platform::decodeRouteTable(Record.Value);
  if (!Decoded.has_value()) {
    logLine(LogLevel::Error,
            "configuration not readable; keeping the current one",
            {{"offset", concat(Record.Offset)},
             {"cause", Decoded.error().Message}});
    return;
  }
  if (Decoded.value().Version <= this->Routes.Version)
    return;
  logLine(LogLevel::Info, "configuration in force",
          {{"version", concat(Decoded.value().Version)},
           {"version_before", concat(this->Routes.Version)},
           {"offset", concat(Record.Offset)},
           {"routes", concat(Decoded.value().Routes.size())}});
  this->Routes = std::move(Decoded.value());
  this->CallerServer->setTimeouts(this->Routes.Limits.HeaderTimeout,
                                  this->Routes.Limits.IdleTimeout);
  this->connectLoaders();
  this->Batches.routesChanged();
}

void Gateway::connectLoaders() {
  std::set<HttpTarget> Wanted;
  for (const auto &[Id, State] : this->Pool.all()) {
    const ServiceInfo *Service =
        findService(this->Routes, State.Record.Service);
    if (Service != nullptr && Service->Engine.has_value())
      Wanted.insert(HttpTarget{State.Record.ListenAddress.Ip,
                               this->Settings.Common.ListenLinks.Port});
  }
  for (const HttpTarget &Target : Wanted)
    if (!this->Loaders.contains(Target))
      this->Peers.connect(Target);
  for (const HttpTarget &Target : this->Loaders)
    if (!Wanted.contains(Target))
      this->Peers.disconnect(Target);
  this->Loaders = std::move(Wanted);
}

void Gateway::onEngineState(const wire::EngineStatePush &State) {
  const auto Colon = State.Address.rfind(':');
  const Result<HttpTarget> Target = parseTarget(State.Address);
  if (Colon == std::string::npos || !Target.has_value()) {
    logLine(LogLevel::Warn, "ignored an engine state with an invalid address",
            {{"address", State.Address}});
    return;
  }
  EngineLoad Load;
  Load.Running = State.Running;
  Load.Waiting = State.Waiting;
  Load.LoadingModel = State.LoadingModel;
  for (const wire::ModelVersion &Each : State.Versions)
    Load.Versions[Each.Model] = Each.Version;
  this->Pool.loadReported(Address{Target.value().Address, Target.value().Port},
                          Load, steadyNow());
  if (this->Batches.scheduler().waiting() > 0)
    this->Batches.wake();
}

bool Gateway::wantsLoad() const {
  return this->Batches.owned() > 0 ||
         (this->EngineUsedAt > Millis{0} &&
          steadyNow() - this->EngineUsedAt < EngineUseMemory);
}

void Gateway::requireVersion(const std::string &Model, int64_t Version) {
  int64_t &Known = this->RequiredVersions[Model];
  if (Version <= Known)
    return;
  Known = Version;
  wire::WeightsAnnounce Announce;
  Announce.Model = Model;
  Announce.Version = Version;
  wire::PeerMessage Message;
  Message.__set_WeightsAnnounceMsg(Announce);
  this->Peers.broadcast(Message);
}

void Gateway::reportBroken(RequestDigest Digest,
                           const EndpointLifetime &Endpoint) {
  const Millis Now = steadyNow();
  this->Suspects.forgetOld(Now);
  if (!this->Suspects.add(Digest, Endpoint, Now))
    return;
  wire::CrashReport Report;
  Report.Endpoint = Endpoint.Id.Value;
  Report.CrashId = Endpoint.StartedAtMs;
  Report.Digests = {Digest.Value};
  wire::PeerMessage Message;
  Message.__set_CrashReportMsg(Report);
  this->Peers.broadcast(Message);
}

void Gateway::beginStop() {
  if (this->StopRequestedAt > Millis{0})
    return;
  this->StopRequestedAt = steadyNow();
  logLine(LogLevel::Info, "gateway stopping",
          {{"requests", concat(this->Forward.running())},
           {"partitions", concat(this->Batches.owned())}});
  this->CallerServer->beginDrain();
  this->PeerServer->beginDrain();
  this->Batches.handOver([this] { this->PartitionsHandedOver = true; });
  this->stopWhenIdle();
}

void Gateway::stopWhenIdle() {
  const Millis Since = steadyNow() - this->StopRequestedAt;
  const bool Idle = this->CallerServer->inFlight() == 0 &&
                    this->PeerServer->inFlight() == 0 &&
                    this->PartitionsHandedOver;
  if (Since >= StopAcceptTime && !this->CallerServerStopped) {
    this->CallerServerStopped = true;
    this->CallerServer->beginStop([] {});
  }
  if ((Idle && Since >= StopAcceptTime) || steadyNow() >= this->stopLimit()) {
    logLine(LogLevel::Info, "gateway ended",
            {{"requests", concat(this->CallerServer->inFlight())}});
    this->Forward.endAll();
    this->Events.callAfter(StopFlushTime, [this] { this->Events.stop(); });
    return;
  }
  this->Events.callAfter(StopCheckInterval, [this] { this->stopWhenIdle(); });
}

} // namespace camphornotch
