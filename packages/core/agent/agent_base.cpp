/// @file
/// Joins the parts of the agent controller and keeps them in step.

#include "core/agent/agent_base.h"

#include "rules/lookup_func.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphornotch {

namespace {

/// Per cent in a whole.
constexpr int64_t PerCent = 100;

/// @param Settings the agent's settings.
/// @return the record of its boot.
wire::BootRecord bootRecordOf(const AgentControllerSettings &Settings) {
  wire::BootRecord Record;
  Record.Host = Settings.Host.Value;
  Record.Boot = Settings.Boot.Value;
  Record.Endpoint = Settings.Endpoint.Value;
  return Record;
}

/// @param Rule the rule for the engine's model.
/// @return when the engine swaps.
SwapPolicy swapPolicyOf(const WeightRule &Rule) {
  if (!Rule.Staggered)
    return SwapAllAtOnce{};
  SwapStaggered Staggered;
  Staggered.MaxSwappingPercent = PerCent - Rule.MinCapacityPercent;
  Staggered.MaxSwapping = Rule.ConcurrentSwaps;
  return Staggered;
}

/// @param Rule the rule for the endpoint.
/// @param Given the agent's own settings.
/// @return the settings in force.
AdmissionSettings admissionBy(const AdmissionRule &Rule,
                              AdmissionSettings Given) {
  Given.MaxLongWait = Rule.MaxLongWait;
  Given.MaxShortWait = Rule.MaxShortWait;
  if (!Rule.ByClass) {
    Given.Policy = FirstComeFirstServed{};
    return Given;
  }
  auto *Classes = std::get_if<ClassedAdmission>(&Given.Policy);
  if (Classes == nullptr)
    Classes = &Given.Policy.emplace<ClassedAdmission>();
  Classes->Preempt = Rule.Preempt;
  if (Rule.ShortReserve >= 0)
    Classes->ShortReserve = static_cast<int>(Rule.ShortReserve);
  return Given;
}

} // namespace

AgentController::AgentController(AgentControllerSettings Given)
    : Settings(std::move(Given)), Admission(this->Settings.Admission),
      Weights(this->Settings.Weights), Crashes(this->Settings.Crashes),
      Leaving(this->Settings.Leaving), Store(this->Settings.Store),
      Intents(this->Settings.Boot, this->Settings.IntentMemory),
      Boot(bootRecordOf(this->Settings), this->Settings.EntryTimeout) {}

std::vector<AgentAction> AgentController::handle(const AgentEvent &Event,
                                                 Millis Now) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  this->askEntries(Now, Out);
  this->followHealth(Now, Out);
  this->followConfig();
  const HoldingsChanged Holdings{this->Admission.running(),
                                 this->Store.ended()};
  const bool Changed =
      Holdings.Running != this->ToldHoldings.Running ||
      Holdings.Unacknowledged != this->ToldHoldings.Unacknowledged;
  this->ToldHoldings = Holdings;
  if (Changed)
    this->leave(Holdings, Now, Out);
  return Out;
}

Millis AgentController::nextDeadline() const {
  Millis Next = std::min(this->Admission.nextDeadline(), this->ProbeAt);
  Next = std::min(Next, this->Leaving.nextDeadline());
  Next = std::min(Next, this->Boot.nextDeadline());
  if (this->Settings.IsEngine && this->State == Health::Up)
    Next = std::min(Next, this->Weights.nextDeadline());
  for (const auto &[Sender, DropAt] : this->Orphans)
    Next = std::min(Next, DropAt);
  return Next;
}

wire::LoadFigure AgentController::load(Millis Now) const {
  wire::LoadFigure Figure = this->Admission.load(Now);
  const auto Version = this->Weights.confirmed();
  Figure.Version = Version ? Version->Value : -1;
  Figure.Leaving = this->Leaving.leaving();
  Figure.Swapping = this->Weights.swapping();
  return Figure;
}

bool AgentController::ready() const {
  return this->State == Health::Up && !this->Leaving.leaving() &&
         this->Boot.phase() == BootPhase::Standing && this->Configured;
}

void AgentController::followConfig() {
  const bool AllTold = this->AnyTold && this->Untold.empty();
  if (AllTold && this->Boot.phase() == BootPhase::Standing &&
      this->ConfigOffset >= this->NewestTold)
    this->Configured = true;
}

void AgentController::on(const AgentTick & /*Event*/, Millis Now,
                         Actions &Out) {
  this->admit(AdmissionTick{}, Now, Out);
  this->leave(LeaveTick{}, Now, Out);
  if (this->Settings.IsEngine && this->State == Health::Up)
    this->weigh(WeightTick{}, Now, Out);
  if (Now >= this->ProbeAt)
    this->probe(Now, Out);
  std::vector<BootId> Due;
  for (const auto &[Sender, DropAt] : this->Orphans) {
    if (Now >= DropAt)
      Due.push_back(Sender);
  }
  for (const BootId Sender : Due)
    this->dropOrphans(Sender, Now, Out);
}

void AgentController::on(const ClockJumped & /*Event*/, Millis Now,
                         Actions &Out) {
  this->Boot.onPaused();
  this->followStanding(Now, Out);
  // What the endpoint did meanwhile is not known either.
  this->ProbeAt = Now;
}

void AgentController::on(const WeightNews &Event, Millis Now, Actions &Out) {
  this->weigh(Event.Event, Now, Out);
}

void AgentController::on(const LeaveNews &Event, Millis Now, Actions &Out) {
  this->leave(Event.Event, Now, Out);
}

void AgentController::admit(const AdmissionEvent &Event, Millis Now,
                            Actions &Out) {
  for (const AdmissionAction &Action : this->Admission.handle(Event, Now))
    std::visit([&](const auto &Each) { this->carry(Each, Now, Out); }, Action);
}

void AgentController::weigh(const WeightEvent &Event, Millis Now,
                            Actions &Out) {
  const WeightCounts Before = this->Weights.counts();
  for (const WeightAction &Action : this->Weights.handle(Event, Now))
    std::visit([&](const auto &Each) { this->carry(Each, Now, Out); }, Action);
  const WeightCounts &After = this->Weights.counts();
  if (After.Failed > Before.Failed)
    Out.emplace_back(CountRetry{RetryReason::SwapFailed});
  if (After.Unanswered > Before.Unanswered)
    Out.emplace_back(CountRetry{RetryReason::SwapUnanswered});
}

void AgentController::leave(const LeaveEvent &Event, Millis Now, Actions &Out) {
  for (const LeaveAction &Action : this->Leaving.handle(Event, Now))
    std::visit([&](const auto &Each) { this->carry(Each, Now, Out); }, Action);
}

void AgentController::carry(const SendOrder &Action, Millis /*Now*/,
                            Actions &Out) {
  // The agent is the fence of endpoints that ignore the number.
  assert(this->Boot.phase() == BootPhase::Standing);
  Out.emplace_back(Action);
}

void AgentController::carry(const AskVersion &Action, Millis /*Now*/,
                            Actions &Out) {
  Out.emplace_back(Action);
}

void AgentController::carry(const LabelInDoubt & /*Action*/, Millis /*Now*/,
                            Actions &Out) {
  Out.emplace_back(BeatAll{});
}

void AgentController::carry(const LabelConfirmed & /*Action*/, Millis /*Now*/,
                            Actions &Out) {
  Out.emplace_back(BeatAll{});
}

void AgentController::carry(const Superseded & /*Action*/, Millis Now,
                            Actions &Out) {
  this->leave(LeaveAsked{LeaveCause::Superseded}, Now, Out);
}

void AgentController::carry(const StopAdmission & /*Action*/, Millis Now,
                            Actions &Out) {
  this->followHealth(Now, Out);
  Out.emplace_back(BeatAll{});
}

void AgentController::carry(const ResumeAdmission & /*Action*/, Millis Now,
                            Actions &Out) {
  this->followHealth(Now, Out);
  Out.emplace_back(BeatAll{});
}

void AgentController::carry(const MoveRuns & /*Action*/, Millis Now,
                            Actions &Out) {
  this->admit(EvictRuns{RefusalReason::Leaving}, Now, Out);
}

void AgentController::carry(const ExitProcess & /*Action*/, Millis /*Now*/,
                            Actions &Out) {
  Out.emplace_back(ExitAgent{});
}

void AgentController::askEntries(Millis Now, Actions &Out) {
  if (auto Request = this->Boot.next(Now))
    Out.emplace_back(
        TellPeer{std::move(Request->Peer), std::move(Request->Message)});
}

void AgentController::followStanding(Millis Now, Actions &Out) {
  const BootPhase Phase = this->Boot.phase();
  if (Phase == this->ToldPhase)
    return;
  const BootPhase Before = std::exchange(this->ToldPhase, Phase);
  if (Phase == BootPhase::Standing) {
    if (Before == BootPhase::Recording)
      Out.emplace_back(BootCommitted{this->Boot.fence()});
    this->weigh(OrdersAllowed{this->Boot.fence()}, Now, Out);
    return;
  }
  this->weigh(OrdersForbidden{}, Now, Out);
  if (Phase == BootPhase::Replaced)
    this->leave(LeaveAsked{LeaveCause::Superseded}, Now, Out);
}

void AgentController::followHealth(Millis Now, Actions &Out) {
  std::optional<RefusalReason> Close;
  if (this->State == Health::Down)
    Close = RefusalReason::EndpointFailed;
  if (this->Leaving.leaving())
    Close = RefusalReason::Leaving;
  if (Close != this->ToldClosed) {
    this->ToldClosed = Close;
    this->admit(CloseAdmission{Close.has_value(),
                               Close.value_or(RefusalReason::Leaving)},
                Now, Out);
  }
  const bool Hold = this->State != Health::Up;
  if (Hold == this->ToldHeld)
    return;
  this->ToldHeld = Hold;
  this->admit(HoldStarts{Hold}, Now, Out);
}

void AgentController::applyRules(const RuleSet &Rules, Millis Now,
                                 Actions &Out) {
  const HostRule &Host = hostRule(Rules, this->Settings.Host.Value);
  this->Settings.Leaving.KeepWork = Host.LeaveGrace;
  this->Leaving.change(this->Settings.Leaving);
  this->Weights.change(swapPolicyOf(weightRule(Rules, this->Settings.Serves)));
  const AdmissionRule &Rule = admissionRule(Rules, this->Settings.Serves);
  this->admit(ChangeAdmission{admissionBy(Rule, this->Settings.Admission)}, Now,
              Out);
}

} // namespace camphornotch
