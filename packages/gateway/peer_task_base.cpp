/// @file
/// Links between gateways and loaders: published values, engines' states, and
/// calls to the store on a peer's behalf.

#include "gateway/peer_task_base.h"

#include "base/log_func.h"
#include "base/text_func.h"
#include "net/link_settings_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Time that a relayed call may take beyond its own.
constexpr Millis RelaySlack{300};
/// Most calls through peers at once; more wait for the store itself.
constexpr size_t MaxRelayed = 256;

/// @param Settings the common settings.
/// @return what this process says first on a link.
wire::Hello helloOf(const CommonSettings &Settings) {
  wire::Hello Self;
  Self.Host = Settings.Host;
  Self.Boot = drawBoot().Value;
  Self.Role = Settings.Role;
  Self.DataCentre = Settings.DataCentre;
  Self.Region = Settings.Region;
  return Self;
}

} // namespace

PeerTask::PeerTask(Loop &Events, const CommonSettings &Settings,
                   platform::StoreClient &Store, const PublishedValues &Values,
                   PeerTaskEvents Tell)
    : Events(Events), Where(Settings.ListenLinks), Store(Store), Values(Values),
      Tell(std::move(Tell)),
      Hub(Events, linkSettingsOf(Settings), helloOf(Settings),
          [this](const LinkEvent &Event) { this->handle(Event); }) {
  this->Hub.onHeartbeat([this](wire::Heartbeat &Beat) {
    Beat.ConfigOffset = this->Values.newestOffset();
  });
}

Result<uint16_t> PeerTask::listen() {
  return this->Hub.listen(targetOf(this->Where));
}

void PeerTask::broadcast(const wire::PeerMessage &Message) {
  for (const HostId &Peer : this->Hub.peers())
    this->Hub.send(Peer, Message);
}

void PeerTask::handle(const LinkEvent &Event) {
  if (const auto *Up = std::get_if<LinkUp>(&Event)) {
    logLine(LogLevel::Info, "peer linked",
            {{"peer", Up->Peer.Value}, {"peer_role", Up->Hello.Role}});
    this->Tell.Up(Up->Peer);
  } else if (const auto *Down = std::get_if<LinkDown>(&Event)) {
    logLine(LogLevel::Info, "peer lost",
            {{"peer", Down->Peer.Value}, {"cause", Down->Cause}});
  } else {
    const auto &Message = std::get<LinkMessage>(Event);
    this->onMessage(Message.Peer, Message.Message);
  }
}

void PeerTask::onMessage(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.HeartbeatMsg &&
      Message.HeartbeatMsg.ConfigOffset > this->Values.newestOffset()) {
    wire::PeerMessage Pull;
    wire::ConfigPull Have;
    Have.HaveOffset = this->Values.newestOffset();
    Pull.__set_ConfigPullMsg(Have);
    this->Hub.send(Peer, Pull);
  }
  if (Message.__isset.ConfigPullMsg) {
    wire::PeerMessage Push;
    Push.__set_PublishedMsg(
        this->Values.above(Message.ConfigPullMsg.HaveOffset));
    this->Hub.send(Peer, Push);
  }
  if (Message.__isset.PublishedMsg)
    for (const wire::PublishedValue &Value : Message.PublishedMsg.Values)
      this->Tell.Published(KeyedRecord{Value.Key, Value.Value, Value.Offset});
  if (Message.__isset.EngineStateMsg)
    this->Tell.EngineState(Message.EngineStateMsg);
  if (Message.__isset.WeightsAnnounceMsg)
    this->Tell.VersionDemanded(Message.WeightsAnnounceMsg);
  if (Message.__isset.CrashReportMsg)
    this->Tell.EndpointBroken(Message.CrashReportMsg);
  if (Message.__isset.StoreCallMsg)
    this->onStoreCall(Peer, Message.StoreCallMsg);
  if (Message.__isset.StoreReplyMsg) {
    const wire::StoreCallReply &Reply = Message.StoreReplyMsg;
    platform::RawStoreAnswer Answer;
    Answer.Status = Reply.Status;
    Answer.Body = Reply.Body;
    Answer.Cause = Reply.Cause;
    Answer.MaybeExecuted = Reply.Status == 0;
    this->finishRelayed(Reply.Id, std::move(Answer));
  }
}

void PeerTask::onStoreCall(const HostId &Peer,
                           const wire::StoreCallRequest &Request) {
  platform::RawStoreCall Call;
  Call.Method = Request.Method;
  Call.Path = Request.Path;
  Call.ContentType = Request.ContentType;
  Call.Body = Request.Body;
  Call.Timeout = Millis{Request.TimeoutMs};
  const int64_t Id = Request.Id;
  this->Store.callForPeer(
      Call, [this, Peer, Id](const platform::RawStoreAnswer &Answer) {
        wire::StoreCallReply Reply;
        Reply.Id = Id;
        Reply.Status = Answer.Status;
        Reply.Body = Answer.Body;
        Reply.Cause = Answer.Cause;
        wire::PeerMessage Message;
        Message.__set_StoreReplyMsg(Reply);
        this->Hub.send(Peer, Message);
      });
}

bool PeerTask::relay(const platform::RawStoreCall &Call,
                     platform::RawStoreCallback Reply) {
  const std::vector<HostId> Peers = this->Hub.peers();
  if (Peers.empty() || this->Relayed.size() >= MaxRelayed)
    return false;
  const int64_t Id = ++this->LastRelayed;
  wire::StoreCallRequest Request;
  Request.Id = Id;
  Request.Method = Call.Method;
  Request.Path = Call.Path;
  Request.ContentType = Call.ContentType;
  Request.Body = Call.Body;
  Request.TimeoutMs = Call.Timeout.Count;
  wire::PeerMessage Message;
  Message.__set_StoreCallMsg(Request);
  const HostId &Peer = Peers[static_cast<size_t>(Id) % Peers.size()];
  if (!this->Hub.send(Peer, Message))
    return false;
  RelayedCall Waiting;
  Waiting.Reply = std::move(Reply);
  Waiting.Timer = this->Events.callAfter(Call.Timeout + RelaySlack, [this, Id] {
    platform::RawStoreAnswer Answer;
    Answer.Cause = "the peer did not answer";
    Answer.MaybeExecuted = true;
    this->finishRelayed(Id, std::move(Answer));
  });
  this->Relayed.emplace(Id, std::move(Waiting));
  return true;
}

void PeerTask::finishRelayed(int64_t Id, platform::RawStoreAnswer Answer) {
  auto Node = this->Relayed.extract(Id);
  if (Node.empty())
    return;
  this->Events.cancel(Node.mapped().Timer);
  Node.mapped().Reply(std::move(Answer));
}

} // namespace camphornotch
