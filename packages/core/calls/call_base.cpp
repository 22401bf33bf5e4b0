/// @file
/// The call controller's events.

#include "core/calls/call_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// After how long a refused caller may try again.
constexpr int64_t RetryAfterMs = 500;

} // namespace

CallController::CallController(CallSettings Settings, WorkIdSource &WorkIds)
    : Settings(Settings), WorkIds(WorkIds) {}

std::vector<CallAction> CallController::handle(const CallEvent &Event,
                                               Millis Now) {
  Actions Out;
  std::visit([&](const auto &Known) { this->on(Known, Now, Out); }, Event);
  return Out;
}

Millis CallController::nextDeadline() const {
  Millis Next = Never;
  for (const std::string &Key : this->Waiting)
    Next = std::min(Next, this->Keys.at(Key).Deadline);
  return Next;
}

void CallController::on(const CallReceived &Event, Millis Now, Actions &Out) {
  if (Event.Key.empty()) {
    Out.emplace_back(RefuseRequest{
        Event.Request, Refusal{RefusalReason::BadRequest, RunState::NotRun, 0,
                               "Idempotency-Key: is missing"}});
    return;
  }
  if (this->forgotten(Event.Key)) {
    Out.emplace_back(RefuseRequest{
        Event.Request, Refusal{RefusalReason::OutcomeUnknown, RunState::Unknown,
                               0, "the answer is no longer kept"}});
    return;
  }
  KeyState &State = this->Keys[Event.Key];
  if (this->addWaiter(Event, State, Out))
    this->proceed(State, Now, Out);
}

bool CallController::addWaiter(const CallReceived &Event, KeyState &State,
                               Actions &Out) {
  const bool Standing = State.Intent != NoOffset;
  const bool OtherRun = Standing && State.Record.Digest != Event.Digest;
  const bool OtherWaits =
      State.Request && State.Request->Digest != Event.Digest;
  if (OtherRun || OtherWaits) {
    // While no intent stands, the one with this digest may still win.
    const RunState Run = Standing ? RunState::NotRun : RunState::Unknown;
    Out.emplace_back(RefuseRequest{
        Event.Request, Refusal{RefusalReason::KeyReused, Run, 0,
                               "the key belongs to another request"}});
    return false;
  }
  State.Waiters.push_back(Waiter{Event.Request, Event.FirstUse});
  const bool Renew = !State.Request || !State.Request->Target;
  if (Renew)
    State.Request = Event;
  this->Waiting.insert(Event.Key);
  this->Requests[Event.Request] = Event.Key;
  return true;
}

void CallController::proceed(KeyState &State, Millis Now, Actions &Out) {
  if (State.Waiters.empty())
    return;
  const bool Ended = State.Outcome && State.Outcome->NotRun;
  const bool Whole = State.Outcome && !State.Outcome->BodyOmitted;
  if (Ended)
    this->refuse(State, endedRefusal(*State.Outcome), true, Out);
  else if (Whole)
    this->answer(State, *State.Outcome, true, Out);
  else if (State.Intent != NoOffset)
    this->dispatch(State, Now, Out);
  else
    this->propose(State, Now, Out);
}

void CallController::propose(KeyState &State, Millis Now, Actions &Out) {
  if (!this->LogUp) {
    this->refuse(State,
                 Refusal{RefusalReason::LogUnavailable, RunState::NotRun,
                         RetryAfterMs, "no intent can be recorded"},
                 false, Out);
    return;
  }
  if (State.Proposed) {
    State.Deadline = std::min(State.Deadline, Now + this->Settings.IntentWait);
    return;
  }
  if (!State.Request->Target) {
    this->refuse(State,
                 Refusal{RefusalReason::NoEndpoint, RunState::NotRun,
                         RetryAfterMs, "no agent of the service is present"},
                 false, Out);
    return;
  }
  State.Proposed = true;
  State.Deadline = Now + this->Settings.IntentWait;
  wire::IntentRecord Intent;
  Intent.Key = State.Request->Key;
  Intent.Digest = State.Request->Digest;
  Intent.Endpoint = State.Request->Target->Endpoint.Value;
  Intent.AgentHost = State.Request->Target->Agent.Value;
  Intent.AgentBoot = State.Request->Target->Boot.Value;
  Intent.Caller = State.Request->Caller;
  wire::LogRecord Record;
  Record.__set_Intent(Intent);
  Out.emplace_back(AppendRecord{std::move(Record)});
#ifdef CAMPHORNOTCH_MUTATION_SEND_BEFORE_READ_BACK
  // Any number that is no offset of the log yet.
  State.Intent = LogOffset{State.Request->Request.Value + INT32_MAX};
  State.Record = Intent;
  this->dispatch(State, Now, Out);
#endif
}

void CallController::dispatch(KeyState &State, Millis Now, Actions &Out) {
  const HostId Agent{State.Record.AgentHost};
  const auto Last = this->LastBoots.find(Agent);
  const bool Ended = Last != this->LastBoots.end() &&
                     Last->second.Value != State.Record.AgentBoot;
  if (Ended) {
#ifdef CAMPHORNOTCH_MUTATION_SECOND_INTENT
    State.Intent = NoOffset;
    State.Proposed = false;
    this->propose(State, Now, Out);
#else
    this->refuse(State,
                 Refusal{RefusalReason::OutcomeUnknown, RunState::Unknown, 0,
                         "the agent restarted before it told the outcome"},
                 true, Out);
#endif
    return;
  }
  if (State.Deadline == Never || State.Work == WorkId{0})
    State.Deadline = Now + this->Settings.AnswerWait;
  if (!this->Agents.contains(Agent) || State.OnLink)
    return;
  if (State.Work == WorkId{0}) {
    State.Work = this->WorkIds.next();
    this->Works[State.Work.Value] = State.Record.Key;
  }
  State.OnLink = true;
  Out.emplace_back(SendIntent{Agent, this->startMessage(State)});
}

wire::StartWork CallController::startMessage(const KeyState &State) const {
  const CallReceived &Request = *State.Request;
  wire::StartWork Message;
  Message.Work = State.Work.Value;
  Message.Kind = wire::WorkKind::IntentCall;
  Message.Class = wire::WorkClass::Short;
  Message.Method = Request.Method;
  Message.Path = Request.Path;
  Message.Body = Request.Body;
  Message.ContentType = Request.ContentType;
  Message.Caller = Request.Caller;
  Message.RequestId = Request.RequestId;
  Message.Digest = Request.Digest;
  Message.IdempotencyKey = State.Record.Key;
  Message.IntentOffset = State.Intent.Value;
  Message.AgentBoot = State.Record.AgentBoot;
  return Message;
}

void CallController::on(const AgentPresent &Event, Millis Now, Actions &Out) {
  this->Agents[Event.Host] = Event.Boot;
  this->LastBoots[Event.Host] = Event.Boot;
  const std::set<std::string> Keys = this->Waiting;
  for (const std::string &Key : Keys) {
    KeyState &State = this->Keys.at(Key);
    if (State.Intent == NoOffset || State.Record.AgentHost != Event.Host.Value)
      continue;
    State.OnLink = false;
    this->proceed(State, Now, Out);
  }
}

void CallController::on(const AgentLost &Event, Millis /*Now*/,
                        Actions & /*Out*/) {
  this->Agents.erase(Event.Host);
  for (const auto &[Work, Key] : this->Works) {
    KeyState &State = this->Keys.at(Key);
    if (State.Record.AgentHost == Event.Host.Value)
      State.OnLink = false;
  }
}

void CallController::on(const CallFinished &Event, Millis /*Now*/,
                        Actions &Out) {
  KeyState *State = this->findWork(Event.Answer.Work);
  if (!State)
    return;
  wire::OutcomeRecord Outcome;
  Outcome.Key = State->Record.Key;
  Outcome.IntentOffset = State->Intent.Value;
  Outcome.Status = Event.Answer.Status;
  Outcome.ContentType = Event.Answer.ContentType;
  Outcome.Body = Event.Answer.Body;
  this->answer(*State, Outcome, false, Out);
  const auto Bytes = static_cast<int64_t>(Outcome.Body.size());
  if (Bytes > this->Settings.MaxOutcomeBytes) {
    Outcome.BodyOmitted = true;
    Outcome.Body.clear();
  }
  if (State->Outcome)
    return;
  State->Outcome = Outcome;
  appendOutcome(Outcome, Out);
}

void CallController::on(const CallRefused &Event, Millis Now, Actions &Out) {
  KeyState *State = this->findWork(Event.Answer.Work);
  if (!State)
    return;
  const wire::RefusalMessage &Told = Event.Answer.Refusal;
  if (refusalFromWire(Told.Reason) == RefusalReason::PeerLost) {
    // The agent misses this message, which says nothing of the intent: another
    // entry may have started it. The guard is asked under a new number.
    this->forgetWork(*State);
    this->proceed(*State, Now, Out);
    return;
  }
  Refusal Why{refusalFromWire(Told.Reason), RunState::Unknown,
              Told.RetryAfterMs, Told.Detail};
  if (Told.RunState == static_cast<int32_t>(RunState::NotRun)) {
    Why.State = RunState::NotRun;
    wire::OutcomeRecord Outcome;
    Outcome.Key = State->Record.Key;
    Outcome.IntentOffset = State->Intent.Value;
    Outcome.NotRun = true;
    Outcome.Status = Told.Reason;
    if (!State->Outcome)
      appendOutcome(Outcome, Out);
    State->Outcome = Outcome;
  }
  if (Why.Reason == RefusalReason::WrongBoot)
    Why.Reason = RefusalReason::OutcomeUnknown;
  // The next repeat asks the agent again.
  State->OnLink = false;
  this->refuse(*State, Why, true, Out);
}

void CallController::on(const RequestGone &Event, Millis /*Now*/,
                        Actions & /*Out*/) {
  const auto Found = this->Requests.find(Event.Request);
  if (Found == this->Requests.end())
    return;
  KeyState &State = this->Keys.at(Found->second);
  std::erase_if(State.Waiters, [&](const Waiter &Waiting) {
    return Waiting.Request == Event.Request;
  });
  if (State.Waiters.empty())
    this->clearWaiters(State);
  else
    this->Requests.erase(Found);
}

void CallController::on(const LogStatus &Event, Millis Now, Actions &Out) {
  this->LogUp = Event.Up;
  const std::set<std::string> Keys = this->Waiting;
  for (const std::string &Key : Keys) {
    KeyState &State = this->Keys.at(Key);
    if (State.Intent == NoOffset)
      this->proceed(State, Now, Out);
  }
}

void CallController::on(const Tick & /*Event*/, Millis Now, Actions &Out) {
  const std::set<std::string> Keys = this->Waiting;
  for (const std::string &Key : Keys) {
    KeyState &State = this->Keys.at(Key);
    if (Now < State.Deadline)
      continue;
    const bool Known = State.Intent != NoOffset;
    const RefusalReason Reason =
        Known ? RefusalReason::PeerLost : RefusalReason::LogUnavailable;
    this->refuse(State,
                 Refusal{Reason, RunState::NotRun, RetryAfterMs,
                         Known ? "the agent does not answer"
                               : "the intent was not read back in time"},
                 false, Out);
  }
}

} // namespace camphornotch
