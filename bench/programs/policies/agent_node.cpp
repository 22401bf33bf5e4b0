/// @file
/// An agent on virtual time.

#include "agent_node.h"

#include <algorithm>

namespace camphornotch::bench {

namespace {

/// How long after its start poisonous work crashes the engine.
constexpr Millis PoisonDelay{100};
/// How long an engine is away after a poisonous request.
constexpr Millis PoisonSpan = seconds(5);

/// @param Spec what the agent is built from.
/// @param Policies the policies.
/// @return settings of admission.
AdmissionSettings admissionSettings(const AgentSpec &Spec,
                                    const PolicySet &Policies) {
  AdmissionSettings Settings;
  Settings.Slots = Spec.Slots;
  Settings.Policy = Policies.Admission;
  Settings.MaxLongWait = seconds(600);
  Settings.MaxShortWait = seconds(60);
  Settings.InitialTokenMicros =
      static_cast<int64_t>(Spec.Engine.TokenMs * 1000);
  return Settings;
}

/// @param Spec what the agent is built from.
/// @param Policies the policies.
/// @return settings of swaps.
WeightSettings weightSettings(const AgentSpec &Spec,
                              const PolicySet &Policies) {
  WeightSettings Settings;
  Settings.Endpoint = Spec.Info.Endpoint;
  Settings.Model = Spec.Info.Serves;
  Settings.Policy = Policies.Swaps;
  return Settings;
}

/// Adds tokens of one version to an output.
/// @param Output the output.
/// @param Version the version.
/// @param Tokens how many.
void extend(KeptOutput &Output, int64_t Version, int64_t Tokens) {
  if (Output.Segments.empty() || Output.Segments.back().Version != Version) {
    wire::LabelSegment Segment;
    Segment.FirstToken = Output.Tokens;
    Segment.Version = Version;
    Output.Segments.push_back(Segment);
  }
  Output.Tokens += Tokens;
}

} // namespace

AgentNode::AgentNode(EventQueue &Queue, const AgentSpec &Spec,
                     const PolicySet &Policies, uint64_t Seed,
                     ReplySender Sender, CrashReporter Reporter)
    : Queue(Queue), Spec(Spec),
      Engine(Queue, Spec.Engine,
             [this](const EngineOutput &Output) { this->onOutput(Output); }),
      Admission(admissionSettings(Spec, Policies)),
      Weights(weightSettings(Spec, Policies)), Sender(std::move(Sender)),
      Reporter(std::move(Reporter)), Random(Seed) {
  this->tellWeights(OrdersAllowed{LogOffset{1}});
}

void AgentNode::receive(const AgentWork &Work) {
  if (this->Lost)
    return;
  const WorkKey Key{BootId{static_cast<int64_t>(Work.Entry)},
                    WorkId{Work.Start.Work}};
  this->RealTokens[Key] = Work.RealTokens;
  this->apply(this->Admission.handle(
      SubmitWork{Key, Work.Start, Work.Start.Alone}, this->Queue.now()));
  this->planTick();
}

void AgentNode::cancel(size_t Entry, WorkId Work) {
  if (this->Lost)
    return;
  const WorkKey Key{BootId{static_cast<int64_t>(Entry)}, Work};
  this->apply(this->Admission.handle(DropWork{Key, RefusalReason::Cancelled},
                                     this->Queue.now()));
  this->planTick();
}

void AgentNode::announce(int64_t Version) {
  if (this->Lost)
    return;
  WeightsAnnounced Announced;
  Announced.Version.Value = Version;
  Announced.Engines = this->Spec.SwapEngines;
  Announced.Rank = this->Spec.SwapRank;
  this->tellWeights(Announced);
}

void AgentNode::crash(Millis Span) {
  if (this->Engine.down() || this->Lost)
    return;
  ++this->Crashes;
  const std::vector<RunId> LostRuns = this->Engine.crash();
  std::vector<int64_t> Digests;
  Digests.reserve(LostRuns.size());
  for (const RunId Run : LostRuns)
    Digests.push_back(this->Runs[Run].Digest);
  this->Reporter(Digests);
  this->apply(this->Admission.handle(HoldStarts{true}, this->Queue.now()));
  for (const RunId Run : LostRuns)
    this->endRun(Run, RunOutcome::Failed);
  this->Queue.after(Span, [this] {
    this->Engine.restart();
    this->tellWeights(EndpointRestarted{});
    this->apply(this->Admission.handle(HoldStarts{false}, this->Queue.now()));
  });
}

void AgentNode::setLeaving(bool Leaving) {
  this->Leaving = Leaving;
  this->apply(this->Admission.handle(
      CloseAdmission{Leaving, RefusalReason::Leaving}, this->Queue.now()));
  if (Leaving)
    this->apply(this->Admission.handle(EvictRuns{}, this->Queue.now()));
}

void AgentNode::setLost(bool Lost) {
  if (Lost) {
    const std::vector<RunId> LostRuns = this->Engine.crash();
    this->Lost = true;
    for (const RunId Run : LostRuns)
      this->endRun(Run, RunOutcome::Failed);
    return;
  }
  this->Lost = false;
  this->Engine.restart();
  this->tellWeights(EndpointRestarted{});
}

wire::LoadFigure AgentNode::load(size_t Entry) const {
  const BootId Reader{static_cast<int64_t>(Entry)};
  wire::LoadFigure Load = this->Admission.load(this->Queue.now());
  Load.OwnQueued = this->Admission.queuedFrom(Reader);
  Load.Leaving = this->Leaving;
  Load.Swapping = this->Weights.swapping();
  Load.Version = this->Engine.version();
  return Load;
}

void AgentNode::apply(const std::vector<AdmissionAction> &Actions) {
  for (const AdmissionAction &Action : Actions)
    std::visit([this](const auto &Each) { this->act(Each); }, Action);
}

void AgentNode::act(const StartRun &Action) {
  ActiveRun Run;
  Run.Key = Action.Key;
  Run.Output.Tokens = Action.Work.KeptTokens;
  Run.Output.Segments = Action.Work.KeptSegments;
  Run.Digest = Action.Work.Digest;
  const int64_t Left =
      std::max<int64_t>(1, this->RealTokens[Action.Key] - Run.Output.Tokens);
  this->Runs[Action.Run] = Run;
  this->Engine.start(Action.Run, Left, Action.Work.Affinity);
  if (Run.Digest == PoisonDigest)
    this->Queue.after(PoisonDelay, [this] { this->crash(PoisonSpan); });
}

void AgentNode::act(const StopRun &Action) {
  const auto Found = this->Runs.find(Action.Run);
  if (Found == this->Runs.end() || Found->second.Stopping)
    return;
  Found->second.Stopping = true;
  this->Engine.stop(Action.Run);
  this->Queue.after(Millis{0}, [this, Run = Action.Run] {
    this->endRun(Run, RunOutcome::Stopped);
  });
}

void AgentNode::act(const RefuseWork &Action) {
  AgentReply Reply;
  Reply.Work = Action.Key.Work;
  Reply.Why = Action.Why;
  const auto Kept = this->Stopped.find(Action.Run);
  if (Kept != this->Stopped.end()) {
    Reply.Output = Kept->second;
    this->Stopped.erase(Kept);
  }
  const auto Entry = static_cast<size_t>(Action.Key.Sender.Value);
  Reply.Load = this->load(Entry);
  this->RealTokens.erase(Action.Key);
  this->Sender(Entry, Reply);
}

void AgentNode::apply(const std::vector<WeightAction> &Actions) {
  for (const WeightAction &Action : Actions) {
    if (const auto *Ask = std::get_if<AskVersion>(&Action)) {
      this->Queue.after(Millis{1}, [this, Query = Ask->Query] {
        this->tellWeights(
            VersionAnswered{Query, WeightVersion{this->Engine.version()}});
      });
    }
    if (const auto *Order = std::get_if<SendOrder>(&Action)) {
      const double Draw = static_cast<double>(this->Random() % 1000) / 1000;
      const bool Fails = Draw < this->Spec.SwapFailures;
      this->Engine.swap(
          Order->Version.Value, Fails, [this, Sent = *Order](bool Loaded) {
            if (Loaded)
              this->tellWeights(OrderDone{Sent.Order, Sent.Version});
            else
              this->tellWeights(OrderFailed{Sent.Order, false});
          });
    }
  }
}

void AgentNode::tellWeights(const WeightEvent &Event) {
  this->apply(this->Weights.handle(Event, this->Queue.now()));
  this->planTick();
}

void AgentNode::onOutput(const EngineOutput &Output) {
  const auto Found = this->Runs.find(Output.Run);
  if (Found == this->Runs.end())
    return;
  extend(Found->second.Output, Output.Version, Output.Tokens);
  this->apply(this->Admission.handle(RunProgressed{Output.Run, Output.Tokens},
                                     this->Queue.now()));
  if (Output.Finished)
    this->endRun(Output.Run, RunOutcome::Finished);
}

void AgentNode::endRun(RunId Run, RunOutcome Outcome) {
  const auto Found = this->Runs.find(Run);
  if (Found == this->Runs.end())
    return;
  const ActiveRun Ended = Found->second;
  this->Runs.erase(Found);
  if (Outcome == RunOutcome::Stopped)
    this->Stopped[Run] = Ended.Output;
  this->apply(
      this->Admission.handle(RunEnded{Run, Outcome}, this->Queue.now()));
  if (Outcome != RunOutcome::Finished)
    return;
  this->RealTokens.erase(Ended.Key);
  AgentReply Reply;
  Reply.Work = Ended.Key.Work;
  Reply.Finished = true;
  Reply.Output = Ended.Output;
  const auto Entry = static_cast<size_t>(Ended.Key.Sender.Value);
  Reply.Load = this->load(Entry);
  this->Sender(Entry, Reply);
}

void AgentNode::planTick() {
  const Millis Next =
      std::min(this->Admission.nextDeadline(), this->Weights.nextDeadline());
  if (Next >= this->TickAt || Next == Never)
    return;
  this->TickAt = Next;
  const Millis Delay = std::max(Millis{1}, Next - this->Queue.now());
  this->Queue.after(Delay, [this] {
    this->TickAt = Never;
    this->apply(this->Admission.handle(AdmissionTick{}, this->Queue.now()));
    this->apply(this->Weights.handle(WeightTick{}, this->Queue.now()));
    this->planTick();
  });
}

} // namespace camphornotch::bench
