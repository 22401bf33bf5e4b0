/// @file
/// Links between gateways and loaders: they exchange published values and
/// engine states, and make store calls for each other.

#include "gateway/peer_task_base.h"

#include "base/clock_func.h"
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

/// Limit of the bytes queued on all links at which a peer's pull is not
/// answered; the peer asks another one then.
constexpr size_t MaxQueuedForPulls = size_t{4} << 20;

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
    : Events(Events), ListenAddress(Settings.ListenLinks),
      Region(Settings.Region), Store(Store), Values(Values),
      Callbacks(std::move(Callbacks)),
      Hub(Events, linkSettingsOf(Settings), helloOf(Settings),
          [this](const LinkEvent &Event) { this->onLinkEvent(Event); }) {
  this->Hub.onHeartbeat([this](wire::Heartbeat &Beat) {
    Beat.ConfigOffset = this->Values.newestOffset();
    if (this->Callbacks.WantsLoad)
      Beat.__set_WantsLoad(this->Callbacks.WantsLoad());
    if (this->Callbacks.SendsWallClock)
      Beat.__set_WallMs(wallNow().Count);
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
    if (Up->Hello.Region == this->Region)
      this->NearPeers.insert(Up->Peer);
    this->Callbacks.OnLinkUp(Up->Peer);
  } else if (const auto *Down = std::get_if<LinkDown>(&Event)) {
    logLine(LogLevel::Info, "peer lost",
            {{"peer", Down->Peer.Value}, {"cause", Down->Cause}});
    this->NearPeers.erase(Down->Peer);
    this->Pull.onPeerLost(Down->Peer);
    if (this->Callbacks.OnLinkDown)
      this->Callbacks.OnLinkDown(Down->Peer);
  } else {
    const auto &Message = std::get<LinkMessage>(Event);
    this->onMessage(Message.Peer, Message.Message);
  }
}

void PeerTask::onHeartbeat(const HostId &Peer, const wire::Heartbeat &Beat) {
  if (Beat.__isset.WantsLoad && this->Callbacks.OnLoadWanted)
    this->Callbacks.OnLoadWanted(Peer, Beat.WantsLoad);
  if (Beat.__isset.WallMs && this->Callbacks.OnWallClock)
    this->Callbacks.OnWallClock(Peer, Beat.WallMs);
  const int64_t HaveOffset = this->Values.newestOffset();
  const ValueOffer Offer{Peer, this->NearPeers.contains(Peer),
                         Beat.ConfigOffset};
  if (!this->Pull.onOffer(Offer, HaveOffset, steadyNow()))
    return;
  logLine(LogLevel::Info, "published values pulled from a peer",
          {{"peer", Peer.Value},
           {"near", Offer.Near ? "yes" : "no"},
           {"have", concat(HaveOffset)},
           {"all", this->Pull.asksForAll() ? "yes" : "no"},
           {"offered", concat(Beat.ConfigOffset)}});
  wire::ConfigPull Known;
  Known.HaveOffset = this->Pull.asksForAll() ? -1 : HaveOffset;
  wire::PeerMessage Message;
  Message.__set_ConfigPullMsg(Known);
  this->Hub.send(Peer, Message);
}

void PeerTask::onPull(const HostId &Peer, const wire::ConfigPull &Known) {
  const size_t Queued = this->queuedBytes();
  if (Queued > MaxQueuedForPulls) {
    logLine(LogLevel::Warn, "pull of published values not answered",
            {{"peer", Peer.Value}, {"queued_bytes", concat(Queued)}});
    return;
  }
  wire::PeerMessage Push;
  Push.__set_PublishedMsg(this->Values.newerThan(Known.HaveOffset));
  this->Hub.send(Peer, Push);
}

void PeerTask::onPushedValues(const HostId &Peer,
                              const wire::PublishedPush &Push) {
  bool HasNew = false;
  for (const wire::PublishedValue &Value : Push.Values) {
    const KeyedRecord Record{Value.Key, Value.Value, Value.Offset};
    HasNew |= this->Values.isNewer(Record);
    this->Callbacks.OnPublished(Record);
  }
  this->Pull.onAnswer(Peer, HasNew);
}

void PeerTask::onMessage(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.HeartbeatMsg)
    this->onHeartbeat(Peer, Message.HeartbeatMsg);
  if (Message.__isset.ConfigPullMsg)
    this->onPull(Peer, Message.ConfigPullMsg);
  if (Message.__isset.PublishedMsg)
    this->onPushedValues(Peer, Message.PublishedMsg);
  if (Message.__isset.EngineStateMsg)
    this->Callbacks.OnEngineState(Message.EngineStateMsg);
  if (Message.__isset.WeightsAnnounceMsg)
    this->Callbacks.OnVersionNeeded(Message.WeightsAnnounceMsg);
  if (Message.__isset.CrashReportMsg)
    this->Callbacks.OnEndpointBroken(Message.CrashReportMsg);
  if (Message.__isset.SuspectsMsg && this->Callbacks.OnSuspects)
    this->Callbacks.OnSuspects(Peer, Message.SuspectsMsg);
  if (Message.__isset.UsageCountsMsg && this->Callbacks.OnUsageCounts)
    this->Callbacks.OnUsageCounts(Message.UsageCountsMsg);
  if (Message.__isset.DutyHolderMsg && this->Callbacks.OnDutyHolder)
    this->Callbacks.OnDutyHolder(Peer, Message.DutyHolderMsg);
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
