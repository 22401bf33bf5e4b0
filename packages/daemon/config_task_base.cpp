/// @file
/// The entry's task for configuration.

#include "daemon/config_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "daemon/config_note_func.h"

namespace camphornotch {

namespace {

/// Time between two looks at the deadline.
constexpr Millis TickInterval{50};

/// @param Settings the common settings.
/// @return how configuration spreads from an entry.
ConfigSettings configSettingsOf(const CommonSettings &Settings) {
  ConfigSettings Out;
  Out.Self = HostId{Settings.Host};
  Out.DataCentre = DataCentreId{Settings.DataCentre};
  Out.ReadsLog = true;
  return Out;
}

} // namespace

ConfigTask::ConfigTask(Loop &Events, LinkTask &Links, const LogTask &Log,
                       const CommonSettings &Settings)
    : Events(Events), Links(Links), Log(Log), Settings(Settings),
      Controller(configSettingsOf(Settings)) {}

void ConfigTask::start() { this->tick(); }

void ConfigTask::linkUp(const LinkUp &Up) {
  this->tellEntries();
  this->handle(ConfigPeerUp{Up.Peer, Up.Hello.Role == "agent",
                            DataCentreId{Up.Hello.DataCentre},
                            LogOffset{Up.Hello.ConfigOffset}});
}

void ConfigTask::linkDown(const HostId &Peer) {
  this->handle(ConfigPeerDown{Peer});
  this->tellEntries();
}

void ConfigTask::take(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.HeartbeatMsg)
    this->handle(
        ConfigPeerHeartbeat{Peer, LogOffset{Message.HeartbeatMsg.ConfigOffset},
                            Message.HeartbeatMsg.ConfigHash});
  if (Message.__isset.ConfigPullMsg)
    this->handle(ConfigPulled{Peer, Message.ConfigPullMsg});
  if (Message.__isset.ConfigPushMsg)
    this->handle(ConfigPushed{Peer, Message.ConfigPushMsg});
}

void ConfigTask::changed(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes) {
    const auto *Snapshot = std::get_if<SnapshotSeen>(&Change);
    const bool Restored = Snapshot != nullptr && Snapshot->Restored;
    if (Restored || std::holds_alternative<ConfigAccepted>(Change))
      this->handle(ConfigFolded{this->Log.fold().config()});
  }
}

void ConfigTask::fill(wire::Heartbeat &Beat) const {
  Beat.ConfigOffset = this->inForce().Offset.Value;
  Beat.ConfigHash = this->inForce().Hash;
}

bool ConfigTask::ready() {
  this->handle(ConfigLogState{this->Log.reachable(), this->Log.caughtUp()});
  return this->Controller.ready(steadyNow());
}

void ConfigTask::handle(const ConfigEvent &Event) {
  for (const ConfigAction &Action : this->Controller.handle(Event, steadyNow()))
    std::visit([this](const auto &Which) { this->act(Which); }, Action);
}

void ConfigTask::tellEntries() {
  ConfigEntries Present;
  for (const auto &[Host, Peer] : this->Links.peers())
    if (Peer.Hello.Role == "entry" &&
        Peer.Hello.DataCentre == this->Settings.DataCentre)
      Present.Entries.push_back(Host);
  this->handle(Present);
}

void ConfigTask::tick() {
  if (this->Controller.nextDeadline() <= steadyNow())
    this->handle(ConfigTick{});
  this->Events.callAfter(TickInterval, [this] { this->tick(); });
}

void ConfigTask::act(const ApplyConfig &Action) {
  noteConfigInForce(Action.Config.Offset);
}

void ConfigTask::act(const SendConfigPush &Action) {
  wire::PeerMessage Message;
  Message.__set_ConfigPushMsg(Action.Push);
  this->Links.hub().send(Action.Peer, Message);
}

void ConfigTask::act(const SendConfigPull &Action) {
  wire::PeerMessage Message;
  Message.__set_ConfigPullMsg(Action.Pull);
  this->Links.hub().send(Action.Peer, Message);
}

void ConfigTask::act(const PeerConfigRejected &Action) {
  logLine(LogLevel::Warn, "configuration of a peer cannot be used",
          {{"peer", Action.Peer.Value},
           {"cause", Action.Cause.Message},
           {"remedy", Action.Cause.Remedy}});
}

} // namespace camphornotch
