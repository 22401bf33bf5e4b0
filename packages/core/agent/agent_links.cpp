/// @file
/// What the agent controller does with links and the messages of entries.

#include "core/agent/agent_base.h"

#include "rules/delta_func.h"
#include "rules/parse_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Sender of messages of hosts without a link; it has no work.
constexpr BootId NoBoot{0};

/// Calls a visitor with the one message that is set, if agents take it.
/// @param Message the message.
/// @param Visit takes each kind of message.
template <typename VisitT>
void visitMessage(const wire::PeerMessage &Message, const VisitT &Visit) {
  const auto &Set = Message.__isset;
  if (Set.StartWorkMsg)
    Visit(Message.StartWorkMsg);
  else if (Set.CancelWorkMsg)
    Visit(Message.CancelWorkMsg);
  else if (Set.QueryWorkMsg)
    Visit(Message.QueryWorkMsg);
  else if (Set.AckWorkMsg)
    Visit(Message.AckWorkMsg);
  else if (Set.ConfigPushMsg)
    Visit(Message.ConfigPushMsg);
  else if (Set.ConfigPullMsg)
    Visit(Message.ConfigPullMsg);
  else if (Set.HeartbeatMsg)
    Visit(Message.HeartbeatMsg);
  else if (Set.WeightsAnnounceMsg)
    Visit(Message.WeightsAnnounceMsg);
  else if (Set.QuarantinePushMsg)
    Visit(Message.QuarantinePushMsg);
  else if (Set.LeaveOrderMsg)
    Visit(Message.LeaveOrderMsg);
  else if (Set.AppendReplyMsg)
    Visit(Message.AppendReplyMsg);
  else if (Set.StandingReplyMsg)
    Visit(Message.StandingReplyMsg);
}

/// @param Offset the offset of the rules that the agent has.
/// @return the question for newer ones.
wire::PeerMessage makePull(LogOffset Offset) {
  wire::ConfigPull Pull;
  Pull.HaveOffset = Offset.Value;
  wire::PeerMessage Message;
  Message.__set_ConfigPullMsg(Pull);
  return Message;
}

} // namespace

WorkKey AgentController::keyOf(const HostId &Peer, int64_t Work) const {
  const auto Found = this->Peers.find(Peer);
  const BootId Sender = Found == this->Peers.end() ? NoBoot : Found->second;
  return WorkKey{Sender, WorkId{Work}};
}

void AgentController::on(const PeerUp &Event, Millis Now, Actions &Out) {
  this->Boot.onUp(Event.Peer);
  this->Untold.insert(Event.Peer);
  const auto Found = this->Peers.find(Event.Peer);
  const bool Replaced =
      Found != this->Peers.end() && Found->second != Event.Boot;
  const BootId Earlier = Replaced ? Found->second : NoBoot;
  this->Peers[Event.Peer] = Event.Boot;
  this->Orphans.erase(Event.Boot);
  // The earlier process has ended: nobody will ask for its work.
  if (Replaced) {
    this->Intents.dropWaiters(Event.Peer);
    this->dropOrphans(Earlier, Now, Out);
  }
}

void AgentController::on(const PeerDown &Event, Millis Now, Actions & /*Out*/) {
  this->Boot.onDown(Event.Peer);
  this->Untold.erase(Event.Peer);
  const auto Found = this->Peers.find(Event.Peer);
  if (Found != this->Peers.end())
    this->Orphans.emplace(Found->second, Now + this->Settings.OrphanAfter);
}

void AgentController::on(const PeerSaid &Event, Millis Now, Actions &Out) {
  visitMessage(Event.Message, [&](const auto &Message) {
    this->said(Event.Peer, Message, Now, Out);
  });
}

void AgentController::dropOrphans(BootId Sender, Millis Now, Actions &Out) {
  this->Orphans.erase(Sender);
  std::vector<WorkKey> Keys;
  for (const auto &[Key, Work] : this->Open) {
    // Another entry may ask for a call under an intent.
    if (Key.Sender == Sender && Work.Kind != wire::WorkKind::IntentCall)
      Keys.push_back(Key);
  }
  for (const WorkKey Key : Keys) {
    ++this->Counts.Orphans;
    this->admit(DropWork{Key, RefusalReason::PeerLost}, Now, Out);
  }
  std::erase_if(this->Peers,
                [&](const auto &Each) { return Each.second == Sender; });
}

void AgentController::said(const HostId &Peer, const wire::StartWork &Message,
                           Millis Now, Actions &Out) {
  if (Message.Kind == wire::WorkKind::IntentCall) {
    this->takeIntent(Peer, Message, Now, Out);
    return;
  }
  const WorkKey Key = this->keyOf(Peer, Message.Work);
  if (!this->Store.open(Key)) {
    // Sent again on a new link: the answer may have been lost.
    this->replay(Key, 0, Now, Out);
    return;
  }
  this->Open.emplace(Key, OpenWork{Peer, Message.Kind, Message.Stream, NoOffset,
                                   Message.RequestId});
  this->submit(Key, Message, Now, Out);
}

void AgentController::said(const HostId &Peer, const wire::CancelWork &Message,
                           Millis Now, Actions &Out) {
  this->admit(DropWork{this->keyOf(Peer, Message.Work)}, Now, Out);
}

void AgentController::said(const HostId &Peer, const wire::QueryWork &Message,
                           Millis Now, Actions &Out) {
  for (size_t Index = 0; Index < Message.Works.size(); ++Index) {
    const int64_t Have =
        Index < Message.HaveBytes.size() ? Message.HaveBytes[Index] : 0;
    this->answerQuery(Peer, Message.Works[Index], Have, Now, Out);
  }
}

void AgentController::said(const HostId &Peer, const wire::AckWork &Message,
                           Millis /*Now*/, Actions & /*Out*/) {
  for (const int64_t Work : Message.Works)
    this->Store.acknowledge(this->keyOf(Peer, Work));
}

void AgentController::said(const HostId &Peer, const wire::ConfigPush &Message,
                           Millis Now, Actions &Out) {
  if (LogOffset{Message.Offset} <= this->ConfigOffset)
    return;
  const bool Fits = Message.BaseOffset == this->ConfigOffset.Value;
  Result<std::string> Text = Message.Text;
  if (!Message.__isset.Text)
    Text = applyDelta(this->ConfigText, Message.Delta);
  if (!Message.__isset.Text &&
      (!Fits || !Text.has_value() || ruleHash(Text.value()) != Message.Hash)) {
    // A change to other rules than the agent has: ask for the whole.
    Out.emplace_back(TellPeer{Peer, makePull(NoOffset)});
    return;
  }
  const RuleResult Parsed = parseRules("rules", Text.value());
  if (!Parsed.has_value())
    return;
  this->ConfigOffset = LogOffset{Message.Offset};
  this->ConfigHash = Message.Hash;
  this->ConfigText = std::move(Text.value());
  this->applyRules(Parsed.value(), Now, Out);
  Out.emplace_back(BeatAll{});
}

void AgentController::said(const HostId &Peer, const wire::ConfigPull &Message,
                           Millis /*Now*/, Actions &Out) {
  if (LogOffset{Message.HaveOffset} >= this->ConfigOffset)
    return;
  wire::ConfigPush Push;
  Push.Offset = this->ConfigOffset.Value;
  Push.Hash = this->ConfigHash;
  Push.__set_Text(this->ConfigText);
  wire::PeerMessage Answer;
  Answer.__set_ConfigPushMsg(Push);
  Out.emplace_back(TellPeer{Peer, Answer});
}

void AgentController::said(const HostId &Peer, const wire::Heartbeat &Message,
                           Millis /*Now*/, Actions &Out) {
  this->AnyTold = true;
  this->Untold.erase(Peer);
  this->NewestTold =
      std::max(this->NewestTold, LogOffset{Message.ConfigOffset});
  if (LogOffset{Message.ConfigOffset} > this->ConfigOffset)
    Out.emplace_back(TellPeer{Peer, makePull(this->ConfigOffset)});
}

void AgentController::said(const HostId & /*Peer*/,
                           const wire::WeightsAnnounce &Message, Millis Now,
                           Actions &Out) {
  if (!this->Settings.IsEngine || Message.Model != this->Settings.Serves)
    return;
  WeightsAnnounced Event;
  Event.Version = WeightVersion{Message.Version};
  Event.Location = Message.Location;
  if (Message.__isset.Engines)
    Event.Engines = std::max(Message.Engines, 1);
  if (Message.__isset.Rank)
    Event.Rank = Message.Rank;
  this->weigh(Event, Now, Out);
}

void AgentController::said(const HostId & /*Peer*/,
                           const wire::QuarantinePush &Message, Millis /*Now*/,
                           Actions & /*Out*/) {
  this->Crashes.onQuarantine(Message);
}

void AgentController::said(const HostId & /*Peer*/,
                           const wire::LeaveOrder &Message, Millis Now,
                           Actions &Out) {
  const LeaveCause Cause =
      Message.ByHostList ? LeaveCause::HostList : LeaveCause::Order;
  if (Message.Leave)
    this->leave(LeaveAsked{Cause}, Now, Out);
  else
    this->leave(LeaveWithdrawn{Cause}, Now, Out);
}

void AgentController::said(const HostId & /*Peer*/,
                           const wire::AppendReply &Message, Millis Now,
                           Actions &Out) {
  this->Boot.onReply(Message);
  this->followStanding(Now, Out);
}

void AgentController::said(const HostId & /*Peer*/,
                           const wire::StandingReply &Message, Millis Now,
                           Actions &Out) {
  this->Boot.onReply(Message);
  this->followStanding(Now, Out);
}

void AgentController::answerQuery(const HostId &Peer, int64_t Work,
                                  int64_t HaveBytes, Millis Now, Actions &Out) {
  const WorkKey Key = this->keyOf(Peer, Work);
  if (this->Store.knows(Key)) {
    this->replay(Key, HaveBytes, Now, Out);
    return;
  }
  if (this->Open.contains(Key))
    return;
  // A message that was lost, unless answers were forgotten for want of room.
  // From now on the work is refused also if the message comes after all.
  const RunState State =
      this->Store.dropped() == 0 ? RunState::NotRun : RunState::Unknown;
  const Refusal Why{RefusalReason::PeerLost, State, 1, "work is not known"};
  this->Store.open(Key);
  this->Store.close(Key, this->makeRefused(Why, Work, Now));
  this->replay(Key, 0, Now, Out);
}

} // namespace camphornotch
