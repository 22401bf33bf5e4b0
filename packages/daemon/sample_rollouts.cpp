/// @file
/// Trainers' samples: attempts, from the scheduler to agents and back.

#include "base/clock_func.h"
#include "base/hash_func.h"
#include "base/refusal_func.h"
#include "base/text_func.h"
#include "daemon/sample_answer_func.h"
#include "daemon/sample_task_base.h"
#include "rules/lookup_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// The status of an answer with output.
constexpr int32_t StatusOk = 200;
/// From here on a status tells of a failure that another try may mend.
constexpr int32_t StatusServerError = 500;

/// @param Reason a refusal.
/// @return whether every endpoint would refuse likewise.
bool isHopeless(RefusalReason Reason) {
  return Reason == RefusalReason::Quarantined ||
         Reason == RefusalReason::BadRequest ||
         Reason == RefusalReason::TooLarge;
}

/// @param Refused an agent's refusal.
/// @return the output to resume from.
KeptOutput keptOf(const wire::WorkRefused &Refused) {
  KeptOutput Kept;
  if (!Refused.__isset.KeptTokens || Refused.KeptTokens <= 0)
    return Kept;
  Kept.Text = Refused.KeptText;
  Kept.Tokens = Refused.KeptTokens;
  Kept.Segments = Refused.KeptSegments;
  return Kept;
}

/// @param Need a slot's needs.
/// @return its name in logs.
std::string slotName(const NeedAttempt &Need) {
  return concat(Need.Trainer.Value, "/", Need.Slot.Step, "/", Need.Group, "/",
                Need.Slot.Index);
}

} // namespace

void SampleTask::act(const TrainerId &Name, const NeedAttempt &Action) {
  const SlotRef Ref{++this->LastSlot};
  Trainer &Of = this->Trainers.at(Name);
  const auto Old = Of.Slots.find(Action.Slot);
  if (Old != Of.Slots.end()) {
    const SlotRef Dropped = Old->second;
    this->closeSlot(Dropped);
    this->schedule(SlotDropped{Dropped});
  }
  Of.Slots[Action.Slot] = Ref;
  const Slot &New =
      this->Slots.emplace(Ref, Slot{Action, completionBodyOf(Action)})
          .first->second;
  RolloutSpec Spec;
  Spec.Slot = Ref;
  Spec.Trainer = Name;
  Spec.Model = Action.Model;
  Spec.Step = Action.Slot.Step;
  Spec.Group = Action.Group;
  Spec.MaxTokens = Action.MaxTokens;
  Spec.Bytes = static_cast<int64_t>(New.Body.size());
  Spec.MinVersion = Action.MinVersion;
  Spec.OldestVersion = Action.OldestVersion;
  Spec.Engines =
      trainerRule(*this->Log.fold().config().Rules, Name.Value).Engines;
  this->schedule(SlotNeeded{Spec});
}

void SampleTask::act(const TrainerId &Name, const CancelAttempts &Action) {
  Trainer &Of = this->Trainers.at(Name);
  const auto Found = Of.Slots.find(Action.Slot);
  if (Found == Of.Slots.end())
    return;
  const SlotRef Ref = Found->second;
  this->closeSlot(Ref);
  this->schedule(SlotDropped{Ref});
}

void SampleTask::act(const TrainerId &Name, const SlotAcknowledged &Action) {
  this->release(this->Trainers.at(Name), Action.Slot);
}

void SampleTask::release(Trainer &Of, const SlotKey &Key) {
  const auto Found = Of.Kept.find(Key);
  if (Found == Of.Kept.end())
    return;
  this->Works.acknowledge(Found->second.first, Found->second.second);
  Of.Kept.erase(Found);
}

std::optional<SampleTask::Slot> SampleTask::closeSlot(SlotRef Ref) {
  auto Node = this->Slots.extract(Ref);
  if (Node.empty())
    return std::nullopt;
  const NeedAttempt &Need = Node.mapped().Need;
  this->Trainers.at(Need.Trainer).Slots.erase(Need.Slot);
  return std::move(Node.mapped());
}

void SampleTask::schedule(const RolloutEvent &Event) {
  const auto Actions = this->Scheduler.handle(Event, steadyNow());
  for (const RolloutAction &Action : Actions)
    std::visit([this](const auto &One) { this->act(One); }, Action);
  this->planScheduler();
}

void SampleTask::planScheduler() {
  this->Events.cancel(this->SchedulerTimer);
  const Millis Next = this->Scheduler.nextDeadline();
  if (Next < Never)
    this->SchedulerTimer =
        this->Events.callAt(Next, [this] { this->schedule(RolloutTick{}); });
}

void SampleTask::act(const SendAttempt &Action) {
  const auto Found = this->Slots.find(Action.Slot);
  if (Found == this->Slots.end())
    return;
  const NeedAttempt &Need = Found->second.Need;
  wire::StartWork Work;
  Work.Work = Action.Work.Value;
  Work.Kind = wire::WorkKind::Completion;
  Work.Class = Action.Class;
  Work.Method = "POST";
  Work.Path = "/v1/completions";
  Work.Body = Found->second.Body;
  Work.ContentType = "application/json";
  Work.ExpectedTokens = Action.ExpectedTokens;
  Work.Caller = Need.Trainer.Value;
  Work.RequestId = concat(slotName(Need), ".", Action.Attempt);
  Work.Digest = static_cast<int64_t>(hashBytes(Found->second.Body));
  Work.Affinity =
      concat(Need.Trainer.Value, "/", Need.Slot.Step, "/", Need.Group);
  Work.MinVersion = Action.MinVersion.Value;
  Work.KeptText = Action.Kept.Text;
  Work.KeptTokens = Action.Kept.Tokens;
  Work.KeptSegments = Action.Kept.Segments;
  Work.Attempt = Action.Attempt;
  Work.StepRemaining = Action.StepRemaining;
  this->Attempts.emplace(Action.Work, Attempt{Action.Slot, Action.Endpoint,
                                              steadyNow(), Action.Kept.Text});
  const HostId &Agent = this->Table.at(Action.Endpoint).Info.Host;
  if (this->Works.start(Agent, Work, WorkOwner::Rollout))
    return;
  // The link broke just now; the scheduler is told in a later turn.
  this->Events.defer([this, Id = Action.Work, Kept = Action.Kept] {
    if (this->Attempts.erase(Id) > 0)
      this->schedule(
          AttemptRefused{Id, RefusalReason::PeerLost, Millis{0}, Kept});
  });
}

void SampleTask::act(const StopAttempt &Action) {
  if (Action.KeepTokens) {
    this->Works.stop(Action.Work, true);
    return;
  }
  this->Attempts.erase(Action.Work);
  this->Works.abandon(Action.Work);
}

void SampleTask::act(const CountRetry &Action) {
  this->Counters.countRetry(Action.Reason);
}

void SampleTask::take(const HostId &Agent, const WorkEvent &Event) {
  if (const auto *Finished = std::get_if<wire::WorkFinished>(&Event.Answer))
    this->finished(Agent, *Finished);
  if (const auto *Refused = std::get_if<wire::WorkRefused>(&Event.Answer)) {
    this->Works.acknowledge(Agent, WorkId{Refused->Work});
    this->refused(*Refused);
  }
}

void SampleTask::finished(const HostId &Agent,
                          const wire::WorkFinished &Finished) {
  const WorkId Work{Finished.Work};
  auto Node = this->Attempts.extract(Work);
  if (Node.empty() || Finished.Status != StatusOk)
    this->Works.acknowledge(Agent, Work);
  if (Node.empty())
    return;
  const Attempt Done = std::move(Node.mapped());
  if (Finished.Status >= StatusServerError) {
    this->schedule(AttemptRefused{Work, RefusalReason::EndpointFailed,
                                  Millis{0}, KeptOutput{}});
    return;
  }
  if (Finished.Status != StatusOk) {
    this->failSlot(Done.Slot, RefusalReason::BadRequest);
    return;
  }
  const auto Closed = this->closeSlot(Done.Slot);
  this->schedule(AttemptFinished{Work, Finished.Tokens});
  if (!Closed) {
    this->Works.acknowledge(Agent, Work);
    return;
  }
  Trainer &Of = this->Trainers.at(Closed->Need.Trainer);
  this->release(Of, Closed->Need.Slot);
  Of.Kept[Closed->Need.Slot] = {Agent, Work};
  this->handle(Closed->Need.Trainer,
               SlotFinished{Closed->Need.Slot, Done.KeptText + Finished.Body,
                            Finished.Tokens, Finished.Segments,
                            Finished.LabelKnown, steadyNow() - Done.SentAt});
}

void SampleTask::refused(const wire::WorkRefused &Refused) {
  const WorkId Work{Refused.Work};
  auto Node = this->Attempts.extract(Work);
  if (Node.empty())
    return;
  const RefusalReason Reason = refusalFromWire(Refused.Refusal.Reason);
  if (isHopeless(Reason)) {
    this->failSlot(Node.mapped().Slot, Reason);
    return;
  }
  this->schedule(AttemptRefused{
      Work, Reason, Millis{Refused.Refusal.RetryAfterMs}, keptOf(Refused)});
}

void SampleTask::failSlot(SlotRef Ref, RefusalReason Reason) {
  const auto Closed = this->closeSlot(Ref);
  this->schedule(SlotDropped{Ref});
  if (Closed)
    this->handle(Closed->Need.Trainer, SlotFailed{Closed->Need.Slot, Reason});
}

void SampleTask::endpointLost(EndpointIndex Endpoint) {
  std::erase_if(this->Attempts, [Endpoint](const auto &Entry) {
    return Entry.second.Endpoint == Endpoint;
  });
  this->schedule(EndpointGone{Endpoint});
}

void SampleTask::endpointReported(EndpointIndex Endpoint) {
  this->schedule(EndpointReported{Endpoint});
}

} // namespace camphornotch
