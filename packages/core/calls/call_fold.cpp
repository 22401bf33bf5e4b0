/// @file
/// The call controller's records, answers and memory.

#include "core/calls/call_base.h"

#include "base/hash_func.h"

#include <algorithm>

namespace camphornotch {

void CallController::on(const RecordCommitted &Event, Millis Now,
                        Actions &Out) {
  const wire::LogRecord &Record = Event.Record;
  if (Record.__isset.Boot)
    this->LastBoots[HostId{Record.Boot.Host}] = BootId{Record.Boot.Boot};
  if (Record.__isset.Intent)
    this->foldIntent(Event.Offset, Record.Intent, Now, Out);
  if (Record.__isset.Outcome)
    this->foldOutcome(Record.Outcome, Now, Out);
  this->shrink(Event.Offset);
}

void CallController::load(
    const std::unordered_map<std::string, IntentState> &Intents) {
  std::map<LogOffset, const IntentState *> Ordered;
  for (const auto &[Key, Folded] : Intents)
    Ordered[Folded.Offset] = &Folded;
  for (const auto &[Offset, Folded] : Ordered) {
    KeyState &State = this->Keys[Folded->Intent.Key];
    if (State.Intent == NoOffset) {
      State.Intent = Offset;
      State.Record = Folded->Intent;
      State.Proposed = false;
      this->Order.emplace_back(Offset, Folded->Intent.Key);
    }
    if (!State.Outcome)
      State.Outcome = Folded->Outcome;
  }
  if (!Ordered.empty())
    this->shrink(Ordered.rbegin()->first);
}

void CallController::foldIntent(LogOffset Offset,
                                const wire::IntentRecord &Record, Millis Now,
                                Actions &Out) {
  if (this->forgotten(Record.Key))
    return;
  KeyState &State = this->Keys[Record.Key];
#ifndef CAMPHORNOTCH_MUTATION_LAST_INTENT_STANDS
  if (State.Intent != NoOffset)
    return;
#endif
  State.Intent = Offset;
  State.Record = Record;
  State.Proposed = false;
  this->Order.emplace_back(Offset, Record.Key);
  if (State.Waiters.empty())
    return;
  if (State.Request->Digest != Record.Digest) {
    this->refuse(State,
                 Refusal{RefusalReason::KeyReused, RunState::NotRun, 0,
                         "the key belongs to another request"},
                 true, Out);
    return;
  }
  this->dispatch(State, Now, Out);
}

void CallController::foldOutcome(const wire::OutcomeRecord &Record, Millis Now,
                                 Actions &Out) {
  const auto Found = this->Keys.find(Record.Key);
  if (Found == this->Keys.end() ||
      Found->second.Intent.Value != Record.IntentOffset)
    return;
  KeyState &State = Found->second;
  if (State.Outcome && State.Outcome->NotRun != Record.NotRun)
    return;
  const bool Told = State.Outcome.has_value() && !State.Outcome->BodyOmitted;
  if (!Told)
    State.Outcome = Record;
  if (State.Work != WorkId{0} && !Record.BodyOmitted)
    Out.emplace_back(AckIntent{HostId{State.Record.AgentHost}, State.Work});
  this->proceed(State, Now, Out);
}

Refusal CallController::endedRefusal(const wire::OutcomeRecord &Outcome) {
  // The first intent of a key stands for ever, so that "not run" stays true.
  return Refusal{refusalFromWire(Outcome.Status), RunState::NotRun, 0,
                 "the key ended without a run; use a new one"};
}

void CallController::answer(KeyState &State, const wire::OutcomeRecord &Outcome,
                            bool Repeated, Actions &Out) {
  bool First = !Repeated;
  for (const Waiter &Waiting : State.Waiters) {
    Out.emplace_back(AnswerCall{Waiting.Request, Outcome.Status,
                                Outcome.ContentType, Outcome.Body, !First});
    First = false;
  }
  this->clearWaiters(State);
}

void CallController::refuse(KeyState &State, const Refusal &Why, bool Settled,
                            Actions &Out) {
  for (const Waiter &Waiting : State.Waiters) {
    Refusal Told = Why;
    // Another entry may have started the key for an earlier request of the
    // caller: only a first use that was not sent from here did not run.
#ifndef CAMPHORNOTCH_MUTATION_ASSUME_NOT_RUN
    const bool Untouched = Waiting.FirstUse && State.Work == WorkId{0};
    if (!Settled && !Untouched)
      Told.State = RunState::Unknown;
#endif
    Out.emplace_back(RefuseRequest{Waiting.Request, Told});
  }
  this->clearWaiters(State);
}

void CallController::appendOutcome(const wire::OutcomeRecord &Outcome,
                                   Actions &Out) {
  wire::LogRecord Record;
  Record.__set_Outcome(Outcome);
  Out.emplace_back(AppendRecord{std::move(Record)});
}

void CallController::clearWaiters(KeyState &State) {
  for (const Waiter &Waiting : State.Waiters)
    this->Requests.erase(Waiting.Request);
  State.Waiters.clear();
  State.Deadline = Never;
  if (!State.Request)
    return;
  const std::string Key = State.Request->Key;
  std::erase_if(this->Requests,
                [&](const auto &Entry) { return Entry.second == Key; });
  this->Waiting.erase(Key);
  State.Request.reset();
  // A key of which nothing is known and nothing under way is no key.
  if (State.Intent == NoOffset && !State.Proposed)
    this->Keys.erase(Key);
}

void CallController::forgetWork(KeyState &State) {
  this->Works.erase(State.Work.Value);
  State.Work = WorkId{0};
  State.OnLink = false;
}

CallController::KeyState *CallController::findWork(int64_t Work) {
  const auto Found = this->Works.find(Work);
  if (Found == this->Works.end())
    return nullptr;
  return &this->Keys.at(Found->second);
}

bool CallController::forgotten(const std::string &Key) const {
  return this->ReducedKeys.contains(hashBytes(Key));
}

void CallController::shrink(LogOffset Newest) {
  while (this->Order.size() > this->Settings.MaxKeys) {
    const auto [Offset, Key] = this->Order.front();
    const auto Found = this->Keys.find(Key);
    const bool Present =
        Found != this->Keys.end() && Found->second.Intent == Offset;
    if (Present && !Found->second.Waiters.empty())
      return;
    this->Order.pop_front();
    if (!Present)
      continue;
    this->forgetWork(Found->second);
    this->Keys.erase(Found);
    this->ReducedKeys.insert(hashBytes(Key));
    this->ReducedOrder.emplace_back(Offset, hashBytes(Key));
  }
  const int64_t Horizon = Newest.Value - this->Settings.KeyHorizonRecords;
  while (!this->ReducedOrder.empty() &&
         this->ReducedOrder.front().first.Value < Horizon) {
    this->ReducedKeys.erase(this->ReducedOrder.front().second);
    this->ReducedOrder.pop_front();
  }
}

} // namespace camphornotch
