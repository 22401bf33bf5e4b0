/// @file
/// Links between gateways and loaders: they exchange published values and
/// engine states, and make store calls for each other.

#include "gateway/peer_task_base.h"

#include "base/log_func.h"
#include "base/text_func.h"
#include "net/link_settings_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Time that a relayed call may take beyond the call's own timeout.
constexpr Millis RelayMargin{300};
/// Limit of relayed calls under way; further calls only go to the store itself.
constexpr size_t MaxRelayedCalls = 256;

/// @return the first message of this process on a link.
wire::Hello helloOf(const CommonSettings &Settings) {
  wire::Hello Self;
  Self.Host = Settings.Host;
  Self.Boot = randomBootId().Value;
  Self.Role = Settings.Role;
  Self.DataCentre = Settings.DataCentre;
  Self.Region = Settings.Region;
  return Self;
}

} // namespace

PeerTask::PeerTask(Loop &Events, const CommonSettings &Settings,
                   platform::StoreClient &Store, const PublishedValues &Values,
                   PeerTaskCallbacks Callbacks)
    : Events(Events), ListenAddress(Settings.ListenLinks), Store(Store),
      Values(Values), Callbacks(std::move(Callbacks)),
      Hub(Events, linkSettingsOf(Settings), helloOf(Settings),
          [this](const LinkEvent &Event) { this->onLinkEvent(Event); }) {
  this->Hub.onHeartbeat([this](wire::Heartbeat &Beat) {
    Beat.ConfigOffset = this->Values.newestOffset();
  });
}

Result<uint16_t> PeerTask::listen() {
  return this->Hub.listen(targetOf(this->ListenAddress));
}

void PeerTask::broadcast(const wire::PeerMessage &Message) {
  for (const HostId &Peer : this->Hub.peers())
    this->Hub.send(Peer, Message);
}

void PeerTask::onLinkEvent(const LinkEvent &Event) {
  if (const auto *Up = std::get_if<LinkUp>(&Event)) {
    logLine(LogLevel::Info, "peer linked",
            {{"peer", Up->Peer.Value}, {"peer_role", Up->Hello.Role}});
    this->Callbacks.OnLinkUp(Up->Peer);
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
    wire::ConfigPull Known;
    Known.HaveOffset = this->Values.newestOffset();
    Pull.__set_ConfigPullMsg(Known);
    this->Hub.send(Peer, Pull);
  }
  if (Message.__isset.ConfigPullMsg) {
    wire::PeerMessage Push;
    Push.__set_PublishedMsg(
        this->Values.newerThan(Message.ConfigPullMsg.HaveOffset));
    this->Hub.send(Peer, Push);
  }
  if (Message.__isset.PublishedMsg)
    for (const wire::PublishedValue &Value : Message.PublishedMsg.Values)
      this->Callbacks.OnPublished(
          KeyedRecord{Value.Key, Value.Value, Value.Offset});
  if (Message.__isset.EngineStateMsg)
    this->Callbacks.OnEngineState(Message.EngineStateMsg);
  if (Message.__isset.WeightsAnnounceMsg)
    this->Callbacks.OnVersionNeeded(Message.WeightsAnnounceMsg);
  if (Message.__isset.CrashReportMsg)
    this->Callbacks.OnEndpointBroken(Message.CrashReportMsg);
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
  if (Peers.empty() || this->RelayedCalls.size() >= MaxRelayedCalls)
    return false;
  const int64_t Id = ++this->LastRelayId;
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
  RelayedCall Relayed;
  Relayed.Reply = std::move(Reply);
  Relayed.Timer =
      this->Events.callAfter(Call.Timeout + RelayMargin, [this, Id] {
        platform::RawStoreAnswer Answer;
        Answer.Cause = "the peer did not answer";
        Answer.MaybeExecuted = true;
        this->finishRelayed(Id, std::move(Answer));
      });
  this->RelayedCalls.emplace(Id, std::move(Relayed));
  return true;
}

void PeerTask::finishRelayed(int64_t Id, platform::RawStoreAnswer Answer) {
  auto Node = this->RelayedCalls.extract(Id);
  if (Node.empty())
    return;
  this->Events.cancel(Node.mapped().Timer);
  Node.mapped().Reply(std::move(Answer));
}

} // namespace camphornotch
