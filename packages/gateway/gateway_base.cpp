/// @file
/// A gateway: takes callers' requests and brings them to endpoints.

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

/// Largest body taken before any configuration says less; the sites' limit
/// with room.
constexpr size_t MaxBodyBytes = size_t{40} << 20;
/// Bytes of a stream that wait for its caller before no more of it is read: the
/// largest event.
constexpr size_t MostUnsentBytes = MostEventBytes;
/// Part of a caller's time that is kept for the way of the answer back.
constexpr Millis AnswerMargin{15};
/// Time of a caller that names none.
constexpr Millis DefaultTimeLeft{30'000};
/// Retry-After of a gateway that has no configuration yet, or has not read the
/// endpoints: both are read within a second of its start.
constexpr Millis RetryStarting{500};
/// Time after SIGTERM in which callers still come: the platform takes a host
/// out after two probes, a second apart.
constexpr Millis StopAccept{3'200};
/// Time before the end of the grace period at which the process ends anyway.
constexpr Millis StopMargin{500};
/// Pause between looks for the end.
constexpr Millis StopLook{50};

/// Upper bounds of the request histogram's buckets, in seconds.
const prometheus::Histogram::BucketBoundaries RequestBounds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

/// @param Request a request.
/// @return path and query as they came.
std::string wholePath(const HttpRequest &Request) {
  return Request.Query.empty() ? Request.Path
                               : concat(Request.Path, "?", Request.Query);
}

} // namespace

Gateway::Gateway(Loop &Events, const GatewaySettings &Settings)
    : Events(Events), Settings(Settings), Http(Events), StoreHttp(Events),
      Store(Events, StoreHttp,
            HttpTarget{Settings.Store.Ip, Settings.Store.Port}),
      Pool(
          Geography{Settings.Common.DataCentre, parseRegions(Settings.Regions)},
          parseEndpointChoice(Settings.EndpointChoice)),
      Peers(
          Events, this->Settings.Common, Store, Values,
          PeerTaskEvents{
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [this](const wire::EngineStatePush &State) {
                this->onEngineState(State);
              },
              [](const wire::WeightsAnnounce &) {},
              [this](const wire::CrashReport &Report) {
                for (const int64_t Digest : Report.Digests)
                  this->Suspects.add(RequestDigest{Digest},
                                     EndpointId{Report.Endpoint}, steadyNow());
              },
              [this](const HostId &) {
                const std::map<std::string, int64_t> Known = this->Demands;
                this->Demands.clear();
                for (const auto &[Model, Version] : Known)
                  this->demand(Model, Version);
              }}),
      Published(Events, Store, std::string(platform::OperatorTopic),
                loggedFollowing("published values",
                                [this](const KeyedRecord &Record) {
                                  this->onPublished(Record);
                                })),
      Directory(Events, Store, Pool,
                [this] {
                  this->linkLoaders();
                  this->Batches.wake();
                }),
      Forward(Events, Http, Pool, Counts),
      Batches(
          BatchTaskParts{Events, Http, Store, Pool, Forward, Counts},
          this->Settings,
          [this]() -> const RouteTable & { return this->Routes; },
          [this](const std::string &Model, int64_t Version) {
            this->demand(Model, Version);
          }),
      Draws(std::random_device{}()),
      RequestSeconds(Counts.histogram("request_seconds",
                                      "Time of callers' requests, in seconds.",
                                      RequestBounds)) {
  this->Store.setRelay([this](const platform::RawStoreCall &Call,
                              platform::RawStoreReply Reply) {
    return this->Peers.relay(Call, std::move(Reply));
  });
}

Result<void> Gateway::listen() {
  const Result<uint16_t> Linked = this->Peers.listen();
  if (!Linked.has_value())
    return Linked.error();
  HttpServerConfig ForProbes;
  ForProbes.Address = this->Settings.Common.ListenHttp.Ip;
  ForProbes.Port = this->Settings.Common.ListenHttp.Port;
  auto Probed =
      HttpServer::listen(this->Events, ForProbes,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->onProbe(Exchange);
                         });
  if (!Probed.has_value())
    return Probed.error();
  this->Probes = std::move(Probed.value());
  HttpServerConfig Peers;
  Peers.Address = this->Settings.ListenPeers.Ip;
  Peers.Port = this->Settings.ListenPeers.Port;
  auto Asked =
      HttpServer::listen(this->Events, Peers,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->Batches.onPeer(Exchange);
                         });
  if (!Asked.has_value())
    return Asked.error();
  this->ForPeers = std::move(Asked.value());
  HttpServerConfig ForCallers;
  ForCallers.Address = this->Settings.Front.Ip;
  ForCallers.Port = this->Settings.Front.Port;
  ForCallers.MaxBodyBytes = MaxBodyBytes;
  auto Fronted =
      HttpServer::listen(this->Events, ForCallers,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           this->onRequest(Exchange);
                         });
  if (!Fronted.has_value())
    return Fronted.error();
  this->Front = std::move(Fronted.value());
  return boost::outcome_v2::success();
}

Result<void> Gateway::begin() {
  const Result<void> Listens = this->listen();
  if (!Listens.has_value())
    return Listens.error();
  this->Events.takeSignals([this](int) { this->beginStop(); }, logReload);
  this->Published.begin();
  this->Directory.begin();
  this->Batches.begin(
      Address{this->Settings.ListenPeers.Ip, this->ForPeers->port()});
  logLine(LogLevel::Info, "gateway started",
          {{"data_centre", this->Settings.Common.DataCentre}});
  return boost::outcome_v2::success();
}

HttpTarget Gateway::front() const {
  return HttpTarget{this->Settings.Front.Ip, this->Front->port()};
}

std::string_view Gateway::whyNotReady() const {
  if (this->StopAt > Millis{0})
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

void Gateway::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  if (this->Routes.Version == 0) {
    this->Counts.countRefusal(RefusalReason::Starting);
    this->refuse(Exchange, StatusUnavailable, "starting", RetryStarting);
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
  const platform::CallerAsk Ask = platform::decodeCallerRequest(Request);
  if (const auto *Routed = std::get_if<platform::RoutedRequest>(&Ask))
    this->onRouted(Exchange, *Routed);
  else if (const auto *Read = std::get_if<platform::ResultsRead>(&Ask))
    this->Batches.readResults(Exchange, *Read);
  else if (const auto *Body = std::get_if<platform::ItemBodyRead>(&Ask))
    this->Batches.readBody(Exchange, *Body);
  else
    this->Batches.endSubmission(Exchange,
                                std::get<platform::SubmissionEnding>(Ask));
}

void Gateway::onRouted(const std::shared_ptr<HttpExchange> &Exchange,
                       const platform::RoutedRequest &Asked) {
  const HttpRequest &Request = Exchange->request();
  const Route *By = findRoute(this->Routes, Request.Authority, Request.Path);
  if (By == nullptr) {
    this->Counts.countRefusal(RefusalReason::UnknownPath);
    this->refuse(Exchange, StatusNotFound, "no route", Millis{0});
    return;
  }
  if (By->Kind == RouteKind::Rollout)
    this->Batches.submit(Exchange, Asked);
  else
    this->forward(Exchange, Asked, *By);
}

void Gateway::forward(const std::shared_ptr<HttpExchange> &Exchange,
                      const platform::RoutedRequest &Asked, const Route &By) {
  const HttpRequest &Request = Exchange->request();
  const Millis Now = steadyNow();
  const RequestDigest Digest =
      digestOf(Request.Authority, wholePath(Request), Request.Body);
  if (this->Suspects.isQuarantined(Digest, Now)) {
    this->Counts.countRefusal(RefusalReason::Quarantined);
    this->refuse(Exchange, StatusBadGateway, "quarantined", Millis{0});
    return;
  }
  Millis TimeLeft = Asked.TimeLeft == Never ? DefaultTimeLeft : Asked.TimeLeft;
  if (By.Timeout > Millis{0})
    TimeLeft = std::min(TimeLeft, By.Timeout);
  ForwardJob Job;
  Job.Need.By = By;
  Job.Need.Service = drawService(By, this->Draws());
  Job.Need.Arrived = Now;
  Job.Need.Deadline = Now + TimeLeft - AnswerMargin;
  Job.Request.Method = Request.Method;
  Job.Request.Path = wholePath(Request);
  Job.Request.Host = Request.Authority;
  Job.Request.Headers = Request.Headers;
  Job.Request.Body = Request.Body;
  Job.Request.RequestId = Asked.RequestId;
  Job.Request.EventsHad = Asked.EventsHad;
  const auto Log = [this, Now, Id = Asked.RequestId, Service = Job.Need.Service,
                    Version = this->Routes.Version](int Status,
                                                    std::string_view Cause) {
    const Millis Took = steadyNow() - Now;
    constexpr double MillisASecond = 1000.0;
    this->RequestSeconds.Observe(static_cast<double>(Took.Count) /
                                 MillisASecond);
    logLine(LogLevel::Info, "request answered",
            {{"request_id", Id},
             {"service", Service},
             {"status", concat(Status)},
             {"cause", Cause},
             {"took_ms", concat(Took.Count)},
             {"config", concat(Version)}});
  };
  ForwardSink Sink;
  Sink.Broken = [this, Digest](const EndpointId &Endpoint) {
    this->reportBroken(Digest, Endpoint);
  };
  Sink.Answer = [Exchange, Log](const HttpResponse &Response) {
    Log(Response.Status, "endpoint");
    Exchange->answer(Response);
  };
  Sink.Refuse = [Exchange, Log](const EndRequest &End) {
    Log(End.Status, End.Reason);
    Exchange->answer(
        platform::encodeRefusal(End.Status, End.Reason, End.RetryAfter));
  };
  Sink.StreamStart = [Exchange](HttpResponse Head) {
    Exchange->start(std::move(Head));
  };
  const auto Own = std::make_shared<ForwardId>();
  Sink.StreamPart = [this, Exchange, Own](std::string_view Part) {
    Exchange->write(Part);
    if (Exchange->unsentBytes() > MostUnsentBytes)
      this->Forward.pause(*Own);
  };
  Sink.StreamEnd = [Exchange, Log](bool Whole) {
    Log(StatusOk, Whole ? "stream ended" : "stream broken off");
    if (Whole)
      Exchange->finish();
    else
      Exchange->abort();
  };
  const ForwardId Id = this->Forward.start(std::move(Job), std::move(Sink));
  *Own = Id;
  Exchange->onDrained([this, Id] { this->Forward.resume(Id); });
  Exchange->onGone([this, Id, Request = Asked.RequestId] {
    logLine(LogLevel::Info, "caller left", {{"request_id", Request}});
    this->Forward.cancel(Id);
  });
}

void Gateway::onPublished(const KeyedRecord &Record) {
  if (!this->Values.take(Record))
    return;
  if (Record.Key == platform::ConfigKey)
    this->applyConfig(Record);
  this->Peers.announce();
}

void Gateway::applyConfig(const KeyedRecord &Record) {
  Result<RouteTable> Read = platform::decodeRouteTable(Record.Value);
  if (!Read.has_value()) {
    logLine(
        LogLevel::Error, "configuration not readable; the old one holds",
        {{"offset", concat(Record.Offset)}, {"cause", Read.error().Message}});
    return;
  }
  if (Read.value().Version <= this->Routes.Version)
    return;
  logLine(LogLevel::Info, "configuration in force",
          {{"version", concat(Read.value().Version)},
           {"version_before", concat(this->Routes.Version)},
           {"offset", concat(Record.Offset)},
           {"routes", concat(Read.value().Routes.size())}});
  this->Routes = std::move(Read.value());
  this->Front->setTimeouts(this->Routes.Limits.HeaderTimeout,
                           this->Routes.Limits.IdleTimeout);
  this->linkLoaders();
  this->Batches.routesChanged();
}

void Gateway::linkLoaders() {
  std::set<HttpTarget> Wanted;
  for (const auto &[Id, State] : this->Pool.all()) {
    const ServiceInfo *Service =
        findService(this->Routes, State.Record.Service);
    if (Service != nullptr && Service->Engine.has_value())
      Wanted.insert(HttpTarget{State.Record.Where.Ip,
                               this->Settings.Common.ListenLinks.Port});
  }
  for (const HttpTarget &Where : Wanted)
    if (!this->Loaders.contains(Where))
      this->Peers.connect(Where);
  for (const HttpTarget &Where : this->Loaders)
    if (!Wanted.contains(Where))
      this->Peers.disconnect(Where);
  this->Loaders = std::move(Wanted);
}

void Gateway::onEngineState(const wire::EngineStatePush &State) {
  const auto Colon = State.Address.rfind(':');
  const Result<HttpTarget> Where = parseTarget(State.Address);
  if (Colon == std::string::npos || !Where.has_value()) {
    logLine(LogLevel::Warn, "state of an engine without address left out",
            {{"address", State.Address}});
    return;
  }
  EngineLoad Load;
  Load.Running = State.Running;
  Load.Waiting = State.Waiting;
  Load.LoadingModel = State.LoadingModel;
  for (const wire::ModelVersion &Each : State.Versions)
    Load.Versions[Each.Model] = Each.Version;
  this->Pool.loadReported(Address{Where.value().Address, Where.value().Port},
                          Load, steadyNow());
  if (this->Batches.scheduler().waiting() > 0)
    this->Batches.wake();
}

void Gateway::demand(const std::string &Model, int64_t Version) {
  int64_t &Known = this->Demands[Model];
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

void Gateway::reportBroken(RequestDigest Digest, const EndpointId &Endpoint) {
  const Millis Now = steadyNow();
  this->Suspects.forgetOld(Now);
  if (!this->Suspects.add(Digest, Endpoint, Now))
    return;
  wire::CrashReport Report;
  Report.Endpoint = Endpoint.Value;
  Report.Digests = {Digest.Value};
  wire::PeerMessage Message;
  Message.__set_CrashReportMsg(Report);
  this->Peers.broadcast(Message);
}

void Gateway::beginStop() {
  if (this->StopAt > Millis{0})
    return;
  this->StopAt = steadyNow();
  logLine(LogLevel::Info, "gateway stops",
          {{"requests", concat(this->Forward.running())},
           {"partitions", concat(this->Batches.owned())}});
  this->Front->beginDrain();
  this->ForPeers->beginDrain();
  this->Batches.handOver([this] { this->HandedOver = true; });
  this->lookForEnd();
}

void Gateway::lookForEnd() {
  const Millis Since = steadyNow() - this->StopAt;
  const bool Idle = this->Front->inFlight() == 0 &&
                    this->ForPeers->inFlight() == 0 && this->HandedOver;
  const Millis Most = parseGrace(this->Settings.GraceSeconds) - StopMargin;
  if ((Idle && Since >= StopAccept) || Since >= Most) {
    logLine(LogLevel::Info, "gateway ended",
            {{"requests", concat(this->Front->inFlight())}});
    this->Events.stop();
    return;
  }
  this->Events.callAfter(StopLook, [this] { this->lookForEnd(); });
}

} // namespace camphornotch
