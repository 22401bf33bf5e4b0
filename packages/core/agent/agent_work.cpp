/// @file
/// What the agent controller does with work: take, start, finish, refuse.

#include "core/agent/agent_base.h"
#include "core/agent/agent_message_internal.h"

#include <absl/strings/str_cat.h>
#include <cassert>
#include <utility>

namespace camphornotch {

namespace {

/// Time after which work refused for its version is worth sending again.
constexpr int64_t VersionRetryAfterMs = 500;
/// Time after which a call refused by a starting agent is worth sending again.
constexpr int64_t StartingRetryAfterMs = 200;
/// First HTTP status that says that the server failed.
constexpr int32_t ServerErrors = 500;

} // namespace

void AgentController::takeIntent(const HostId &Peer,
                                 const wire::StartWork &Message, Millis Now,
                                 Actions &Out) {
  const LogOffset Intent{Message.IntentOffset};
  const IntentDecision Decision =
      this->Intents.admit(Intent, BootId{Message.AgentBoot},
                          IntentWaiter{Peer, WorkId{Message.Work}});
  if (const auto *Known = std::get_if<AnswerIntent>(&Decision)) {
    wire::WorkFinished Answer = Known->Answer;
    Answer.Work = Message.Work;
    this->tell(Peer, Answer, Out);
    return;
  }
  if (const auto *Refused = std::get_if<RefuseIntent>(&Decision)) {
    this->tell(Peer, this->makeRefused(Refused->Why, Message.Work, Now), Out);
    Out.emplace_back(CountRefusal{Refused->Why.Reason, Message.RequestId});
    return;
  }
  if (std::holds_alternative<JoinIntent>(Decision))
    return;
  if (this->Boot.phase() != BootPhase::Standing) {
    const Refusal Why{RefusalReason::Starting, RunState::NotRun,
                      StartingRetryAfterMs, "the boot's standing is not known"};
    this->refuseIntent(Intent, Why, Now, Out);
    return;
  }
  const WorkKey Key = this->keyOf(Peer, Message.Work);
  OpenWork Work{Peer, Message.Kind, false, Intent, Message.RequestId};
  this->Open.emplace(Key, std::move(Work));
  this->submit(Key, Message, Now, Out);
}

void AgentController::submit(WorkKey Key, const wire::StartWork &Work,
                             Millis Now, Actions &Out) {
  const DigestStanding Standing = this->Crashes.standing(Work.Digest, Now);
  if (Standing == DigestStanding::Quarantined) {
    const Refusal Why{RefusalReason::Quarantined, RunState::NotRun, 0, {}};
    this->refuse(Key, Why, nullptr, Now, Out);
    return;
  }
  const bool Alone = Standing == DigestStanding::Suspect;
  this->admit(SubmitWork{Key, Work, Alone}, Now, Out);
}

void AgentController::carry(const StartRun &Action, Millis Now, Actions &Out) {
  const auto Version = this->Weights.confirmed();
  const int64_t Serving = Version ? Version->Value : -1;
  const bool TooOld = Action.Work.Kind == wire::WorkKind::Completion &&
                      Action.Work.MinVersion > 0 &&
                      Action.Work.MinVersion > Serving;
  LiveRun Run;
  Run.Key = Action.Key;
  Run.StreamId =
      absl::StrCat(Action.Work.RequestId, "/",
                   absl::Hex(this->Settings.Boot.Value), ".", Action.Run.Value);
  Run.Digest = Action.Work.Digest;
  Run.KeptText = Action.Work.KeptText;
  Run.Label = LabelTracker{Action.Work.KeptSegments, Action.Work.KeptTokens};
  Run.Started = Now;
  Run.Waited = Action.Waited;
  if (TooOld) {
    this->Open.at(Action.Key).TooOld = true;
    this->admit(RunEnded{Action.Run, RunOutcome::Stopped, true}, Now, Out);
    return;
  }
  Out.emplace_back(
      StartAtEndpoint{Action.Run, Run.StreamId, Action.Work, Action.Priority});
  this->Live.emplace(Action.Run, std::move(Run));
}

void AgentController::carry(const StopRun &Action, Millis /*Now*/,
                            Actions &Out) {
  const auto Found = this->Live.find(Action.Run);
  assert(Found != this->Live.end());
  Out.emplace_back(StopAtEndpoint{Action.Run, Found->second.StreamId});
}

void AgentController::carry(const RefuseWork &Action, Millis Now,
                            Actions &Out) {
  Refusal Why = Action.Why;
  const auto Work = this->Open.find(Action.Key);
  if (Work != this->Open.end() && Work->second.TooOld) {
    Why.Reason = RefusalReason::TooOld;
    Why.RetryAfterMs = VersionRetryAfterMs;
    Why.Detail = "the endpoint has older weights than asked for";
  }
  const auto Found = this->Live.find(Action.Run);
  const LiveRun *Run = Found == this->Live.end() ? nullptr : &Found->second;
  this->refuse(Action.Key, Why, Run, Now, Out);
  if (Run != nullptr)
    this->Live.erase(Action.Run);
}

void AgentController::refuse(WorkKey Key, const Refusal &Why,
                             const LiveRun *Run, Millis Now, Actions &Out) {
  const auto Found = this->Open.find(Key);
  assert(Found != this->Open.end());
  const OpenWork Work = Found->second;
  this->Open.erase(Found);
  Out.emplace_back(CountRefusal{Why.Reason, Work.RequestId});
  if (Work.Kind == wire::WorkKind::IntentCall) {
    this->refuseIntent(Work.Intent, Why, Now, Out);
    return;
  }
  wire::WorkRefused Refused = this->makeRefused(Why, Key.Work.Value, Now);
  Refused.Load.OwnQueued = this->Admission.queuedFrom(Key.Sender);
  // Output whose versions are not known is worth nothing to a sample.
  if (Run != nullptr && Run->Label.known() && Run->Label.tokens() > 0) {
    std::string Kept = Run->KeptText;
    Kept.append(this->Store.output(Key, 0));
    Refused.__set_KeptText(Kept);
    Refused.__set_KeptTokens(Run->Label.tokens());
    Refused.__set_KeptSegments(Run->Label.segments());
  }
  this->tell(Work.Peer, Refused, Out);
  this->Store.close(Key, std::move(Refused));
}

void AgentController::refuseIntent(LogOffset Intent, const Refusal &Why,
                                   Millis Now, Actions &Out) {
  for (const IntentWaiter &Waiter : this->Intents.refuse(Intent, Why)) {
    const wire::WorkRefused Refused =
        this->makeRefused(Why, Waiter.Work.Value, Now);
    this->tell(Waiter.Peer, Refused, Out);
  }
}

void AgentController::on(const EndpointFinished &Event, Millis Now,
                         Actions &Out) {
  const auto Found = this->Live.find(Event.Run);
  if (Found == this->Live.end()) {
    ++this->Counts.LateAnswers;
    return;
  }
  const OpenWork Work = this->Open.at(Found->second.Key);
  if (Work.Kind == wire::WorkKind::Completion && Event.Status >= ServerErrors) {
    this->admit(RunEnded{Event.Run, RunOutcome::Failed}, Now, Out);
    return;
  }
  const LiveRun Run = std::move(Found->second);
  this->Live.erase(Found);
  this->Open.erase(Run.Key);
  ++this->Counts.Finished;
  this->Crashes.onFinished(Run.Digest);
  this->admit(RunEnded{Event.Run, RunOutcome::Finished}, Now, Out);
  wire::WorkFinished Finished = this->makeFinished(Run, Event, Now);
  if (!Finished.LabelKnown)
    ++this->Counts.UnknownLabels;
  if (Work.Kind == wire::WorkKind::IntentCall)
    this->finishIntent(Work.Intent, std::move(Finished), Out);
  else
    this->finish(Run.Key, Work, std::move(Finished), Out);
}

void AgentController::finishIntent(LogOffset Intent,
                                   wire::WorkFinished Finished, Actions &Out) {
  for (const IntentWaiter &Waiter : this->Intents.finish(Intent, Finished)) {
    Finished.Work = Waiter.Work.Value;
    this->tell(Waiter.Peer, Finished, Out);
  }
}

void AgentController::finish(WorkKey Key, const OpenWork &Work,
                             wire::WorkFinished Finished, Actions &Out) {
  if (Work.Stream) {
    this->sendTail(Key, Work.Peer, Finished.Body, Out);
    Finished.Body.clear();
  }
  const std::string_view Output = this->Store.output(Key, 0);
  if (!Work.Stream)
    Finished.Body.insert(0, Output);
  Finished.TotalBytes =
      static_cast<int64_t>(Work.Stream ? Output.size() : Finished.Body.size());
  this->tell(Work.Peer, Finished, Out);
  this->Store.close(Key, std::move(Finished));
}

void AgentController::sendTail(WorkKey Key, const HostId &Peer,
                               const std::string &Data, Actions &Out) {
  if (Data.empty())
    return;
  wire::WorkChunk Chunk;
  Chunk.Work = Key.Work.Value;
  Chunk.Offset = this->Store.append(Key, Data);
  Chunk.Data = Data;
  this->tell(Peer, Chunk, Out);
}

void AgentController::replay(WorkKey Key, int64_t From, Millis /*Now*/,
                             Actions &Out) {
  const WorkEnd *End = this->Store.end(Key);
  const auto Work = this->Open.find(Key);
  HostId Peer;
  for (const auto &[Host, Sender] : this->Peers) {
    if (Sender == Key.Sender)
      Peer = Host;
  }
  const auto *Finished =
      End == nullptr ? nullptr : std::get_if<wire::WorkFinished>(End);
  const bool Streams = End == nullptr
                           ? Work != this->Open.end() && Work->second.Stream
                           : Finished != nullptr && Finished->Body.empty();
  const std::string_view Output = this->Store.output(Key, From);
  if (Streams && !Output.empty()) {
    wire::WorkChunk Chunk;
    Chunk.Work = Key.Work.Value;
    Chunk.Offset = From;
    Chunk.Data = std::string(Output);
    this->tell(Peer, Chunk, Out);
  }
  if (End != nullptr)
    std::visit([&](const auto &Each) { this->tell(Peer, Each, Out); }, *End);
}

wire::WorkRefused AgentController::makeRefused(const Refusal &Why, int64_t Work,
                                               Millis Now) const {
  wire::WorkRefused Refused;
  Refused.Work = Work;
  Refused.Refusal.Reason = static_cast<int32_t>(Why.Reason);
  Refused.Refusal.RunState = static_cast<int32_t>(Why.State);
  Refused.Refusal.RetryAfterMs = Why.RetryAfterMs;
  Refused.Refusal.Detail = Why.Detail;
  Refused.Load = this->load(Now);
  return Refused;
}

wire::WorkFinished AgentController::makeFinished(const LiveRun &Run,
                                                 const EndpointFinished &Event,
                                                 Millis Now) const {
  wire::WorkFinished Finished;
  Finished.Work = Run.Key.Work.Value;
  Finished.Status = Event.Status;
  Finished.ContentType = Event.ContentType;
  Finished.Body = Event.Body;
  Finished.TotalBytes = static_cast<int64_t>(Event.Body.size());
  Finished.Tokens = Run.Label.tokens();
  Finished.Segments = Run.Label.segments();
  Finished.LabelKnown = Run.Label.known();
  Finished.Load = this->load(Now);
  Finished.Load.OwnQueued = this->Admission.queuedFrom(Run.Key.Sender);
  Finished.QueueMs = Run.Waited.Count;
  Finished.RunMs = (Now - Run.Started).Count;
  const bool Any = Run.FirstOutput > Millis{0};
  Finished.FirstTokenMs =
      Any ? (Run.FirstOutput - Run.Started).Count : Finished.RunMs;
  return Finished;
}

} // namespace camphornotch
