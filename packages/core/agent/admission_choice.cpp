/// @file
/// Decisions of the admission controller: what starts, what is preempted.

#include "core/agent/admission_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Engine priority of each class; larger runs first.
constexpr int ShortPriority = 2;
/// The priority of urgent work.
constexpr int UrgentPriority = 1;

/// @param Class a class of work.
/// @return its priority at the engine.
int priorityOf(wire::WorkClass::type Class) {
  if (Class == wire::WorkClass::Short)
    return ShortPriority;
  return Class == wire::WorkClass::Urgent ? UrgentPriority : 0;
}

} // namespace

int64_t AdmissionController::Run::remaining() const {
  // Work over its estimate is likely to go on for a while.
  return std::max(
      {this->Expected - this->Produced, this->Produced / 4, int64_t{1}});
}

const ClassedAdmission *AdmissionController::classes() const {
  return std::get_if<ClassedAdmission>(&this->Settings.Policy);
}

int AdmissionController::reserve() const {
  const ClassedAdmission *Classes = this->classes();
  if (Classes == nullptr)
    return 0;
  const Millis LastShort = this->LastShortAt.value_or(this->Present);
  if (this->Present - LastShort > Classes->ReserveMemory)
    return 0;
  return std::min(Classes->ShortReserve, this->Settings.Slots - 1);
}

int AdmissionController::longFloor() const {
  const ClassedAdmission *Classes = this->classes();
  if (Classes == nullptr)
    return 0;
  return std::min({Classes->LongFloor, this->Settings.Slots - 1,
                   this->Settings.Slots - this->reserve()});
}

int AdmissionController::longRuns() const {
  return static_cast<int>(
      std::count_if(this->Runs.begin(), this->Runs.end(), [](const auto &Each) {
        return Each.second.Class != wire::WorkClass::Short;
      }));
}

bool AdmissionController::longWaits() const {
  return !this->Queues[UrgentQueue].empty() ||
         !this->Queues[RolloutQueue].empty();
}

int AdmissionController::freePlaces() const {
  return this->Settings.Slots - static_cast<int>(this->Runs.size());
}

bool AdmissionController::isShort(QueueIndex Index) const {
  return this->classes() != nullptr && Index == ShortQueue;
}

AdmissionController::QueueIndex
AdmissionController::queueOf(const wire::StartWork &Work) const {
  if (this->classes() == nullptr)
    return RolloutQueue;
  if (Work.Class == wire::WorkClass::Short)
    return ShortQueue;
  return Work.Class == wire::WorkClass::Urgent ? UrgentQueue : RolloutQueue;
}

void AdmissionController::enqueue(QueueIndex Index, WorkKey Key,
                                  const wire::StartWork &Work) {
  const int64_t Tokens = this->tokensOf(Work);
  if (this->classes() == nullptr)
    this->Queues[Index].push({}, Key, Tokens, 0);
  else
    this->Queues[Index].push(Work.Caller, Key, Tokens, Work.StepRemaining);
}

bool AdmissionController::hasPlace(QueueIndex Index) const {
  const int Free = this->freePlaces();
  if (Free <= 0 || this->classes() == nullptr)
    return Free > 0;
  const int Long = this->longRuns();
  if (!this->isShort(Index))
    return Long < this->Settings.Slots - this->reserve();
  const int KeptForLong =
      this->longWaits() ? std::max(0, this->longFloor() - Long) : 0;
  return Free > KeptForLong;
}

Millis AdmissionController::aloneHoldsAt() const {
  const auto Key = this->Queues[AloneQueue].front();
  if (!Key)
    return Never;
  const Millis From =
      std::max(this->Waiting.at(*Key).Arrived, this->LastAloneEnd);
  return From + this->Settings.AloneGrace;
}

bool AdmissionController::drainsForAlone(Millis Now) const {
  return Now >= this->aloneHoldsAt();
}

std::optional<AdmissionController::QueueIndex>
AdmissionController::chooseQueue(Millis Now) const {
  const bool AloneRuns =
      std::any_of(this->Runs.begin(), this->Runs.end(),
                  [](const auto &Each) { return Each.second.Alone; });
  if (this->Held || AloneRuns)
    return std::nullopt;
  const bool OthersWait =
      !this->Queues[ShortQueue].empty() || this->longWaits();
  const bool AloneDue = this->drainsForAlone(Now) || !OthersWait;
  if (!this->Queues[AloneQueue].empty() && AloneDue) {
    if (this->Runs.empty())
      return AloneQueue;
    if (this->drainsForAlone(Now))
      return std::nullopt;
  }
  const ClassedAdmission *Classes = this->classes();
  std::array Order{ShortQueue, UrgentQueue, RolloutQueue};
  if (Classes != nullptr && this->UrgentStreak >= Classes->UrgentBurst)
    std::swap(Order[1], Order[2]);
  if (Classes != nullptr && this->ShortStreak >= Classes->ShortBurst)
    std::rotate(Order.begin(), Order.begin() + 1, Order.end());
  for (const QueueIndex Index : Order) {
    if (!this->Queues[Index].empty() && this->hasPlace(Index))
      return Index;
  }
  return std::nullopt;
}

void AdmissionController::fillSlots(Millis Now, Actions &Out) {
  while (const auto Index = this->chooseQueue(Now))
    this->startFront(*Index, Now, Out);
  if (!this->Held)
    this->preemptForShort(Out);
}

void AdmissionController::startFront(QueueIndex Index, Millis Now,
                                     Actions &Out) {
  const WorkKey Key = *this->Queues[Index].front();
  const bool StarvesLong = this->longWaits() && this->longRuns() == 0;
  this->ShortStreak =
      this->isShort(Index) && StarvesLong ? this->ShortStreak + 1 : 0;
  const bool StarvesRollouts = !this->Queues[RolloutQueue].empty();
  if (!this->isShort(Index))
    this->UrgentStreak =
        Index == UrgentQueue && StarvesRollouts ? this->UrgentStreak + 1 : 0;
  this->Queues[Index].pop();
  const WaitingWork Item = this->Waiting.at(Key);
  this->Waiting.erase(Key);
  const RunId Id{++this->LastRun};
  this->Runs.emplace(Id, Run{Key, Item.Work.Class, Item.Work.Kind,
                             this->tokensOf(Item.Work), 0, Now, Now,
                             Item.Work.Attempt, Item.Deadline, Item.Alone});
  this->RunOf.emplace(Key, Id);
  ++this->Counts.Started;
  Out.push_back(StartRun{Key, Id, Item.Work, priorityOf(Item.Work.Class),
                         Now - Item.Arrived});
}

void AdmissionController::preemptForShort(Actions &Out) {
  const ClassedAdmission *Classes = this->classes();
  if (Classes == nullptr || !Classes->Preempt)
    return;
  auto Short = static_cast<int64_t>(this->Queues[ShortQueue].size());
  if (Short == 0 || this->freePlaces() > 0)
    return;
  int LongKept = 0;
  for (const auto &[Id, Each] : this->Runs) {
    const bool Soon = Each.Stopping || Each.remaining() <= Classes->SoonTokens;
    Short -= Soon ? 1 : 0;
    LongKept += Each.Class != wire::WorkClass::Short && !Each.Stopping ? 1 : 0;
  }
  while (Short > 0 && LongKept > this->longFloor()) {
    const auto Victim = this->longestRollout();
    if (!Victim)
      return;
    this->stopRun(*Victim, RefusalReason::Preempted, Out);
    ++this->Counts.Preempted;
    --Short;
    --LongKept;
  }
}

std::optional<RunId> AdmissionController::longestRollout() const {
  const ClassedAdmission *Classes = this->classes();
  assert(Classes != nullptr);
  std::optional<RunId> Longest;
  int64_t Most = Classes->MinPreemptTokens;
  for (const auto &[Id, Each] : this->Runs) {
    const bool May = Each.Class == wire::WorkClass::Rollout &&
                     Each.Kind == wire::WorkKind::Completion &&
                     !Each.Stopping && !Each.Alone &&
                     Each.Attempt < Classes->MaxPreemptAttempt;
    const int64_t Left = Each.remaining();
    if (!May || Left < Most || (Left == Most && Longest && *Longest < Id))
      continue;
    Longest = Id;
    Most = Left;
  }
  return Longest;
}

void AdmissionController::stopRun(RunId Id, RefusalReason Reason,
                                  Actions &Out) {
  Run &Stopped = this->Runs.at(Id);
  if (Stopped.Stopping)
    return;
  Stopped.Stopping = true;
  Stopped.StopReason = Reason;
  Out.push_back(StopRun{Stopped.Key, Id, Reason});
}

} // namespace camphornotch
