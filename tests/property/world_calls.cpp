/// @file
/// The caller, the agents and their messages of the property tests.

#include "world.h"

namespace camphornotch::property {

namespace {

/// Keys that the caller uses.
constexpr unsigned KeyCount = 4;

} // namespace

void World::startAgent(int Place) {
  Agent &One = this->Agents[Place];
  One = Agent{};
  One.Host = HostId{"a" + std::to_string(Place)};
  One.Boot = BootId{this->NextBoot++};
  One.Guard = std::make_unique<IntentGuard>(One.Boot, 1);
  for (int Other = 0; Other < EntryCount; ++Other)
    if (this->present(Other))
      this->callEvent(Other, AgentPresent{One.Host, One.Boot});
}

void World::callEvent(int Place, const CallEvent &Event) {
  for (const CallAction &Action :
       this->Entries[Place].Calls->handle(Event, this->Now))
    this->act(Place, Action);
}

void World::act(int Place, const CallAction &Action) {
  const Entry &One = this->Entries[Place];
  if (const auto *Append = std::get_if<AppendRecord>(&Action))
    this->append(Place, Append->Record);
  if (const auto *Send = std::get_if<SendIntent>(&Action)) {
    const int To = Send->Agent == this->Agents[0].Host ? 0 : 1;
    this->Messages.push_back(IntentMessage{Place, One.Boot, To, Send->Message});
  }
  // The caller listens to its newest request of a key only.
  if (const auto *Answer = std::get_if<AnswerCall>(&Action)) {
    const std::string &Key = this->KeyOf.at(Answer->Request.Value);
    if (this->NewestRequest[Key] == Answer->Request.Value)
      this->Truth.answered(Key, Answer->Body);
  }
  if (const auto *Refused = std::get_if<RefuseRequest>(&Action)) {
    const auto Key = this->KeyOf.find(Refused->Request.Value);
    if (Key != this->KeyOf.end() &&
        this->NewestRequest[Key->second] == Refused->Request.Value)
      this->Truth.refused(Key->second, Refused->Why.State);
  }
}

void World::call(int Place, unsigned Argument) {
  if (!this->present(Place))
    return;
  CallReceived Event;
  Event.Request = RequestHandle{this->NextRequest++};
  Event.Key = "k" + std::to_string(Argument % KeyCount);
  Event.Digest = 7;
  Event.FirstUse = !this->NewestRequest.contains(Event.Key);
  const Agent &Chosen = this->Agents[(Argument / KeyCount) % AgentCount];
  Event.Target = CallTarget{EndpointId{"s"}, Chosen.Host, Chosen.Boot};
  this->NewestRequest[Event.Key] = Event.Request.Value;
  this->KeyOf[Event.Request.Value] = Event.Key;
  this->Truth.ToldNotRun.erase(Event.Key);
  this->callEvent(Place, Event);
}

void World::deliver(unsigned Argument) {
  if (this->Messages.empty())
    return;
  const size_t Index = Argument % this->Messages.size();
  const IntentMessage One = this->Messages[Index];
  // Some messages arrive once more later.
  if (Argument % 3 != 0)
    this->Messages.erase(this->Messages.begin() + static_cast<long>(Index));
  Agent &To = this->Agents[One.To];
  const LogOffset Offset{One.Message.IntentOffset};
  const HostId Peer{std::to_string(One.From) + "/" +
                    std::to_string(One.FromBoot.Value)};
  const IntentWaiter Waiter{Peer, WorkId{One.Message.Work}};
  const IntentDecision Decision =
      To.Guard->admit(Offset, BootId{One.Message.AgentBoot}, Waiter);
  wire::WorkRefused Refused;
  Refused.Work = One.Message.Work;
  if (std::holds_alternative<StartIntent>(Decision)) {
    if (!To.RefuseNext) {
      this->Truth.run(One.Message.IdempotencyKey);
      To.Running[Offset] = One.Message.IdempotencyKey;
      return;
    }
    To.RefuseNext = false;
    const Refusal Why{RefusalReason::QueueFull, RunState::NotRun, 0, ""};
    To.Guard->refuse(Offset, Why);
    Refused.Refusal.Reason = static_cast<int32_t>(Why.Reason);
    Refused.Refusal.RunState = static_cast<int32_t>(Why.State);
    this->Replies.push_back(
        IntentReply{One.From, One.FromBoot, CallRefused{Refused}});
  } else if (const auto *Known = std::get_if<AnswerIntent>(&Decision)) {
    CallFinished Again{Known->Answer};
    Again.Answer.Work = One.Message.Work;
    this->Replies.push_back(IntentReply{One.From, One.FromBoot, Again});
  } else if (const auto *No = std::get_if<RefuseIntent>(&Decision)) {
    Refused.Refusal.Reason = static_cast<int32_t>(No->Why.Reason);
    Refused.Refusal.RunState = static_cast<int32_t>(No->Why.State);
    this->Replies.push_back(
        IntentReply{One.From, One.FromBoot, CallRefused{Refused}});
  }
}

void World::finishIntent(int Place) {
  Agent &One = this->Agents[Place];
  if (One.Running.empty())
    return;
  const auto [Offset, Key] = *One.Running.begin();
  One.Running.erase(One.Running.begin());
  CallFinished Event;
  Event.Answer.Status = 200;
  Event.Answer.Body = "answer to " + Key;
  for (const IntentWaiter &Waiter : One.Guard->finish(Offset, Event.Answer)) {
    const std::string &Peer = Waiter.Peer.Value;
    const size_t Slash = Peer.find('/');
    Event.Answer.Work = Waiter.Work.Value;
    this->Replies.push_back(
        IntentReply{std::stoi(Peer.substr(0, Slash)),
                    BootId{std::stoll(Peer.substr(Slash + 1))}, Event});
  }
}

void World::reply(unsigned Argument) {
  if (this->Replies.empty())
    return;
  const size_t Index = Argument % this->Replies.size();
  const IntentReply One = this->Replies[Index];
  this->Replies.erase(this->Replies.begin() + static_cast<long>(Index));
  const bool Lost = Argument % 5 == 0;
  const Entry &To = this->Entries[One.To];
  if (!Lost && !To.Paused && To.Boot == One.ToBoot)
    this->callEvent(One.To, One.Event);
}

} // namespace camphornotch::property
