/// @file
/// Which attempt of which sample slot goes to which endpoint, when.

#include "core/routing/rollout_scheduler_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Tokens assumed of a sample before any was seen.
constexpr double FirstExpectedTokens = 256;
/// Weight of the newest sample in the expected length.
constexpr double LengthWeight = 0.05;
/// Wait after the first refusal; doubles with each one in a row.
constexpr Millis FirstBackoff{50};
/// Longest wait after refusals in a row.
constexpr Millis LongestBackoff{3200};
/// Refusals after which the wait no longer doubles.
constexpr int32_t MostDoublings = 6;
/// Refusals of a slot for old weights after which anything within the age bound
/// will do: the engines may be unable to load newer ones.
constexpr int32_t MaxVersionRefusals = 4;
/// Wait for the budget of retries to refill.
constexpr Millis BudgetWait{250};
/// Retries that may be saved up.
constexpr double RetryBurst = 50;
/// Second attempts that may be saved up.
constexpr double HedgeBurst = 8;
/// Seconds of traffic to another region that may be saved up.
constexpr double RegionBurstSeconds = 2;
/// Bytes that must be free before the other region is considered.
constexpr double RegionMinimumBytes = 65536;

/// @param Reason why an attempt came back.
/// @return whether the endpoint itself failed.
bool isFailure(RefusalReason Reason) {
  return Reason == RefusalReason::EndpointFailed ||
         Reason == RefusalReason::PeerLost || Reason == RefusalReason::Internal;
}

/// @param Reason why an attempt came back.
/// @return the reason under which the next one is counted.
RetryReason retryReason(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::EndpointFailed:
  case RefusalReason::Internal:
    return RetryReason::EndpointFailed;
  case RefusalReason::PeerLost:
    return RetryReason::PeerLost;
  case RefusalReason::Preempted:
  case RefusalReason::Cancelled:
    return RetryReason::Preempted;
  default:
    return RetryReason::RefusedNotRun;
  }
}

} // namespace

RolloutScheduler::RolloutScheduler(const RolloutSettings &Settings,
                                   EndpointTable &Table, WorkIdSource &WorkIds,
                                   uint64_t Seed)
    : Settings(Settings), Policies(Settings.Choice), Table(Table), Random(Seed),
      RetryBudget(Settings.RetriesPerSecond, RetryBurst),
      HedgeBudget(0, HedgeBurst),
      RegionBudget(Settings.OtherRegionBytesPerSecond,
                   Settings.OtherRegionBytesPerSecond * RegionBurstSeconds),
      WorkIds(WorkIds) {}

std::vector<RolloutAction> RolloutScheduler::handle(const RolloutEvent &Event,
                                                    Millis Now) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  return Out;
}

void RolloutScheduler::change(std::shared_ptr<const RuleSet> Rules) {
  this->Policies.change(std::move(Rules));
  const RoutingRule &Rule = *this->Policies.general();
  this->Settings.RetryShare = percent(Rule.RetryBudgetPercent);
  if (auto *Move = std::get_if<MoveTail>(&this->Settings.Tail))
    Move->HedgeShare = percent(Rule.HedgeBudgetPercent);
  const auto Bytes = static_cast<double>(Rule.CrossRegionBytesPerSecond);
  this->RegionBudget.resize(Bytes, Bytes * RegionBurstSeconds);
}

size_t RolloutScheduler::pending() const {
  size_t Sum = 0;
  for (const auto &Row : this->Pending)
    Sum += Row.second.size();
  return Sum;
}

int64_t RolloutScheduler::expectedTokens(const std::string &Model) const {
  const auto Found = this->TokensOf.find(Model);
  const double Tokens =
      Found == this->TokensOf.end() ? FirstExpectedTokens : Found->second;
  return static_cast<int64_t>(Tokens);
}

void RolloutScheduler::on(const SlotNeeded &Event, Millis Now, Actions &Out) {
  const auto [Found, IsNew] = this->Slots.try_emplace(Event.Spec.Slot);
  if (!IsNew)
    return;
  Found->second.Spec = Event.Spec;
  Found->second.Waiting = true;
  auto &[Open, Total] = this->OpenOf[{Event.Spec.Trainer, Event.Spec.Step}];
  ++Open;
  ++Total;
  const Pool Wanted = poolOf(Event.Spec);
  this->Pending[Wanted].add(Event.Spec);
  this->sendWaiting(Wanted, Now, Out);
}

void RolloutScheduler::on(const SlotDropped &Event, Millis /*Now*/,
                          Actions &Out) {
  this->forgetSlot(Event.Slot, Out);
}

void RolloutScheduler::on(const AttemptFinished &Event, Millis Now,
                          Actions &Out) {
  const auto Done = this->settle(Event.Work);
  if (!Done)
    return;
  ++this->Counts.Finished;
  this->Table.noteSuccess(Done->Endpoint);
  this->RetryBudget.deposit(this->Settings.RetryShare);
  const auto Found = this->Slots.find(Done->Slot);
  if (Found != this->Slots.end()) {
    const std::string Model = Found->second.Spec.Model;
    auto &Tokens =
        this->TokensOf.try_emplace(Model, FirstExpectedTokens).first->second;
    Tokens += LengthWeight * (static_cast<double>(Event.Tokens) - Tokens);
    this->Pending[poolOf(Found->second.Spec)].noteLength(Found->second.Spec,
                                                         Event.Tokens);
    this->forgetSlot(Done->Slot, Out);
  }
  this->fillEndpoint(Done->Endpoint, Now, Out);
}

void RolloutScheduler::on(const AttemptRefused &Event, Millis Now,
                          Actions &Out) {
  const auto Done = this->settle(Event.Work);
  if (!Done)
    return;
  if (isFailure(Event.Reason))
    this->Table.noteFailure(Done->Endpoint, Now);
  const auto Found = this->Slots.find(Done->Slot);
  if (Found == this->Slots.end())
    return;
  Slot &Slot = Found->second;
  if (Event.Reason == RefusalReason::Quarantined) {
    this->forgetSlot(Done->Slot, Out);
    return;
  }
  if (Event.Kept.Tokens > Slot.Kept.Tokens)
    Slot.Kept = Event.Kept;
  // Another attempt of the slot is out: it goes on alone.
  if (!Slot.Attempts.empty() || Slot.Waiting)
    return;
  const RetryReason Reason = retryReason(Event.Reason);
  if (Reason == RetryReason::Preempted) {
    this->tryAgain(Done->Slot, Reason, Now, Now, Out);
    return;
  }
  ++Slot.Refusals;
  if (Event.Reason == RefusalReason::TooOld)
    ++Slot.VersionRefusals;
  const Millis Wait = std::max(Event.RetryAfter, backoff(Slot.Refusals));
  this->tryAgain(Done->Slot, Reason, Now + Wait, Now, Out);
}

void RolloutScheduler::on(const EndpointGone &Event, Millis Now, Actions &Out) {
  const auto Found = this->ByEndpoint.find(Event.Endpoint);
  if (Found == this->ByEndpoint.end())
    return;
  const std::set<WorkId> Lost = Found->second;
  for (const WorkId Work : Lost) {
    const AttemptRefused Refused{Work, RefusalReason::PeerLost, Millis{},
                                 KeptOutput{}};
    this->on(Refused, Now, Out);
  }
}

void RolloutScheduler::on(const EndpointReported &Event, Millis Now,
                          Actions &Out) {
  this->fillEndpoint(Event.Endpoint, Now, Out);
}

void RolloutScheduler::on(const RolloutTick & /*Event*/, Millis Now,
                          Actions &Out) {
  if (Now < this->NextTick)
    return;
  this->NextTick = Now + this->Settings.TickInterval;
  for (const auto &Row : this->Pending)
    this->sendWaiting(Row.first, Now, Out);
  std::visit([&](const auto &Policy) { this->treatTail(Policy, Now, Out); },
             this->Settings.Tail);
}

RolloutScheduler::Pool RolloutScheduler::poolOf(const RolloutSpec &Spec) {
  return Pool{Spec.Model, Spec.Engines};
}

void RolloutScheduler::sendWaiting(const Pool &Wanted, Millis Now,
                                   Actions &Out) {
  PendingSlots &Waiting = this->Pending[Wanted];
  while (Waiting.hasReady(Now)) {
    const auto Index = this->chooseFor(Wanted, this->lookahead(), nullptr, Now);
    if (!Index)
      return;
    const auto Ref = Waiting.take(*Index, Now, this->RunningOf);
    if (Ref)
      this->send(*Ref, *Index, Now, Out);
  }
}

void RolloutScheduler::fillEndpoint(EndpointIndex Index, Millis Now,
                                    Actions &Out) {
  while (this->Table.isEligible(Index, Now) &&
         hasPlace(this->Table, Index, this->lookahead().value_or(0))) {
    PendingSlots *Next = this->nextPool(Index, Now);
    if (Next == nullptr)
      return;
    const auto Ref = Next->take(Index, Now, this->RunningOf);
    if (Ref)
      this->send(*Ref, Index, Now, Out);
  }
}

PendingSlots *RolloutScheduler::nextPool(EndpointIndex Index, Millis Now) {
  const EndpointState &Endpoint = this->Table.at(Index);
  PendingSlots *Next = nullptr;
  for (auto &[Wanted, Slots] : this->Pending) {
    if (Wanted.Model != Endpoint.Info.Serves || !Slots.hasReady(Now) ||
        !allowsEndpoint(Wanted.Engines, Endpoint))
      continue;
    if (Next == nullptr ||
        Slots.turn(Now, this->RunningOf) < Next->turn(Now, this->RunningOf))
      Next = &Slots;
  }
  return Next;
}

std::optional<EndpointIndex> RolloutScheduler::chooseFor(
    const Pool &Wanted, std::optional<int32_t> Lookahead,
    const std::vector<EndpointIndex> *Excluded, Millis Now) {
  ChoiceRequest Request;
  Request.Serves = Wanted.Model;
  Request.Engines = &Wanted.Engines;
  Request.Class = wire::WorkClass::Rollout;
  Request.ExpectedTokens = this->expectedTokens(Wanted.Model);
  Request.Excluded = Excluded;
  Request.NeedsPlace = Lookahead.has_value();
  Request.Lookahead = Lookahead.value_or(0);
  Request.OtherRegionAllowed =
      this->RegionBudget.holds(RegionMinimumBytes, Now);
  return chooseEndpoint(this->Policies.choice(Wanted.Model), this->Table,
                        Request, Now, this->Random);
}

void RolloutScheduler::send(SlotRef Ref, EndpointIndex Index, Millis Now,
                            Actions &Out) {
  const auto Found = this->Slots.find(Ref);
  // Dropped while it waited.
  if (Found == this->Slots.end())
    return;
  Slot &Slot = Found->second;
  Slot.Waiting = false;
  const int64_t Whole = this->expectedTokens(Slot.Spec.Model);
  const int64_t Expected = std::max<int64_t>(
      1, std::min(Whole, Slot.Spec.MaxTokens) - Slot.Kept.Tokens);
  const WorkId Work = this->WorkIds.next();
  this->Attempts.emplace(Work, Attempt{Ref, Index, Now, Expected, {}, false});
  this->ByEndpoint[Index].insert(Work);
  ++this->RunningOf[Slot.Spec.Trainer];
  this->Table.noteSent(Index, Expected);
  if (this->Table.at(Index).Away == Distance::OtherRegion) {
    this->RegionBudget.take(static_cast<double>(Slot.Spec.Bytes), Now);
    this->Counts.OtherRegionBytes += Slot.Spec.Bytes;
  }
  ++this->Counts.Sent;
  if (const auto *Move = std::get_if<MoveTail>(&this->Settings.Tail))
    this->HedgeBudget.deposit(Move->HedgeShare);
  Out.emplace_back(SendAttempt{Work, Ref, Index, this->classOf(Slot.Spec),
                               Slot.Tries, Expected, Slot.Kept,
                               this->stepRemaining(Slot.Spec),
                               RolloutScheduler::minVersionFor(Slot)});
  ++Slot.Tries;
  Slot.Attempts.push_back(Work);
}

WeightVersion RolloutScheduler::minVersionFor(const Slot &Needed) {
  // Newer weights spare a second run; without them the step must go on.
  return Needed.VersionRefusals < MaxVersionRefusals
             ? Needed.Spec.MinVersion
             : Needed.Spec.OldestVersion;
}

std::optional<RolloutScheduler::Attempt> RolloutScheduler::settle(WorkId Work) {
  const auto Found = this->Attempts.find(Work);
  if (Found == this->Attempts.end())
    return std::nullopt;
  const Attempt Done = Found->second;
  this->Attempts.erase(Found);
  this->ByEndpoint[Done.Endpoint].erase(Work);
  this->Table.noteSettled(Done.Endpoint, Done.Expected);
  const auto Owner = this->Slots.find(Done.Slot);
  if (Owner != this->Slots.end()) {
    std::erase(Owner->second.Attempts, Work);
    --this->RunningOf[Owner->second.Spec.Trainer];
  }
  return Done;
}

void RolloutScheduler::forgetSlot(SlotRef Ref, Actions &Out) {
  const auto Found = this->Slots.find(Ref);
  if (Found == this->Slots.end())
    return;
  const std::vector<WorkId> Others = Found->second.Attempts;
  for (const WorkId Work : Others) {
    const auto Stopped = this->settle(Work);
    assert(Stopped);
    Out.emplace_back(StopAttempt{Work, Stopped->Endpoint, false});
  }
  const StepKey Step{Found->second.Spec.Trainer, Found->second.Spec.Step};
  this->Slots.erase(Found);
  const auto Open = this->OpenOf.find(Step);
  assert(Open != this->OpenOf.end());
  if (--Open->second.first == 0)
    this->OpenOf.erase(Open);
}

void RolloutScheduler::tryAgain(SlotRef Ref, RetryReason Reason,
                                Millis NotBefore, Millis Now, Actions &Out) {
  Slot &Slot = this->Slots.at(Ref);
  assert(!Slot.Waiting);
  Out.emplace_back(CountRetry{Reason});
  if (Reason != RetryReason::Preempted) {
    ++this->Counts.Retried;
    if (!this->RetryBudget.take(1, Now))
      NotBefore = std::max(NotBefore, Now + BudgetWait);
  }
  Slot.Waiting = true;
  const Pool Wanted = poolOf(Slot.Spec);
  this->Pending[Wanted].addAgain(Slot.Spec, NotBefore);
  this->sendWaiting(Wanted, Now, Out);
}

Millis RolloutScheduler::backoff(int32_t Refusals) {
  const int32_t Doublings = std::clamp(Refusals - 1, 0, MostDoublings);
  return std::min(FirstBackoff * (int64_t{1} << Doublings), LongestBackoff);
}

std::optional<int32_t> RolloutScheduler::lookahead() const {
  const auto *Late = std::get_if<LateDispatch>(&this->Settings.Dispatch);
  return Late ? std::optional(Late->Lookahead) : std::nullopt;
}

int64_t RolloutScheduler::stepRemaining(const RolloutSpec &Spec) const {
  const auto Found = this->OpenOf.find({Spec.Trainer, Spec.Step});
  assert(Found != this->OpenOf.end());
  return Found->second.first * this->expectedTokens(Spec.Model);
}

wire::WorkClass::type RolloutScheduler::classOf(const RolloutSpec &Spec) const {
  const auto Found = this->OpenOf.find({Spec.Trainer, Spec.Step});
  assert(Found != this->OpenOf.end());
  const auto &[Open, Total] = Found->second;
  const double Limit = this->Settings.LateShare * static_cast<double>(Total);
  return static_cast<double>(Open) <= Limit ? wire::WorkClass::Urgent
                                            : wire::WorkClass::Rollout;
}

} // namespace camphornotch
