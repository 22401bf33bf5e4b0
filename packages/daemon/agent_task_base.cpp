/// @file
/// The agent's task: events in, actions out.

#include "daemon/agent_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/refusal_func.h"
#include "daemon/agent_settings_func.h"
#include "daemon/config_note_func.h"
#include "net/link_settings_func.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace camphornotch {

namespace {

/// Time between looks at the clocks.
constexpr Millis ClockInterval{250};
/// The shortest gap between looks that counts as a pause.
constexpr Millis PauseBound{2000};
/// Time for the last answers to leave the sockets.
constexpr Millis ExitDelay{100};

} // namespace

AgentTask::AgentTask(Loop &Events, const AgentSettings &Settings, BootId Boot)
    : Events(Events), Settings(Settings), Boot(Boot),
      Controller(controllerSettingsOf(Settings, Boot)), Http(Events),
      Endpoint(Events, this->Http, endpointConfigOf(Settings),
               [this](const AgentEvent &Event) { this->handle(Event); }),
      Links(Events, linkSettingsOf(Settings.Common), this->hello(),
            [this](LinkEvent Event) { this->onLink(std::move(Event)); }),
      Pauses(PauseBound) {
  this->Links.onHeartbeat(
      [this](wire::Heartbeat &Beat) { this->fillHeartbeat(Beat); });
}

Result<void> AgentTask::listen() {
  if (this->Settings.GuardPort != 0) {
    HttpServerConfig Config;
    Config.Port = static_cast<uint16_t>(this->Settings.GuardPort);
    auto Bound = HttpServer::listen(
        this->Events, Config, [](const std::shared_ptr<HttpExchange> &) {});
    if (!Bound.has_value())
      return Bound.error();
    this->Guard = std::move(Bound.value());
  }
  auto LinkPort =
      this->Links.listen(targetOf(this->Settings.Common.ListenLinks));
  if (!LinkPort.has_value())
    return LinkPort.error();
  HttpServerConfig Config;
  Config.Address = this->Settings.Common.ListenHttp.Ip;
  Config.Port = this->Settings.Common.ListenHttp.Port;
  auto Bound = HttpServer::listen(
      this->Events, Config, [this](const std::shared_ptr<HttpExchange> &Call) {
        this->onHttp(Call);
      });
  if (!Bound.has_value())
    return Bound.error();
  this->Server = std::move(Bound.value());
  return boost::outcome_v2::success();
}

void AgentTask::begin() {
  logLine(LogLevel::Info, "agent started",
          {{"endpoint", this->Settings.EndpointName},
           {"boot", absl::StrCat(this->Boot.Value)}});
  this->Events.handleSignals([this](int) {
    logLine(LogLevel::Info, "told to leave by a signal");
    this->handle(LeaveNews{LeaveAsked{LeaveCause::Signal}});
  });
  this->watchClockAgain();
  this->handle(AgentTick{});
}

void AgentTask::handle(const AgentEvent &Event) {
  this->watchClock();
  const auto Actions = this->Controller.handle(Event, this->Events.now());
  for (const AgentAction &Action : Actions)
    std::visit([this](const auto &Each) { this->carry(Each); }, Action);
  this->noteConfig();
  this->planTick();
}

void AgentTask::noteConfig() {
  if (this->Controller.configOffset() == this->NotedConfig)
    return;
  this->NotedConfig = this->Controller.configOffset();
  noteConfigInForce(this->NotedConfig);
}

void AgentTask::planTick() {
  const Millis Due = this->Controller.nextDeadline();
  if (Due == this->TickAt)
    return;
  this->Events.cancel(this->Tick);
  this->TickAt = Due;
  if (Due >= Never)
    return;
  this->Tick = this->Events.callAt(Due, [this] {
    this->TickAt = Never;
    this->handle(AgentTick{});
  });
}

void AgentTask::watchClock() {
  const Millis Pause = this->Pauses.check(steadyNow(), wallNow());
  if (Pause == Millis{0})
    return;
  logLine(LogLevel::Warn, "the process was paused",
          {{"ms", absl::StrCat(Pause.Count)}});
  this->handle(ClockJumped{Pause});
}

void AgentTask::watchClockAgain() {
  this->watchClock();
  this->Events.callAfter(ClockInterval, [this] { this->watchClockAgain(); });
}

void AgentTask::onLink(LinkEvent Event) {
  if (auto *Up = std::get_if<LinkUp>(&Event))
    this->handle(PeerUp{std::move(Up->Peer), BootId{Up->Hello.Boot}});
  else if (auto *Down = std::get_if<LinkDown>(&Event))
    this->handle(PeerDown{std::move(Down->Peer)});
  else if (auto *Message = std::get_if<LinkMessage>(&Event))
    this->handle(
        PeerSaid{std::move(Message->Peer), std::move(Message->Message)});
}

void AgentTask::fillHeartbeat(wire::Heartbeat &Beat) const {
  Beat.ConfigOffset = this->Controller.configOffset().Value;
  Beat.ConfigHash = this->Controller.configHash();
  Beat.__set_Load(this->Controller.load(this->Events.now()));
}

wire::Hello AgentTask::hello() const {
  wire::Hello Hello;
  Hello.Host = this->Settings.Common.Host;
  Hello.Boot = this->Boot.Value;
  Hello.Role = "agent";
  Hello.DataCentre = this->Settings.Common.DataCentre;
  Hello.Region = this->Settings.Common.Region;
  Hello.ConfigOffset = this->Controller.configOffset().Value;
  Hello.Endpoint = this->Settings.EndpointName;
  Hello.EndpointKind = this->Settings.EndpointKind;
  Hello.Serves = this->Settings.Serves;
  Hello.FencingNumber = this->Fence;
  return Hello;
}

void AgentTask::carry(const TellPeer &Action) {
  this->Links.send(Action.Peer, Action.Message);
}

void AgentTask::carry(const BeatAll & /*Action*/) {
  this->Links.sendHeartbeats();
}

void AgentTask::carry(const StartAtEndpoint &Action) {
  logLine(LogLevel::Debug, "work started",
          {{"request_id", Action.Work.RequestId}, {"stream", Action.StreamId}});
  this->Endpoint.start(Action);
}

void AgentTask::carry(const StopAtEndpoint &Action) {
  logLine(LogLevel::Debug, "work stopped", {{"stream", Action.StreamId}});
  this->Endpoint.stop(Action);
}

void AgentTask::carry(const AbandonRun &Action) {
  this->Endpoint.abandon(Action);
}

void AgentTask::carry(const CancelStray &Action) {
  logLine(LogLevel::Warn, "stream of an earlier boot cancelled",
          {{"stream", Action.StreamId}});
  this->Endpoint.cancelStray(Action);
}

void AgentTask::carry(const ProbeEndpoint &Action) {
  this->Endpoint.probe(Action);
}

void AgentTask::carry(const SendOrder &Action) {
  logLine(LogLevel::Info, "weight swap ordered",
          {{"version", absl::StrCat(Action.Version.Value)},
           {"fence", absl::StrCat(Action.Fence.Value)}});
  this->Endpoint.order(Action);
}

void AgentTask::carry(const AskVersion &Action) { this->Endpoint.ask(Action); }

void AgentTask::carry(const BootCommitted &Action) {
  this->Fence = Action.Fence.Value;
  logLine(LogLevel::Info, "boot recorded",
          {{"fence", absl::StrCat(this->Fence)}});
  this->Links.setHello(this->hello());
}

void AgentTask::carry(const CountRefusal &Action) {
  this->Counters.countRefusal(Action.Reason);
  logLine(LogLevel::Info, "work refused",
          {{"request_id", Action.RequestId},
           {"reason", refusalSpec(Action.Reason).Name}});
}

void AgentTask::carry(const CountRetry &Action) {
  this->Counters.countRetry(Action.Reason);
}

void AgentTask::carry(const ExitAgent & /*Action*/) {
  logLine(LogLevel::Info, "agent has nothing left to do");
  this->Events.callAfter(ExitDelay, [this] { this->Events.stop(); });
}

} // namespace camphornotch
