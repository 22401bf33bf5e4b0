/// @file
/// Distributes the accepted configuration from the log to every process.

#include "core/config/config_base.h"

#include "base/hash_func.h"
#include "rules/delta_func.h"
#include "rules/parse_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Earlier configurations held as bases of deltas; at 28,000 changes a day the
/// configuration changes about every three seconds.
constexpr size_t MaxEarlierConfigs = 8;

} // namespace

ConfigController::ConfigController(ConfigSettings Settings)
    : Settings(std::move(Settings)) {}

std::vector<ConfigAction> ConfigController::handle(const ConfigEvent &Event,
                                                   Millis Now) {
  Actions Out;
  std::visit([&](const auto &Alternative) { this->on(Alternative, Now, Out); },
             Event);
  return Out;
}

Millis ConfigController::nextDeadline() const {
  Millis Next = Never;
  for (const auto &[Host, State] : this->Peers)
    Next = std::min({Next, State.PushAt, State.PullAt});
  return Next;
}

bool ConfigController::ready(Millis Now) const {
  for (const auto &[Host, State] : this->Peers)
    if (State.ReportedOffset > this->Current.Offset)
      return false;
  if (this->Settings.ReadsLog && this->Log.Reachable)
    return this->Log.CaughtUp;
  if (this->Settings.ReadsLog)
    return this->FirstPeerAt + this->Settings.StartupPeerWait <= Now;
  return !this->Peers.empty();
}

std::map<HostId, LogOffset> ConfigController::peerOffsets() const {
  std::map<HostId, LogOffset> Out;
  for (const auto &[Host, State] : this->Peers)
    Out[Host] = State.ReportedOffset;
  return Out;
}

void ConfigController::on(const ConfigFolded &Event, Millis Now, Actions &Out) {
  if (Event.Config.Offset > this->Current.Offset)
    this->apply(Event.Config, Now, Out);
}

void ConfigController::on(const ConfigLogState &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->Log = Event;
}

void ConfigController::on(const ConfigPeerUp &Event, Millis Now, Actions &Out) {
  this->FirstPeerAt = std::min(this->FirstPeerAt, Now);
  Peer &State = this->Peers[Event.Peer];
  State = Peer{};
  State.IsAgent = Event.IsAgent;
  State.DataCentre = Event.DataCentre;
  State.ReportedOffset = Event.Offset;
  this->scheduleTransfer(Event.Peer, State, Now, Out);
}

void ConfigController::on(const ConfigPeerDown &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->Peers.erase(Event.Peer);
}

void ConfigController::on(const ConfigPeerHeartbeat &Event, Millis Now,
                          Actions &Out) {
  const auto Found = this->Peers.find(Event.Peer);
  if (Found == this->Peers.end())
    return;
  Peer &State = Found->second;
  // Only the heartbeat is current: a push may date from before a restart.
  State.ReportedOffset = Event.Offset;
  const bool HashDiffers = Event.Offset == this->Current.Offset &&
                           Event.Offset != NoOffset &&
                           Event.Hash != this->Current.Hash;
  if (HashDiffers)
    Out.push_back(PeerConfigRejected{
        Event.Peer, Event.Offset,
        Error{ErrorKind::Conflict,
              "the peer has a different text at this offset",
              "restart the peer; it does not follow the same log"}});
  this->scheduleTransfer(Event.Peer, State, Now, Out);
}

void ConfigController::on(const ConfigEntries &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->Entries = Event.Entries;
}

void ConfigController::on(const ConfigPushed &Event, Millis Now, Actions &Out) {
  const LogOffset Offset{Event.Push.Offset};
  const auto Found = this->Peers.find(Event.Peer);
  if (Found != this->Peers.end())
    Found->second.ReportedOffset =
        std::max(Found->second.ReportedOffset, Offset);
  if (Offset <= this->Current.Offset)
    return;
  Result<AcceptedConfig> Config = this->decodePush(Event.Push);
  if (Config.has_value()) {
    this->apply(std::move(Config.value()), Now, Out);
    return;
  }
  Out.push_back(PeerConfigRejected{Event.Peer, Offset, Config.error()});
  if (Event.Push.__isset.Text)
    return;
  wire::ConfigPull Pull;
  Pull.HaveOffset = NoOffset.Value;
  Out.push_back(SendConfigPull{Event.Peer, Pull});
}

void ConfigController::on(const ConfigPulled &Event, Millis Now, Actions &Out) {
  const auto Found = this->Peers.find(Event.Peer);
  if (Found == this->Peers.end() || this->Current.Offset == NoOffset)
    return;
  Peer &State = Found->second;
  State.ReportedOffset = LogOffset{Event.Pull.HaveOffset};
  State.NeedsFullText = State.ReportedOffset == NoOffset;
  if (State.ReportedOffset < this->Current.Offset)
    this->push(Event.Peer, State, Now, Out);
}

void ConfigController::on(const ConfigTick & /*Event*/, Millis Now,
                          Actions &Out) {
  for (auto &[Host, State] : this->Peers) {
    if (State.PushAt <= Now && State.ReportedOffset < this->Current.Offset) {
      State.NeedsFullText = State.PushedOffset == this->Current.Offset;
      this->push(Host, State, Now, Out);
    }
    if (State.PullAt > Now)
      continue;
    State.PullAt = Never;
    if (State.ReportedOffset <= this->Current.Offset)
      continue;
    wire::ConfigPull Pull;
    Pull.HaveOffset = this->Current.Offset.Value;
    Out.push_back(SendConfigPull{Host, Pull});
    State.PullAt = Now + this->Settings.PushTimeout;
  }
}

void ConfigController::apply(AcceptedConfig Config, Millis Now, Actions &Out) {
  if (this->Current.Offset != NoOffset)
    this->Earlier.push_back(std::move(this->Current));
  if (this->Earlier.size() > MaxEarlierConfigs)
    this->Earlier.pop_front();
  this->Current = std::move(Config);
  Out.push_back(ApplyConfig{this->Current});
  for (auto &[Host, State] : this->Peers) {
    State.PushAt = Never;
    this->scheduleTransfer(Host, State, Now, Out);
  }
}

void ConfigController::scheduleTransfer(const HostId &Host, Peer &State,
                                        Millis Now, Actions &Out) {
  const LogOffset OwnOffset = this->Current.Offset;
  if (State.ReportedOffset > OwnOffset) {
    const Millis Delay = this->Settings.PullDelay;
    State.PullAt = std::min(State.PullAt, Now + Delay);
    State.PushAt = Never;
    return;
  }
  State.PullAt = Never;
  if (State.ReportedOffset == OwnOffset || !this->Settings.ReadsLog) {
    State.PushAt = Never;
    return;
  }
  if (State.PushAt != Never)
    return;
  if (State.PushedOffset != OwnOffset && this->isResponsibleFor(Host, State))
    this->push(Host, State, Now, Out);
  else
    State.PushAt = Now + this->Settings.PushTimeout;
}

bool ConfigController::isResponsibleFor(const HostId &Host,
                                        const Peer &State) const {
  if (!State.IsAgent || State.DataCentre != this->Settings.DataCentre)
    return false;
  const uint64_t OwnScore =
      rendezvousScore(Host.Value, this->Settings.Self.Value);
  return std::none_of(
      this->Entries.begin(), this->Entries.end(), [&](const HostId &Entry) {
        return rendezvousScore(Host.Value, Entry.Value) > OwnScore;
      });
}

const AcceptedConfig *ConfigController::findEarlier(LogOffset Offset) const {
  for (const AcceptedConfig &Config : this->Earlier)
    if (Config.Offset == Offset)
      return &Config;
  return nullptr;
}

void ConfigController::push(const HostId &Host, Peer &State, Millis Now,
                            Actions &Out) {
  const std::string &Text = this->Current.Text;
  wire::ConfigPush Push;
  Push.Offset = this->Current.Offset.Value;
  Push.Hash = this->Current.Hash;
  const AcceptedConfig *Base =
      State.NeedsFullText ? nullptr : this->findEarlier(State.ReportedOffset);
  std::string Delta;
  if (Base != nullptr)
    Delta = encodeDelta(Base->Text, Text);
  if (Base != nullptr && Delta.size() < Text.size()) {
    Push.__set_BaseOffset(Base->Offset.Value);
    Push.__set_Delta(Delta);
  } else {
    Push.__set_Text(Text);
  }
  State.PushedOffset = this->Current.Offset;
  State.NeedsFullText = false;
  State.PushAt = Now + this->Settings.PushTimeout;
  Out.push_back(SendConfigPush{Host, std::move(Push)});
}

Result<AcceptedConfig>
ConfigController::decodePush(const wire::ConfigPush &Push) const {
  AcceptedConfig Config;
  Config.Offset = LogOffset{Push.Offset};
  Config.Hash = Push.Hash;
  if (Push.__isset.Text) {
    Config.Text = Push.Text;
  } else {
    if (Push.BaseOffset != this->Current.Offset.Value)
      return Error{ErrorKind::Conflict, "the delta has a different base",
                   "send the full text"};
    Result<std::string> Text = applyDelta(this->Current.Text, Push.Delta);
    if (!Text.has_value())
      return Text.error();
    Config.Text = std::move(Text.value());
  }
  if (ruleHash(Config.Text) != Push.Hash)
    return Error{ErrorKind::BadInput, "the text does not match its hash",
                 "send the full text"};
  RuleResult Rules = parseRules("rules", Config.Text);
  if (!Rules.has_value())
    return Rules.error().front();
  Config.Rules = std::make_shared<const RuleSet>(std::move(Rules.value()));
  return Config;
}

} // namespace camphornotch
