/// @file
/// Events of the admission controller: arrivals, ends, holds and deadlines.

#include "core/agent/admission_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Time after which a refusal for want of room says to retry, at least.
constexpr int64_t MinRetryAfterMs = 100;
/// The same, at most.
constexpr int64_t MaxRetryAfterMs = 10'000;
/// Time after which work refused by a leaving host is worth sending again.
constexpr int64_t ElsewhereRetryAfterMs = 10;

/// @param Reason why.
/// @param RetryAfterMs when a retry may succeed.
/// @param Detail what is particular.
/// @return a refusal of work that never started.
Refusal notRun(RefusalReason Reason, int64_t RetryAfterMs,
               std::string Detail = {}) {
  return Refusal{Reason, RunState::NotRun, RetryAfterMs, std::move(Detail)};
}

/// @param Work the work.
/// @param Now when it arrived.
/// @return until when it must be done.
Millis deadlineOf(const wire::StartWork &Work, Millis Now) {
  return Work.DeadlineMs > 0 ? Now + Millis{Work.DeadlineMs} : Never;
}

} // namespace

AdmissionController::AdmissionController(AdmissionSettings Settings)
    : Settings(Settings),
      MicrosPerToken(static_cast<double>(Settings.InitialTokenMicros)) {
  assert(Settings.Slots > 0);
}

std::vector<AdmissionAction>
AdmissionController::handle(const AdmissionEvent &Event, Millis Now) {
  Actions Out;
  this->Present = Now;
  this->LastShortAt = this->LastShortAt.value_or(Now);
  this->expire(Now, Out);
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  this->fillSlots(Now, Out);
  assert(this->RunOf.size() == this->Runs.size());
  return Out;
}

Millis AdmissionController::nextDeadline() const {
  Millis Next = Never;
  if (!this->Deadlines.empty())
    Next = this->Deadlines.begin()->first;
  return std::min(Next, this->aloneHoldsAt());
}

void AdmissionController::on(const SubmitWork &Event, Millis Now,
                             Actions &Out) {
  if (this->Waiting.contains(Event.Key) || this->RunOf.contains(Event.Key))
    return;
  if (auto Why = this->objection(Event.Work, Now)) {
    ++this->Counts.Refused;
    Out.push_back(RefuseWork{Event.Key, *std::move(Why), RunId{}});
    return;
  }
  if (!isLong(Event.Work))
    this->LastShortAt = Now;
  const Millis Deadline = deadlineOf(Event.Work, Now);
  const WaitingWork Item{Event.Work, Now, Deadline, Event.Alone};
  const QueueIndex Index = Event.Alone ? AloneQueue : this->queueOf(Event.Work);
  this->Waiting.emplace(Event.Key, Item);
  this->enqueue(Index, Event.Key, Event.Work);
  if (Deadline != Never)
    this->Deadlines.emplace(Deadline, Event.Key);
}

std::optional<Refusal>
AdmissionController::objection(const wire::StartWork &Work, Millis Now) const {
  if (this->Closed)
    return notRun(*this->Closed, ElsewhereRetryAfterMs);
  const Millis Wait = this->expectedWait(Work, Now);
  const Millis Bound =
      isLong(Work) ? this->Settings.MaxLongWait : this->Settings.MaxShortWait;
  const int64_t RetryAfterMs =
      std::clamp(Wait.Count / 2, MinRetryAfterMs, MaxRetryAfterMs);
  if (this->Waiting.size() >= this->Settings.MaxQueued)
    return notRun(RefusalReason::QueueFull, RetryAfterMs, "too much waits");
  if (Wait > Bound)
    return notRun(RefusalReason::QueueFull, RetryAfterMs, "wait over bound");
  const Millis Run{this->tokensOf(Work) * this->tokenMicros(Now) / 1000};
  if (Work.DeadlineMs > 0 && Wait + Run > Millis{Work.DeadlineMs})
    return notRun(RefusalReason::DeadlineTooShort, RetryAfterMs);
  return std::nullopt;
}

void AdmissionController::on(const DropWork &Event, Millis /*Now*/,
                             Actions &Out) {
  if (this->Waiting.contains(Event.Key)) {
    this->refuseWaiting(Event.Key, notRun(Event.Reason, 0), Out);
    return;
  }
  const auto Found = this->RunOf.find(Event.Key);
  if (Found == this->RunOf.end())
    return;
  // Others may have joined a call under an intent: it runs to its end.
  if (this->Runs.at(Found->second).Kind != wire::WorkKind::IntentCall)
    this->stopRun(Found->second, Event.Reason, Out);
}

void AdmissionController::on(const RunProgressed &Event, Millis Now,
                             Actions & /*Out*/) {
  const auto Found = this->Runs.find(Event.Run);
  if (Found == this->Runs.end() || Event.Tokens <= 0)
    return;
  Run &Progressed = Found->second;
  // The first part also holds the time for the prompt.
  if (Progressed.Produced > 0)
    this->learnSpeed(Now - Progressed.LastProgress, Event.Tokens);
  Progressed.Produced += Event.Tokens;
  Progressed.LastProgress = Now;
  this->LargestChunk = std::max(this->LargestChunk, Event.Tokens);
}

void AdmissionController::on(const RunEnded &Event, Millis Now, Actions &Out) {
  const auto Found = this->Runs.find(Event.Run);
  if (Found == this->Runs.end())
    return;
  const Run Ended = Found->second;
  this->removeRun(Event.Run);
  if (Ended.Alone)
    this->LastAloneEnd = Now;
  if (Event.Outcome != RunOutcome::Finished) {
    this->refuseRun(Event.Run, Ended, Event, Out);
    return;
  }
  if (Ended.Kind != wire::WorkKind::Completion)
    this->learnSpeed(Now - Ended.Started, 1);
}

void AdmissionController::refuseRun(RunId Id, const Run &Ended,
                                    const RunEnded &Event, Actions &Out) {
  const RefusalReason Reason =
      Ended.Stopping ? Ended.StopReason : RefusalReason::EndpointFailed;
#ifdef CAMPHORNOTCH_MUTATION_BROKEN_SAYS_NOT_RUN
  const bool NotRun = Event.Outcome != RunOutcome::Finished;
#else
  const bool NotRun = Event.NeverSent;
#endif
  const RunState State = NotRun ? RunState::NotRun : RunState::Unknown;
  Out.push_back(
      RefuseWork{Ended.Key, {Reason, State, ElsewhereRetryAfterMs, {}}, Id});
}

void AdmissionController::on(const HoldStarts &Event, Millis /*Now*/,
                             Actions & /*Out*/) {
  this->Held = Event.Hold;
}

void AdmissionController::on(const CloseAdmission &Event, Millis /*Now*/,
                             Actions &Out) {
  if (!Event.Closed) {
    this->Closed.reset();
    return;
  }
  this->Closed = Event.Reason;
  std::vector<WorkKey> Keys;
  for (const auto &[Key, Item] : this->Waiting)
    Keys.push_back(Key);
  std::sort(Keys.begin(), Keys.end());
  for (const WorkKey Key : Keys) {
    const Refusal Why = notRun(Event.Reason, ElsewhereRetryAfterMs);
    this->refuseWaiting(Key, Why, Out);
  }
}

void AdmissionController::on(const EvictRuns &Event, Millis /*Now*/,
                             Actions &Out) {
  std::vector<RunId> Ids;
  for (const auto &[Id, Each] : this->Runs) {
    if (Each.Kind == wire::WorkKind::Completion)
      Ids.push_back(Id);
  }
  std::sort(Ids.begin(), Ids.end());
  for (const RunId Id : Ids)
    this->stopRun(Id, Event.Reason, Out);
}

void AdmissionController::on(const ChangeAdmission &Event, Millis /*Now*/,
                             Actions & /*Out*/) {
  assert(Event.Settings.Slots > 0);
  this->Settings = Event.Settings;
  // Work that waits keeps its place; a changed policy must not strand it.
  for (FairQueue &Queue : this->Queues)
    Queue = FairQueue{};
  std::vector<std::pair<Millis, WorkKey>> Order;
  for (const auto &[Key, Item] : this->Waiting)
    Order.emplace_back(Item.Arrived, Key);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Arrived, Key] : Order) {
    const WaitingWork &Item = this->Waiting.at(Key);
    const QueueIndex Index = Item.Alone ? AloneQueue : this->queueOf(Item.Work);
    this->enqueue(Index, Key, Item.Work);
  }
}

void AdmissionController::on(const AdmissionTick & /*Event*/, Millis /*Now*/,
                             Actions & /*Out*/) {}

void AdmissionController::expire(Millis Now, Actions &Out) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    const WorkKey Key = this->Deadlines.begin()->second;
    this->Deadlines.erase(this->Deadlines.begin());
    if (this->Waiting.contains(Key)) {
      const Refusal Why =
          notRun(RefusalReason::DeadlineTooShort, MinRetryAfterMs);
      this->refuseWaiting(Key, Why, Out);
      continue;
    }
    const RunId Id = this->RunOf.at(Key);
    if (this->Runs.at(Id).Kind == wire::WorkKind::Completion)
      this->stopRun(Id, RefusalReason::DeadlineTooShort, Out);
  }
}

void AdmissionController::refuseWaiting(WorkKey Key, Refusal Why,
                                        Actions &Out) {
  this->removeWaiting(Key);
  ++this->Counts.Refused;
  Out.push_back(RefuseWork{Key, std::move(Why), RunId{}});
}

void AdmissionController::removeWaiting(WorkKey Key) {
  const auto Found = this->Waiting.find(Key);
  assert(Found != this->Waiting.end());
  this->Deadlines.erase({Found->second.Deadline, Key});
  this->Waiting.erase(Found);
  for (FairQueue &Queue : this->Queues)
    Queue.erase(Key);
}

void AdmissionController::removeRun(RunId Id) {
  const auto Found = this->Runs.find(Id);
  assert(Found != this->Runs.end());
  const Run &Ended = Found->second;
  this->Deadlines.erase({Ended.Deadline, Ended.Key});
  this->RunOf.erase(Ended.Key);
  this->Runs.erase(Found);
}

} // namespace camphornotch
