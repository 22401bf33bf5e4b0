/// @file
/// Work that this entry has at agents.

#include "daemon/work_links_base.h"

#include "base/refusal_type.h"

#include <utility>

namespace camphornotch {

WorkLinks::WorkLinks(Loop &Events, LinkHub &Hub, Metrics &Counters,
                     Millis LossAfter)
    : Events(Events), Hub(Hub), LossAfter(LossAfter),
      LateAnswers(Counters.counter("late_answers_total",
                                   "Answers to work that is not open")) {}

bool WorkLinks::start(const HostId &Agent, const wire::StartWork &Work,
                      WorkOwner Owner) {
  wire::PeerMessage Message;
  Message.__set_StartWorkMsg(Work);
  if (!this->Hub.send(Agent, Message))
    return false;
  this->Works.insert_or_assign(Work.Work,
                               OpenWork{Agent, Owner, Work.Stream, 0});
  this->ByAgent[Agent].insert(Work.Work);
  return true;
}

void WorkLinks::stop(WorkId Work, bool KeepTokens) {
  const auto Found = this->Works.find(Work.Value);
  if (Found == this->Works.end())
    return;
  wire::CancelWork Cancel;
  Cancel.Work = Work.Value;
  Cancel.KeepTokens = KeepTokens;
  wire::PeerMessage Message;
  Message.__set_CancelWorkMsg(Cancel);
  this->Hub.send(Found->second.Agent, Message);
}

void WorkLinks::abandon(WorkId Work) {
  const auto Found = this->Works.find(Work.Value);
  if (Found == this->Works.end())
    return;
  this->stop(Work, false);
  // The answer to the stop finds no work and is acknowledged then.
  this->ByAgent[Found->second.Agent].erase(Work.Value);
  this->Works.erase(Found);
}

void WorkLinks::acknowledge(const HostId &Agent, WorkId Work) {
  if (this->Acks.empty())
    this->Events.defer([this] { this->flushAcks(); });
  this->Acks[Agent].push_back(Work.Value);
}

void WorkLinks::flushAcks() {
  for (auto &[Agent, Numbers] : this->Acks) {
    wire::AckWork Ack;
    Ack.Works = std::move(Numbers);
    wire::PeerMessage Message;
    Message.__set_AckWorkMsg(Ack);
    this->Hub.send(Agent, Message);
  }
  this->Acks.clear();
}

void WorkLinks::linkUp(const LinkUp &Up) {
  const BootId Boot{Up.Hello.Boot};
  const auto Known = this->Boots.find(Up.Peer);
  this->Events.cancel(this->LossTimers[Up.Peer]);
  if (Known != this->Boots.end() && Known->second != Boot)
    this->lose(Up.Peer);
  this->Boots[Up.Peer] = Boot;
  this->query(Up.Peer);
}

void WorkLinks::query(const HostId &Agent) {
  const auto Found = this->ByAgent.find(Agent);
  if (Found == this->ByAgent.end() || Found->second.empty())
    return;
  wire::QueryWork Query;
  for (const int64_t Work : Found->second) {
    Query.Works.push_back(Work);
    Query.HaveBytes.push_back(this->Works.at(Work).Received);
  }
  wire::PeerMessage Message;
  Message.__set_QueryWorkMsg(Query);
  this->Hub.send(Agent, Message);
}

void WorkLinks::linkDown(const HostId &Agent) {
  const auto Found = this->ByAgent.find(Agent);
  if (Found == this->ByAgent.end())
    return;
  std::erase_if(Found->second, [this](int64_t Work) {
    if (this->Works.at(Work).begun())
      return false;
    this->Works.erase(Work);
    return true;
  });
  if (Found->second.empty()) {
    this->ByAgent.erase(Found);
    return;
  }
  TimerId &Timer = this->LossTimers[Agent];
  this->Events.cancel(Timer);
  Timer = this->Events.callAfter(this->LossAfter,
                                 [this, Agent] { this->lose(Agent); });
}

void WorkLinks::lose(const HostId &Agent) {
  const auto Found = this->ByAgent.find(Agent);
  if (Found == this->ByAgent.end())
    return;
  wire::WorkRefused Lost;
  Lost.Refusal.Reason = static_cast<int32_t>(RefusalReason::PeerLost);
  Lost.Refusal.RunState = static_cast<int32_t>(RunState::Unknown);
  Lost.Refusal.Detail = "the agent did not come back";
  const std::unordered_set<int64_t> Numbers = Found->second;
  for (const int64_t Work : Numbers) {
    Lost.Work = Work;
    // The handler may have abandoned it at the end of another.
    if (!this->Works.contains(Work))
      continue;
    if (const auto Owner = this->settle(Agent, WorkId{Work}))
      this->Handler(Agent, WorkEvent{*Owner, Lost});
  }
}

std::optional<WorkOwner> WorkLinks::settle(const HostId &Agent, WorkId Work) {
  const auto Found = this->Works.find(Work.Value);
  if (Found == this->Works.end() || Found->second.Agent != Agent) {
    this->LateAnswers.Increment();
    this->acknowledge(Agent, Work);
    return std::nullopt;
  }
  const WorkOwner Owner = Found->second.Owner;
  this->ByAgent[Agent].erase(Work.Value);
  this->Works.erase(Found);
  return Owner;
}

void WorkLinks::takeChunk(const HostId &Agent, const wire::WorkChunk &Chunk) {
  const auto Found = this->Works.find(Chunk.Work);
  if (Found == this->Works.end() || Found->second.Agent != Agent)
    return;
  OpenWork &Open = Found->second;
  const auto Length = static_cast<int64_t>(Chunk.Data.size());
  if (Chunk.Offset > Open.Received) {
    // A part is missing: ask again from where we are.
    this->query(Agent);
    return;
  }
  if (Chunk.Offset + Length <= Open.Received)
    return;
  wire::WorkChunk Fresh = Chunk;
  Fresh.Data.erase(0, static_cast<size_t>(Open.Received - Chunk.Offset));
  Fresh.Offset = Open.Received;
  Open.Received = Chunk.Offset + Length;
  this->Handler(Agent, WorkEvent{Open.Owner, std::move(Fresh)});
}

void WorkLinks::takeFinished(const HostId &Agent,
                             const wire::WorkFinished &Answer) {
  const auto Found = this->Works.find(Answer.Work);
  const bool Open = Found != this->Works.end() && Found->second.Agent == Agent;
  if (Open && Found->second.Stream &&
      Found->second.Received < Answer.TotalBytes) {
    // Parts were lost with a connection; the end comes again after them.
    this->query(Agent);
    return;
  }
  if (const auto Owner = this->settle(Agent, WorkId{Answer.Work}))
    this->Handler(Agent, WorkEvent{*Owner, Answer});
}

bool WorkLinks::take(const HostId &Agent, const wire::PeerMessage &Message) {
  if (Message.__isset.WorkChunkMsg) {
    this->takeChunk(Agent, Message.WorkChunkMsg);
    return true;
  }
  if (Message.__isset.WorkFinishedMsg) {
    this->takeFinished(Agent, Message.WorkFinishedMsg);
    return true;
  }
  if (Message.__isset.WorkRefusedMsg) {
    const auto &Answer = Message.WorkRefusedMsg;
    if (const auto Owner = this->settle(Agent, WorkId{Answer.Work}))
      this->Handler(Agent, WorkEvent{*Owner, Answer});
    return true;
  }
  return false;
}

} // namespace camphornotch
