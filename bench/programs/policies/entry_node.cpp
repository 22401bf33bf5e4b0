/// @file
/// An entry on virtual time.

#include "entry_node.h"

#include <algorithm>

namespace camphornotch::bench {

namespace {

/// Silence after which an agent gets no new work.
constexpr Millis SuspectAfter{1500};
/// Silence after which its work is given up.
constexpr Millis GoneAfter{8000};

} // namespace

EntryNode::EntryNode(EventQueue &Queue, size_t Number, DataCentreId Centre,
                     RegionId Region, const PolicySet &Policies, uint64_t Seed,
                     EntryPorts Ports)
    : Queue(Queue), Number(Number), Ports(std::move(Ports)),
      Table(std::move(Centre), std::move(Region)),
      Scheduler(Policies.Rollouts, this->Table, this->WorkIds, Seed),
      Router(Policies.Routes, this->Table, this->WorkIds, Seed + 1),
      Quarantine(Policies.Quarantine) {}

void EntryNode::addAgent(size_t Agent, const EndpointInfo &Info) {
  const EndpointIndex Index = this->Table.upsert(Info);
  this->AgentOf[Index] = Agent;
  this->IndexOf[Agent] = Index;
  this->HeardAt[Agent] = this->Queue.now();
}

void EntryNode::need(const SampleNeed &Need) {
  this->Needs[Need.Spec.Slot] = Need;
  this->apply(this->Scheduler.handle(SlotNeeded{Need.Spec}, this->Queue.now()));
}

void EntryNode::call(const DeskNeed &Need) {
  if (this->Quarantined.contains(Need.Digest)) {
    this->Ports.OnAnswer(Need.Spec.Request, false);
    return;
  }
  this->Calls[Need.Spec.Request] = Need;
  this->apply(
      this->Router.handle(RouteRequested{Need.Spec}, this->Queue.now()));
  this->planTick();
}

void EntryNode::onReply(size_t Agent, const AgentReply &Reply) {
  this->onHeartbeat(Agent, Reply.Load);
  const Millis Now = this->Queue.now();
  const auto Slot = this->SlotOf.find(Reply.Work);
  if (Slot == this->SlotOf.end()) {
    if (Reply.Finished)
      this->apply(this->Router.handle(RouteFinished{Reply.Work}, Now));
    else
      this->apply(
          this->Router.handle(RouteRefused{Reply.Work, Reply.Why}, Now));
    this->planTick();
    return;
  }
  const SlotRef Ref = Slot->second;
  this->SlotOf.erase(Slot);
  if (!Reply.Finished) {
    AttemptRefused Refused{Reply.Work, Reply.Why.Reason,
                           Millis{Reply.Why.RetryAfterMs}, Reply.Output};
    this->apply(this->Scheduler.handle(Refused, Now));
    return;
  }
  this->apply(this->Scheduler.handle(
      AttemptFinished{Reply.Work, Reply.Output.Tokens}, Now));
  if (this->Needs.erase(Ref) > 0)
    this->Ports.OnSample(Ref, Reply.Output);
}

void EntryNode::onHeartbeat(size_t Agent, const wire::LoadFigure &Load) {
  this->hear(Agent);
  const EndpointIndex Index = this->IndexOf.at(Agent);
  this->Table.noteLoad(Index, Load, this->Queue.now());
  this->apply(
      this->Scheduler.handle(EndpointReported{Index}, this->Queue.now()));
}

void EntryNode::onCrash(const std::vector<int64_t> &Digests) {
  if (!this->Quarantine)
    return;
  const bool WasSuspect = Digests.size() == 1 && this->runsAlone(Digests[0]);
  this->Evidence.onCrash(Digests, 0, this->Queue.now());
  if (WasSuspect)
    this->Quarantined.insert(Digests[0]);
}

bool EntryNode::runsAlone(int64_t Digest) const {
  return this->Evidence.standing(Digest, this->Queue.now()) ==
         DigestStanding::Suspect;
}

void EntryNode::onNewBoot(size_t Agent) {
  const EndpointIndex Index = this->IndexOf.at(Agent);
  this->apply(this->Scheduler.handle(EndpointGone{Index}, this->Queue.now()));
  this->apply(this->Router.handle(RouteEndpointGone{Index}, this->Queue.now()));
}

void EntryNode::tick() {
  const Millis Now = this->Queue.now();
  for (const auto &[Agent, HeardAt] : this->HeardAt) {
    const EndpointIndex Index = this->IndexOf.at(Agent);
    const Millis Silence = Now - HeardAt;
    if (Silence > SuspectAfter && this->Table.at(Index).Reachable) {
      this->Table.setReachable(Index, false);
      this->apply(this->Router.handle(RouteEndpointSilent{Index}, Now));
    }
    if (Silence > GoneAfter && !this->GivenUp[Agent]) {
      this->GivenUp[Agent] = true;
      this->onNewBoot(Agent);
    }
  }
  this->apply(this->Scheduler.handle(RolloutTick{}, Now));
  this->apply(this->Router.handle(RouteTick{}, Now));
}

void EntryNode::apply(const std::vector<RolloutAction> &Actions) {
  for (const RolloutAction &Action : Actions)
    std::visit([this](const auto &Each) { this->act(Each); }, Action);
}

void EntryNode::apply(const std::vector<RouteAction> &Actions) {
  for (const RouteAction &Action : Actions)
    std::visit([this](const auto &Each) { this->act(Each); }, Action);
}

void EntryNode::act(const SendAttempt &Action) {
  const SampleNeed &Need = this->Needs.at(Action.Slot);
  this->SlotOf[Action.Work] = Action.Slot;
  AgentWork Work;
  Work.Entry = this->Number;
  Work.RealTokens = Need.RealTokens;
  Work.Start.Work = Action.Work.Value;
  Work.Start.Kind = wire::WorkKind::Completion;
  Work.Start.Class = Action.Class;
  Work.Start.ExpectedTokens = Action.ExpectedTokens;
  Work.Start.Caller = Need.Spec.Trainer.Value;
  Work.Start.Affinity = Need.Spec.Trainer.Value + Need.Spec.Group;
  Work.Start.Digest = 1000 + Action.Slot.Value;
  Work.Start.KeptTokens = Action.Kept.Tokens;
  Work.Start.KeptSegments = Action.Kept.Segments;
  Work.Start.StepRemaining = Action.StepRemaining;
  Work.Start.Alone = this->runsAlone(Work.Start.Digest);
  this->Ports.SendWork(this->AgentOf.at(Action.Endpoint), Work);
}

void EntryNode::act(const StopAttempt &Action) {
  this->Ports.SendCancel(this->AgentOf.at(Action.Endpoint), Action.Work);
}

void EntryNode::act(const SendRequest &Action) {
  const DeskNeed &Need = this->Calls.at(Action.Request);
  AgentWork Work;
  Work.Entry = this->Number;
  Work.RealTokens = Need.Spec.ExpectedTokens;
  Work.Start.Work = Action.Work.Value;
  Work.Start.Kind = wire::WorkKind::Completion;
  Work.Start.Class = wire::WorkClass::Short;
  Work.Start.ExpectedTokens = Need.Spec.ExpectedTokens;
  Work.Start.Caller = "desk";
  Work.Start.Affinity = "desk";
  Work.Start.Digest = Need.Digest;
  Work.Start.Alone = this->runsAlone(Need.Digest);
  this->Ports.SendWork(this->AgentOf.at(Action.Endpoint), Work);
}

void EntryNode::act(const StopRequest &Action) {
  this->Ports.SendCancel(this->AgentOf.at(Action.Endpoint), Action.Work);
}

void EntryNode::act(const UseAnswer &Action) {
  this->Calls.erase(Action.Request);
  this->Ports.OnAnswer(Action.Request, true);
}

void EntryNode::act(const RefuseRoute &Action) {
  this->Calls.erase(Action.Request);
  this->Ports.OnAnswer(Action.Request, false);
}

void EntryNode::hear(size_t Agent) {
  this->HeardAt[Agent] = this->Queue.now();
  this->GivenUp[Agent] = false;
  const EndpointIndex Index = this->IndexOf.at(Agent);
  if (!this->Table.at(Index).Reachable)
    this->Table.setReachable(Index, true);
}

void EntryNode::planTick() {
  const Millis Next = this->Router.nextDeadline();
  if (Next >= this->TickAt)
    return;
  this->TickAt = Next;
  const Millis Delay = std::max(Millis{1}, Next - this->Queue.now());
  this->Queue.after(Delay, [this] {
    this->TickAt = Never;
    this->apply(this->Router.handle(RouteTick{}, this->Queue.now()));
    this->planTick();
  });
}

} // namespace camphornotch::bench
