/// @file
/// Brings an endpoint to the newest announced weight version.

#include "core/agent/weight_base.h"

#include "base/hash_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Doublings of the backoff at most, so that the factor stays small.
constexpr int MaxDoublings = 16;
/// Per cent in a whole.
constexpr int64_t PerCent = 100;

/// @param Endpoint the engine.
/// @param Announced the version.
/// @return the engine's rank among Announced.Engines.
int64_t rankOf(const EndpointId &Endpoint, const WeightsAnnounced &Announced) {
  if (Announced.Rank >= 0)
    return Announced.Rank;
  const std::string Key = std::to_string(Announced.Version.Value);
  const uint64_t Score = rendezvousScore(Key, Endpoint.Value);
  return static_cast<int64_t>(Score % static_cast<uint64_t>(Announced.Engines));
}

/// @param Policy the policy.
/// @param Endpoint the engine.
/// @param Announced the version.
/// @return the delay until the engine's turn.
Millis delayOf(const SwapStaggered &Policy, const EndpointId &Endpoint,
               const WeightsAnnounced &Announced) {
  const int64_t Engines = Announced.Engines;
  const int64_t Share = Engines * Policy.MaxSwappingPercent / PerCent;
  const int64_t Bound =
      Policy.MaxSwapping > 0 ? std::min(Share, Policy.MaxSwapping) : Share;
  const int64_t AtOnce = std::max(int64_t{1}, Bound);
  const int64_t Waves = (Engines + AtOnce - 1) / AtOnce;
  const int64_t Wave = rankOf(Endpoint, Announced) / AtOnce;
  const Millis Step = Waves <= 1
                          ? Millis{0}
                          : std::min(Policy.ExpectedSwap,
                                     Millis{Policy.Spread.Count / (Waves - 1)});
  return Step * Wave;
}

/// @return no delay.
Millis delayOf(const SwapAllAtOnce & /*Policy*/,
               const EndpointId & /*Endpoint*/,
               const WeightsAnnounced & /*Announced*/) {
  return Millis{0};
}

/// @param Version a version.
/// @param Endpoint an engine.
/// @return the engine's score for the version.
uint64_t swapScore(WeightVersion Version, const EndpointId &Endpoint) {
  return rendezvousScore(std::to_string(Version.Value), Endpoint.Value);
}

} // namespace

int swapRank(std::span<const EndpointId> Engines, const EndpointId &Endpoint,
             WeightVersion Version) {
  const uint64_t Own = swapScore(Version, Endpoint);
  int Rank = 0;
  bool Found = false;
  for (const EndpointId &Each : Engines) {
    const uint64_t Score = swapScore(Version, Each);
    Found = Found || Each == Endpoint;
    const bool Before = Score > Own || (Score == Own && Each < Endpoint);
    Rank += Before ? 1 : 0;
  }
  return Found ? Rank : -1;
}

Millis swapDelay(const SwapPolicy &Policy, const EndpointId &Endpoint,
                 const WeightsAnnounced &Announced) {
  return std::visit(
      [&](const auto &Each) { return delayOf(Each, Endpoint, Announced); },
      Policy);
}

WeightController::WeightController(WeightSettings Settings)
    : Settings(std::move(Settings)) {}

std::vector<WeightAction> WeightController::handle(const WeightEvent &Event,
                                                   Millis Now) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  this->advance(Now, Out);
  return Out;
}

Millis WeightController::nextDeadline() const {
  switch (this->State) {
  case Phase::Unknown:
    return this->RetryAt;
  case Phase::Asking:
  case Phase::Swapping:
    return this->GiveUpAt;
  case Phase::Settled:
    break;
  }
  const bool Behind = this->Wanted && this->Version < this->Wanted->Version;
  if (!Behind || !this->Fence)
    return Never;
  return std::max(this->Turn, this->RetryAt);
}

std::optional<WeightVersion> WeightController::confirmed() const {
  if (this->Doubt)
    return std::nullopt;
  return this->Version;
}

std::optional<WeightVersion> WeightController::wanted() const {
  if (!this->Wanted)
    return std::nullopt;
  return this->Wanted->Version;
}

bool WeightController::swapping() const {
  return this->State == Phase::Swapping;
}

void WeightController::on(const WeightsAnnounced &Event, Millis Now,
                          Actions & /*Out*/) {
  assert(Event.Engines > 0);
  // News can arrive by several links, late ones after newer ones.
  if (this->Wanted && Event.Version <= this->Wanted->Version)
    return;
  this->Wanted = Event;
  SwapPolicy Policy = this->Settings.Policy;
  auto *Staggered = std::get_if<SwapStaggered>(&Policy);
  if (Staggered != nullptr && this->Duration > Millis{0})
    Staggered->ExpectedSwap = this->Duration;
  this->Turn = Now + swapDelay(Policy, this->Settings.Endpoint, Event);
}

void WeightController::on(const OrdersAllowed &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->Fence = Event.Fence;
}

void WeightController::on(const OrdersForbidden & /*Event*/, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->Fence.reset();
}

void WeightController::on(const OrderDone &Event, Millis Now, Actions &Out) {
  if (Event.Order != this->LastNumber || this->State != Phase::Swapping) {
    // The answer to an order given up: it says what was, not what is.
    if (this->State == Phase::Settled)
      this->ask(Now, Out);
    return;
  }
  ++this->Counts.Swapped;
  this->learnDuration(Now - this->OrderedAt);
  this->Failures = 0;
  this->Pending.reset();
  this->settle(Event.Version, Out);
}

void WeightController::on(const OrderFailed &Event, Millis Now, Actions &Out) {
  if (Event.StaleFence)
    Out.emplace_back(Superseded{});
  if (Event.Order != this->LastNumber || this->State != Phase::Swapping)
    return;
  ++this->Counts.Failed;
  if (Event.StaleFence)
    this->Fence.reset();
  this->backOff(Now);
  // A failed swap may have left either version behind, but is over.
  this->Pending.reset();
  this->doubt(Out);
  this->ask(Now, Out);
}

void WeightController::on(const OrderLost &Event, Millis Now, Actions &Out) {
  if (Event.Order == this->LastNumber && this->State == Phase::Swapping)
    this->loseOrder(Now, Out);
}

void WeightController::on(const VersionAnswered &Event, Millis /*Now*/,
                          Actions &Out) {
  if (Event.Query == this->LastNumber && this->State == Phase::Asking)
    this->settle(Event.Version, Out);
}

void WeightController::on(const VersionUnanswered &Event, Millis Now,
                          Actions & /*Out*/) {
  if (Event.Query != this->LastNumber || this->State != Phase::Asking)
    return;
  this->State = Phase::Unknown;
  this->backOff(Now);
}

void WeightController::on(const EndpointRestarted & /*Event*/, Millis Now,
                          Actions &Out) {
  // Whatever was ordered ended with the process that it was ordered from.
  this->Pending.reset();
  this->doubt(Out);
  this->ask(Now, Out);
}

void WeightController::on(const WeightTick & /*Event*/, Millis Now,
                          Actions &Out) {
  if (Now < this->GiveUpAt)
    return;
  if (this->State == Phase::Swapping)
    this->loseOrder(Now, Out);
  else if (this->State == Phase::Asking)
    this->on(VersionUnanswered{this->LastNumber}, Now, Out);
}

void WeightController::advance(Millis Now, Actions &Out) {
  if (this->State == Phase::Unknown && Now >= this->RetryAt)
    this->ask(Now, Out);
  if (this->State != Phase::Settled || !this->Fence || !this->Wanted)
    return;
  // An endpoint that is ahead of the announcement is left alone.
  if (this->Wanted->Version <= this->Version)
    return;
  if (Now >= this->Turn && Now >= this->RetryAt)
    this->order(Now, Out);
}

void WeightController::ask(Millis Now, Actions &Out) {
  this->State = Phase::Asking;
  this->GiveUpAt = Now + this->Settings.QueryTimeout;
  Out.emplace_back(AskVersion{++this->LastNumber});
}

void WeightController::order(Millis Now, Actions &Out) {
  assert(this->Fence && this->Wanted);
  this->State = Phase::Swapping;
  this->OrderedAt = Now;
  this->GiveUpAt = Now + this->Settings.OrderTimeout;
  this->Ordered = this->Wanted->Version;
  Out.emplace_back(SendOrder{++this->LastNumber, this->Ordered,
                             this->Wanted->Location, *this->Fence});
}

void WeightController::settle(WeightVersion Version, Actions &Out) {
  this->State = Phase::Settled;
  this->Version = Version;
  this->GiveUpAt = Never;
#ifndef CAMPHORNOTCH_MUTATION_IGNORE_LOST_ORDER
  if (this->Pending && *this->Pending != Version)
    return;
#endif
  this->Pending.reset();
  this->Doubt = false;
  Out.emplace_back(LabelConfirmed{Version});
}

void WeightController::doubt(Actions &Out) {
  if (!this->Doubt)
    Out.emplace_back(LabelInDoubt{});
  this->Doubt = true;
}

void WeightController::loseOrder(Millis Now, Actions &Out) {
  ++this->Counts.Unanswered;
  this->Pending = this->Ordered;
#ifndef CAMPHORNOTCH_MUTATION_LABEL_IN_DOUBT
  this->doubt(Out);
#endif
  this->backOff(Now);
  this->ask(Now, Out);
}

void WeightController::learnDuration(Millis Took) {
  const bool First = this->Duration == Millis{0};
  const int64_t Before = First ? Took.Count : this->Duration.Count;
  this->Duration = Millis{(Before + Took.Count) / 2};
}

void WeightController::backOff(Millis Now) {
  const int Doublings = std::min(this->Failures, MaxDoublings);
  const Millis Wait = std::min(this->Settings.FirstBackoff * (1LL << Doublings),
                               this->Settings.MaxBackoff);
  ++this->Failures;
  this->RetryAt = Now + Wait;
}

} // namespace camphornotch
