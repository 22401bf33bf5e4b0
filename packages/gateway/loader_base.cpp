/// @file
/// Loader process: runs next to one engine and orders it to load newer weights.

#include "gateway/loader_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/duties/duty_candidate_func.h"
#include "core/loads/engine_place_func.h"
#include "gateway/client_limits_func.h"
#include "gateway/engine_state_func.h"
#include "gateway/gateway_settings_func.h"
#include "platform/engine_func.h"
#include "platform/operator_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Topic whose offsets serve as fencing numbers.
constexpr const char *FencingTopic = "loader-starts";
/// Timeout of the append that allocates a fencing number.
constexpr Millis FencingTimeout{1'000};
/// Pause before that append is retried.
constexpr Millis FencingRetryPause{200};

} // namespace

Loader::Loader(Loop &Events, const LoaderSettings &Settings)
    : Events(Events), Settings(Settings), Http(Events),
      Store(Events, Http,
            HttpTarget{Settings.LoaderStore.Ip, Settings.LoaderStore.Port}),
      Pool(Geography{Settings.Common.DataCentre, {}}),
      Duties(Events, Http, Store, this->Settings.Common, Counts,
             this->dutyCallbacks()),
      Peers(
          Events, this->Settings.Common, Store, Values,
          PeerTaskCallbacks{
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [](const wire::EngineStatePush &) {},
              [this](const wire::WeightsAnnounce &Demand) {
                this->Controller.versionRequired(Demand.Model, Demand.Version);
              },
              [this](const wire::CrashReport &Report) {
                this->Suspects.onReport(Report);
              },
              [this](const HostId &Peer) {
                this->Suspects.onLinkUp(Peer);
                if (this->LastReport.Sequence >= 0)
                  this->Peers.send(Peer, this->stateMessage());
              },
              [this](const HostId &Peer) {
                this->Pushes.remove(Peer);
                this->Duties.onLinkDown(Peer);
              },
              [this](const HostId &Peer, bool Wanted) {
                this->Pushes.setWanted(Peer, Wanted);
              },
              {},
              Duties.enabled(),
              [this](const HostId &Peer, int64_t WallMs) {
                this->Duties.onWallClock(Peer, WallMs);
              },
              [this](const wire::UsageCountsPush &Counts) {
                this->Duties.onCounts(Counts);
              },
              {},
              [this](const HostId &Peer, const wire::SuspectsPush &Push) {
                this->Suspects.onPush(Peer, Push);
              }}),
      Suspects(Peers, Counts, SuspectRelay::AllPeers),
      Published(
          Events, Store, std::string(platform::OperatorTopic),
          loggingCallbacks(
              "published values",
              [this](const KeyedRecord &Record) { this->onPublished(Record); },
              [this] { this->Peers.pullAll(); })),
      Directory(Events, Store, Pool, [this] { this->updatePlace(); }) {
  this->LastReport.Sequence = -1;
  this->Store.setRelay([this](const platform::RawStoreCall &Call,
                              platform::RawStoreCallback Reply) {
    return this->Peers.relay(Call, std::move(Reply));
  });
}

DutyTaskCallbacks Loader::dutyCallbacks() {
  return DutyTaskCallbacks{[this] {
                             // While entries are missing, every loader would
                             // rank among the first.
                             return this->Directory.complete() &&
                                    isDutyCandidate(UsageDuty, this->Pool.all(),
                                                    this->EngineId);
                           },
                           [this] { return this->Peers.peers(); },
                           [this](const wire::PeerMessage &Message) {
                             this->Peers.broadcast(Message);
                           }};
}

Result<void> Loader::begin() {
  const Result<uint16_t> Linked = this->Peers.listen();
  if (!Linked.has_value())
    return Linked.error();
  const HttpServerConfig Config =
      probeServerConfig(this->Events, this->Settings.Common);
  auto Listener =
      HttpServer::listen(this->Events, Config,
                         [this](const std::shared_ptr<HttpExchange> &Exchange) {
                           HttpResponse Response;
                           Response.ContentType = "text/plain";
                           setLogGauge(this->Counts);
                           Response.Body = this->Counts.text();
                           Exchange->answer(Response);
                         });
  if (!Listener.has_value())
    return Listener.error();
  this->MetricsServer = std::move(Listener.value());
  this->Events.handleSignals(
      [this](int) {
        this->Duties.stop([this] {
          logLine(LogLevel::Info, "loader ended");
          this->Events.stop();
        });
      },
      logSettingsChanged);
  this->Published.begin();
  this->Directory.begin();
  this->requestFencingNumber();
  this->requestReport();
  this->Duties.begin();
  logLine(LogLevel::Info, "loader started",
          {{"service", this->Settings.EngineService}});
  return boost::outcome_v2::success();
}

void Loader::onPublished(const KeyedRecord &Record) {
  if (!this->Values.update(Record))
    return;
  this->Peers.announce();
  const std::optional<std::string> Model = platform::modelOfKey(Record.Key);
  if (!Model.has_value())
    return;
  const Result<int64_t> Version = platform::decodeNamedVersion(Record.Value);
  if (!Version.has_value()) {
    logLine(LogLevel::Warn, "announced version not readable",
            {{"key", Record.Key}, {"cause", Version.error().Message}});
    return;
  }
  logLine(LogLevel::Info, "version announced",
          {{"model", *Model},
           {"version", concat(Version.value())},
           {"offset", concat(Record.Offset)}});
  this->Controller.versionAnnounced(*Model, Version.value(), steadyNow());
}

void Loader::requestFencingNumber() {
  const std::string Host = this->Settings.Common.Host;
  this->Store.append(PartitionId{FencingTopic, 0}, std::span(&Host, 1),
                     FencingTimeout,
                     [this](const StoreResult<int64_t> &Offset) {
                       if (Offset.has_value()) {
                         this->FencingNumber = Offset.value() + 1;
                         logLine(LogLevel::Info, "fencing number taken",
                                 {{"fence", concat(this->FencingNumber)}});
                         return;
                       }
                       this->Events.callAfter(FencingRetryPause, [this] {
                         this->requestFencingNumber();
                       });
                     });
}

void Loader::updatePlace() {
  const auto OwnEngine =
      findOwnEngine(this->Pool.all(), this->Settings.EngineService,
                    this->Settings.Engine, this->RejectedIds);
  this->EngineId = OwnEngine.has_value() ? OwnEngine->Id : EndpointId{};
  if (OwnEngine.has_value())
    this->Controller.placeChanged(OwnEngine->Place, steadyNow());
}

void Loader::requestReport() {
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this](const HttpResponse &Response) {
    const Result<EngineReport> Decoded =
        platform::decodeEngineReport(Response.Body);
    if (Response.Status == StatusOk && Decoded.has_value())
      this->onReport(Decoded.value());
    else
      logLine(LogLevel::Warn, "engine's report not readable",
              {{"status", concat(Response.Status)}});
    this->Events.callAfter(this->Settings.ReportPoll,
                           [this] { this->requestReport(); });
  };
  Callbacks.Failed = [this](const HttpFailure &Failure) {
    if (this->LastReport.Sequence >= 0)
      logLine(LogLevel::Warn, "engine lost",
              {{"cause", Failure.Cause.Message}});
    this->LastReport.Sequence = -1;
    this->Pace.reset();
    this->Controller.engineLost();
    this->Events.callAfter(this->Settings.ReportPoll,
                           [this] { this->requestReport(); });
  };
  this->Http.start(platform::reportCall(this->Settings.Engine),
                   std::move(Callbacks));
}

void Loader::onReport(const EngineReport &Report) {
  if (this->LastReport.Sequence < 0)
    logLine(LogLevel::Info, "engine answers",
            {{"sequence", concat(Report.Sequence)}});
  this->LastReport = Report;
  this->Pace.reported(Report.Runs, steadyNow());
  if (!Report.Busy)
    this->LoadingModel.clear();
  if (this->FencingNumber > 0 && !this->EngineId.Value.empty())
    if (const auto Order = this->Controller.decide(Report, steadyNow()))
      this->sendOrder(*Order);
  this->pushState();
}

void Loader::pushState() {
  EngineLoad State;
  State.LoadingModel = this->LoadingModel;
  for (const auto &[Model, Version] : this->LastReport.Versions)
    State.Versions[Model] = Version;
  const wire::PeerMessage Message = this->stateMessage();
  const std::vector<HostId> Gateways = this->Peers.peers();
  for (const HostId &Gateway :
       this->Pushes.recipients(Gateways, State, steadyNow()))
    this->Peers.send(Gateway, Message);
}

void Loader::sendOrder(const LoadOrder &Order) {
  logLine(LogLevel::Info, "load ordered",
          {{"engine", this->EngineId.Value},
           {"model", Order.Model},
           {"version", concat(Order.Version)},
           {"expected_sequence", concat(Order.ExpectedSequence)},
           {"fence", concat(this->FencingNumber)}});
  this->Controller.orderSent(steadyNow());
  this->LoadingModel = Order.Model;
  HttpCallbacks Callbacks;
  Callbacks.Finished =
      [this, Order, EngineId = this->EngineId](const HttpResponse &Response) {
        const bool Accepted =
            Response.Status == StatusOk || Response.Status == StatusAccepted;
        logLine(LogLevel::Info, "order answered",
                {{"model", Order.Model},
                 {"version", concat(Order.Version)},
                 {"status", concat(Response.Status)}});
        if (!Accepted)
          this->LoadingModel.clear();
        if (Response.Status == StatusMisdirected) {
          this->RejectedIds.insert(EngineId);
          this->Controller.engineLost();
          this->updatePlace();
        }
        this->Controller.orderAnswered(Accepted, steadyNow());
      };
  Callbacks.Failed = [this, Order](const HttpFailure &Failure) {
    logLine(LogLevel::Warn, "order not answered",
            {{"model", Order.Model},
             {"version", concat(Order.Version)},
             {"cause", Failure.Cause.Message}});
    this->Counts.countRetry(RetryReason::SwapUnanswered);
  };
  this->Http.start(
      platform::orderCall(this->Settings.Engine, this->EngineId, Order,
                          platform::OrderIssuer{this->Settings.Common.Host,
                                                this->FencingNumber}),
      std::move(Callbacks));
}

wire::PeerMessage Loader::stateMessage() const {
  return encodeEngineState(this->Settings.Engine, this->LastReport,
                           this->LoadingModel, this->Pace.paceMs(steadyNow()));
}

} // namespace camphornotch
