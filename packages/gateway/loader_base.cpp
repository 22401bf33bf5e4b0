/// @file
/// A loader: stands beside one engine and orders it to load newer weights.

#include "gateway/loader_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/loads/engine_place_func.h"
#include "gateway/gateway_settings_func.h"
#include "platform/engine_func.h"
#include "platform/operator_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// The topic from whose offsets fencing numbers are taken.
constexpr const char *FenceTopic = "loader-starts";
/// Time for the append that gives one.
constexpr Millis FenceTimeout{1'000};
/// Pause before it is tried again.
constexpr Millis FencePause{200};

} // namespace

Loader::Loader(Loop &Events, const LoaderSettings &Settings)
    : Events(Events), Settings(Settings), Http(Events),
      Store(Events, Http,
            HttpTarget{Settings.LoaderStore.Ip, Settings.LoaderStore.Port}),
      Pool(Geography{Settings.Common.DataCentre, {}}),
      Peers(
          Events, this->Settings.Common, Store, Values,
          PeerTaskEvents{
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [](const wire::EngineStatePush &) {},
              [this](const wire::WeightsAnnounce &Demand) {
                this->Controller.versionRequired(Demand.Model, Demand.Version);
              },
              [this](const wire::CrashReport &Report) { this->passOn(Report); },
              [this](const HostId &Peer) {
                if (this->Report.Sequence >= 0)
                  this->Peers.send(Peer, this->stateMessage());
              }}),
      Published(Events, Store, std::string(platform::OperatorTopic),
                loggedFollowing("published values",
                                [this](const KeyedRecord &Record) {
                                  this->onPublished(Record);
                                })),
      Directory(Events, Store, Pool, [this] { this->place(); }) {
  this->Report.Sequence = -1;
  this->Store.setRelay([this](const platform::RawStoreCall &Call,
                              platform::RawStoreReply Reply) {
    return this->Peers.relay(Call, std::move(Reply));
  });
}

Result<void> Loader::begin() {
  const Result<uint16_t> Linked = this->Peers.listen();
  if (!Linked.has_value())
    return Linked.error();
  HttpServerConfig Config;
  Config.Address = this->Settings.Common.ListenHttp.Ip;
  Config.Port = this->Settings.Common.ListenHttp.Port;
  auto Probed =
      HttpServer::listen(this->Events, Config,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           HttpResponse Response;
                           Response.ContentType = "text/plain";
                           Response.Body = this->Counts.text();
                           Exchange->answer(Response);
                         });
  if (!Probed.has_value())
    return Probed.error();
  this->Probes = std::move(Probed.value());
  this->Events.takeSignals(
      [this](int) {
        logLine(LogLevel::Info, "loader ended");
        this->Events.stop();
      },
      logReload);
  this->Published.begin();
  this->Directory.begin();
  this->takeFence();
  this->askEngine();
  logLine(LogLevel::Info, "loader started",
          {{"service", this->Settings.EngineService}});
  return boost::outcome_v2::success();
}

void Loader::onPublished(const KeyedRecord &Record) {
  if (!this->Values.take(Record))
    return;
  this->Peers.announce();
  const std::optional<std::string> Model = platform::modelOfKey(Record.Key);
  if (!Model.has_value())
    return;
  const Result<int64_t> Version = platform::decodeNamedVersion(Record.Value);
  if (!Version.has_value()) {
    logLine(LogLevel::Warn, "named version not readable",
            {{"key", Record.Key}, {"cause", Version.error().Message}});
    return;
  }
  logLine(LogLevel::Info, "version named",
          {{"model", *Model},
           {"version", concat(Version.value())},
           {"offset", concat(Record.Offset)}});
  this->Controller.versionAnnounced(*Model, Version.value(), steadyNow());
}

void Loader::passOn(const wire::CrashReport &Report) {
  bool News = false;
  for (const int64_t Digest : Report.Digests)
    News |= this->Suspects.add(RequestDigest{Digest},
                               EndpointId{Report.Endpoint}, steadyNow());
  this->Suspects.forgetOld(steadyNow());
  if (!News)
    return;
  wire::PeerMessage Message;
  Message.__set_CrashReportMsg(Report);
  this->Peers.broadcast(Message);
}

void Loader::takeFence() {
  const std::string Mark = this->Settings.Common.Host;
  this->Store.append(PartitionId{FenceTopic, 0}, std::span(&Mark, 1),
                     FenceTimeout, [this](const StoreResult<int64_t> &Offset) {
                       if (Offset.has_value()) {
                         this->Fence = Offset.value() + 1;
                         logLine(LogLevel::Info, "fencing number taken",
                                 {{"fence", concat(this->Fence)}});
                         return;
                       }
                       this->Events.callAfter(FencePause,
                                              [this] { this->takeFence(); });
                     });
}

void Loader::place() {
  const auto Own = findOwnEngine(this->Pool.all(), this->Settings.EngineService,
                                 this->Settings.Engine, this->WrongIds);
  this->Engine = Own.has_value() ? Own->Id : EndpointId{};
  if (Own.has_value())
    this->Controller.placeChanged(Own->Place, steadyNow());
}

void Loader::askEngine() {
  HttpEvents Tell;
  Tell.Finished = [this](const HttpResponse &Response) {
    const Result<EngineReport> Read =
        platform::decodeEngineReport(Response.Body);
    if (Response.Status == StatusOk && Read.has_value())
      this->onReport(Read.value());
    else
      logLine(LogLevel::Warn, "engine's report not readable",
              {{"status", concat(Response.Status)}});
    this->Events.callAfter(this->Settings.ReportPoll,
                           [this] { this->askEngine(); });
  };
  Tell.Failed = [this](const HttpFailure &Failure) {
    if (this->Report.Sequence >= 0)
      logLine(LogLevel::Warn, "engine lost",
              {{"cause", Failure.Cause.Message}});
    this->Report.Sequence = -1;
    this->Controller.engineLost();
    this->Events.callAfter(this->Settings.ReportPoll,
                           [this] { this->askEngine(); });
  };
  this->Http.start(platform::reportCall(this->Settings.Engine),
                   std::move(Tell));
}

void Loader::onReport(const EngineReport &Report) {
  if (this->Report.Sequence < 0)
    logLine(LogLevel::Info, "engine answers",
            {{"sequence", concat(Report.Sequence)}});
  this->Report = Report;
  if (!Report.Busy)
    this->LoadingModel.clear();
  if (this->Fence > 0 && !this->Engine.Value.empty())
    if (const auto Order = this->Controller.decide(Report, steadyNow()))
      this->sendOrder(*Order);
  this->Peers.broadcast(this->stateMessage());
}

void Loader::sendOrder(const LoadOrder &Order) {
  logLine(LogLevel::Info, "load ordered",
          {{"engine", this->Engine.Value},
           {"model", Order.Model},
           {"version", concat(Order.Version)},
           {"expected_sequence", concat(Order.ExpectedSequence)},
           {"fence", concat(this->Fence)}});
  this->Controller.orderSent(steadyNow());
  this->LoadingModel = Order.Model;
  HttpEvents Tell;
  Tell.Finished = [this, Order,
                   Engine = this->Engine](const HttpResponse &Response) {
    const bool Accepted =
        Response.Status == StatusOk || Response.Status == StatusAccepted;
    logLine(LogLevel::Info, "order answered",
            {{"model", Order.Model},
             {"version", concat(Order.Version)},
             {"status", concat(Response.Status)}});
    if (!Accepted)
      this->LoadingModel.clear();
    if (Response.Status == StatusMisdirected) {
      this->WrongIds.insert(Engine);
      this->Controller.engineLost();
      this->place();
    }
    this->Controller.orderAnswered(Accepted, steadyNow());
  };
  Tell.Failed = [this, Order](const HttpFailure &Failure) {
    logLine(LogLevel::Warn, "order not answered",
            {{"model", Order.Model},
             {"version", concat(Order.Version)},
             {"cause", Failure.Cause.Message}});
    this->Counts.countRetry(RetryReason::SwapUnanswered);
  };
  this->Http.start(
      platform::orderCall(
          this->Settings.Engine, this->Engine, Order,
          platform::OrderIssuer{this->Settings.Common.Host, this->Fence}),
      std::move(Tell));
}

wire::PeerMessage Loader::stateMessage() const {
  wire::EngineStatePush State;
  State.Address =
      concat(this->Settings.Engine.Ip, ":", this->Settings.Engine.Port);
  for (const auto &[Model, Version] : this->Report.Versions) {
    wire::ModelVersion Each;
    Each.Model = Model;
    Each.Version = Version;
    State.Versions.push_back(std::move(Each));
  }
  State.Running = static_cast<int32_t>(this->Report.Running);
  State.Waiting = static_cast<int32_t>(this->Report.Waiting);
  State.Loading = this->Report.Busy;
  State.LoadingModel = this->LoadingModel;
  wire::PeerMessage Message;
  Message.__set_EngineStateMsg(State);
  return Message;
}

} // namespace camphornotch
