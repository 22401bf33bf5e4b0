/// @file
/// Gateway process: accepts callers' requests and forwards them to endpoints.

#include "gateway/gateway_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/client_limits_func.h"
#include "gateway/engine_state_func.h"
#include "gateway/gateway_settings_func.h"
#include "platform/operator_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Body limit of the HTTP server, with room above the limit of the sites; a
/// configuration may set a lower one.
constexpr size_t MaxBodyBytes = size_t{40} << 20;
/// Time after SIGTERM during which callers may still connect: the platform
/// removes a host after two failed probes, one second apart.
constexpr Millis StopAcceptTime{3'200};
/// Time after SIGTERM from which a request is served only if its deadline is
/// before the end of the process. Callers must expect an earlier one to be cut.
constexpr Millis StopServeAllTime{2'900};
/// Limit on that time as a part of the grace period.
constexpr int64_t StopServeAllPercent = 37;
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
    : Events(Events), Settings(Settings),
      Limits(makeClientLimits(Events, Settings.Common, MaxBodyBytes)),
      Http(Events), StoreHttp(Events),
      Store(Events, StoreHttp,
            HttpTarget{Settings.Store.Ip, Settings.Store.Port}),
      Access(Counts), Pool(Geography{Settings.Common.DataCentre,
                                     parseRegions(Settings.Regions)},
                           parseEndpointChoice(Settings.EndpointChoice)),
      Usage(Events, this->Settings.Common,
            [this](const HostId &Peer, const wire::PeerMessage &Message) {
              this->Peers.send(Peer, Message);
            }),
      Peers(
          Events, this->Settings.Common, Store, Values,
          PeerTaskCallbacks{
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [this](const wire::EngineStatePush &State) {
                this->onEngineState(State);
              },
              [](const wire::WeightsAnnounce &) {},
              [this](const wire::CrashReport &Report) {
                this->Suspects.onReport(Report);
              },
              [this](const HostId &Peer) {
                this->Suspects.onLinkUp(Peer);
                const std::map<std::string, int64_t> Known =
                    this->RequiredVersions;
                this->RequiredVersions.clear();
                for (const auto &[Model, Version] : Known)
                  this->requireVersion(Model, Version);
              },
              [this](const HostId &Peer) { this->Usage.onLinkDown(Peer); },
              {},
              [this] { return this->wantsLoad(); },
              Usage.enabled(),
              [this](const HostId &Peer, int64_t WallMs) {
                this->Usage.onWallClock(Peer, WallMs);
              },
              {},
              [this](const HostId &Peer, const wire::DutyHolderPush &Holder) {
                this->Usage.onHolder(Peer, Holder);
              },
              [this](const HostId &Peer, const wire::SuspectsPush &Push) {
                this->Suspects.onPush(Peer, Push);
              }}),
      Suspects(Peers, Counts, SuspectRelay::None),
      SuspectRecords(Events, Store,
                     [this](const wire::SuspectState &State) {
                       this->Suspects.onRecord(State);
                     }),
      Published(
          Events, Store, std::string(platform::OperatorTopic),
          loggingCallbacks(
              "published values",
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [this] { this->Peers.pullAll(); })),
      Directory(Events, Store, Pool,
                [this] {
                  this->connectLoaders();
                  this->Forward.poolChanged();
                  this->Batches.wake();
                }),
      Forward(Events, Http, Pool, Counts),
      Origins(Events, Store, this->Settings.Common.Host,
              this->Settings.Partitions),
      Batches(
          BatchTaskDependencies{Events, Http, Store, Pool, Forward, Counts},
          this->Settings,
          [this]() -> const RouteTable & { return this->Routes; },
          [this](const std::string &Model, int64_t Version) {
            this->requireVersion(Model, Version);
          }),
      RequestWork(Counts, WorkUnit::Millis), Random(std::random_device{}()),
      RequestSeconds(Counts.histogram("request_seconds",
                                      "Time of callers' requests, in seconds.",
                                      RequestBounds)) {
  this->Suspects.keepIn(this->SuspectRecords);
  this->Http.setLimits(this->Limits);
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
  limitServer(ProbeConfig, this->Limits, ClientPort::Probes);
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
  limitServer(PeerConfig, this->Limits, ClientPort::Peers);
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
  limitServer(CallerConfig, this->Limits, ClientPort::Callers);
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
  this->SuspectRecords.begin();
  this->Batches.begin(
      Address{this->Settings.ListenPeers.Ip, this->PeerServer->port()});
  logLine(LogLevel::Info, "gateway started",
          {{"data_centre", this->Settings.Common.DataCentre}});
  return boost::outcome_v2::success();
}

HttpTarget Gateway::callerTarget() const {
  return HttpTarget{this->Settings.Front.Ip, this->CallerServer->port()};
}

Millis Gateway::serveAllTime() const {
  constexpr int64_t Whole = 100;
  const Millis Grace = parseGracePeriod(this->Settings.GraceSeconds);
  return std::min(StopServeAllTime,
                  Millis{Grace.Count * StopServeAllPercent / Whole});
}

Millis Gateway::stopLimit() const {
  return this->StopRequestedAt + parseGracePeriod(this->Settings.GraceSeconds) -
         StopMargin;
}

bool Gateway::mayStart(Millis Deadline) const {
  if (this->StopRequestedAt == Millis{0})
    return true;
  const Millis Since = steadyNow() - this->StopRequestedAt;
  return Since < this->serveAllTime() ||
         (Since < StopAcceptTime && Deadline < this->stopLimit());
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
  if (this->Routes.SkippedAccounts > 0)
    logLine(LogLevel::Warn, "unreadable accounts of a configuration skipped",
            {{"count", concat(this->Routes.SkippedAccounts)},
             {"version", concat(this->Routes.Version)}});
  if (this->Routes.Accounts != nullptr)
    for (const KeyConflict &Each : this->Routes.Accounts->conflicts())
      logLine(LogLevel::Warn, "key of two accounts; the first one keeps it",
              {{"account", Each.Kept},
               {"ignored_account", Each.Ignored},
               {"version", concat(this->Routes.Version)}});
  this->CallerServer->setTimeouts(this->Routes.Limits.HeaderTimeout,
                                  this->Routes.Limits.IdleTimeout);
  if (this->Limits != nullptr)
    applyBodyLimit(*this->Limits, *this->CallerServer, this->Settings.Common,
                   this->Routes.Limits.BodyBytes);
  this->connectLoaders();
  this->Batches.routesChanged();
}

bool Gateway::hasLoader(const EndpointRecord &Record) const {
  // Without a configuration, a loader may be the only one that still has it.
  if (this->Routes.Version == 0)
    return !Record.Versions.empty();
  const ServiceInfo *Service = findService(this->Routes, Record.Service);
  return Service != nullptr && Service->Engine.has_value();
}

void Gateway::connectLoaders() {
  std::set<HttpTarget> Wanted;
  for (const auto &[Id, State] : this->Pool.all()) {
    if (this->hasLoader(State.Record))
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
  const Result<ReportedEngine> Engine = decodeEngineState(State);
  if (!Engine.has_value()) {
    logLine(LogLevel::Warn, "ignored an engine state with an invalid address",
            {{"address", State.Address}});
    return;
  }
  this->Pool.loadReported(Engine.value().ListenAddress, Engine.value().Load,
                          steadyNow());
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
