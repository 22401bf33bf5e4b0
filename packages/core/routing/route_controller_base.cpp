/// @file
/// Routes requests that are answered whole: choice, retries and hedging.

#include "core/routing/route_controller_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Share of requests whose latency sets the hedging delay.
constexpr double HedgeQuantile = 0.95;
/// Retries that may be saved up.
constexpr double RetryBurst = 20;
/// Second attempts that may be saved up.
constexpr double HedgeBurst = 5;
/// Seconds of traffic to another region that may be saved up.
constexpr double RegionBurstSeconds = 2;
/// When a caller may come back if no endpoint can be had.
constexpr int64_t NoEndpointRetryMs = 1000;

/// @param Reason why an attempt came back.
/// @return whether the endpoint itself failed.
bool isFailure(RefusalReason Reason) {
  return Reason == RefusalReason::EndpointFailed ||
         Reason == RefusalReason::PeerLost;
}

/// @param Reason why an attempt came back.
/// @return whether no other endpoint would answer differently.
bool isFinal(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::BadRequest:
  case RefusalReason::TooLarge:
  case RefusalReason::NotAllowed:
  case RefusalReason::Quarantined:
  case RefusalReason::Cancelled:
    return true;
  default:
    return false;
  }
}

/// @param Reason why an attempt came back.
/// @return the reason under which the next one is counted.
RetryReason retryReason(RefusalReason Reason) {
  if (Reason == RefusalReason::PeerLost)
    return RetryReason::PeerLost;
  return isFailure(Reason) ? RetryReason::EndpointFailed
                           : RetryReason::RefusedNotRun;
}

/// @param Policy a hedging policy.
/// @return second attempts that each request earns.
double hedgeShare(const HedgePolicy &Policy) {
  const auto *Slow = std::get_if<HedgeSlow>(&Policy);
  return Slow ? Slow->Share : 0;
}

} // namespace

RouteController::RouteController(const RouteSettings &Settings,
                                 EndpointTable &Table, WorkIdSource &WorkIds,
                                 uint64_t Seed)
    : Settings(Settings), Policies(Settings.Choice), Table(Table),
      WorkIds(WorkIds), Random(Seed),
      RetryBudget(Settings.RetriesPerSecond, RetryBurst),
      HedgeBudget(0, HedgeBurst),
      RegionBudget(Settings.OtherRegionBytesPerSecond,
                   Settings.OtherRegionBytesPerSecond * RegionBurstSeconds) {}

std::vector<RouteAction> RouteController::handle(const RouteEvent &Event,
                                                 Millis Now) {
  Actions Out;
  std::visit([&](const auto &Each) { this->on(Each, Now, Out); }, Event);
  return Out;
}

void RouteController::change(std::shared_ptr<const RuleSet> Rules) {
  this->Policies.change(std::move(Rules));
  const RoutingRule &Rule = *this->Policies.general();
  this->Settings.RetryShare = percent(Rule.RetryBudgetPercent);
  HedgeSlow Hedge;
  Hedge.Share = percent(Rule.HedgeBudgetPercent);
  this->Settings.Hedge = Hedge;
  if (Rule.HedgeBudgetPercent == 0)
    this->Settings.Hedge = HedgeNever{};
  const auto Bytes = static_cast<double>(Rule.CrossRegionBytesPerSecond);
  this->RegionBudget.resize(Bytes, Bytes * RegionBurstSeconds);
}

Millis RouteController::nextDeadline() const {
  return this->Hedges.empty() ? Never : this->Hedges.begin()->first;
}

void RouteController::on(const RouteRequested &Event, Millis Now,
                         Actions &Out) {
  const RequestRef Ref = Event.Spec.Request;
  const auto [Found, IsNew] = this->Requests.try_emplace(Ref);
  assert(IsNew);
  Found->second.Spec = Event.Spec;
  ++this->Counts.Requests;
  this->HedgeBudget.deposit(hedgeShare(this->Settings.Hedge));
  if (!this->send(Ref, Now, Out)) {
    this->refuseForWant(Ref, Out);
    return;
  }
  this->planHedge(Ref, Now);
}

void RouteController::on(const RouteStarted &Event, Millis Now, Actions &Out) {
  const auto Found = this->Attempts.find(Event.Work);
  if (Found == this->Attempts.end())
    return;
  Request &Open = this->Requests.at(Found->second.Request);
  if (Open.Answered)
    return;
  Open.Answered = true;
  this->noteLatency(Found->second, Now);
  this->stopOthers(Found->second.Request, Event.Work, Out);
  Out.emplace_back(UseAnswer{Found->second.Request, Event.Work});
}

void RouteController::on(const RouteFinished &Event, Millis Now, Actions &Out) {
  const auto Done = this->settle(Event.Work);
  if (!Done)
    return;
  this->Table.noteSuccess(Done->Endpoint);
  this->RetryBudget.deposit(this->Settings.RetryShare);
  const auto Found = this->Requests.find(Done->Request);
  assert(Found != this->Requests.end());
  if (!Found->second.Answered) {
    this->noteLatency(*Done, Now);
    Out.emplace_back(UseAnswer{Done->Request, Event.Work});
  }
  this->stopOthers(Done->Request, Event.Work, Out);
  this->Requests.erase(Found);
}

void RouteController::on(const RouteRefused &Event, Millis Now, Actions &Out) {
  const auto Done = this->settle(Event.Work);
  if (!Done)
    return;
  if (isFailure(Event.Why.Reason))
    this->Table.noteFailure(Done->Endpoint, Now);
  Request &Open = this->Requests.at(Done->Request);
  Open.MayHaveRun |= Event.Why.State == RunState::Unknown;
  Open.LastRefusal = Event.Why;
  // A second attempt is still out and may answer.
  if (!Open.Attempts.empty())
    return;
  if (this->mayRetry(Open, Event.Why, Now) &&
      this->send(Done->Request, Now, Out)) {
    ++this->Counts.Retried;
    Out.emplace_back(CountRouteRetry{retryReason(Event.Why.Reason)});
    return;
  }
  this->refuse(Done->Request, Event.Why, Out);
}

void RouteController::on(const RouteEndpointSilent &Event, Millis Now,
                         Actions &Out) {
  for (const WorkId Work : this->attemptsAt(Event.Endpoint)) {
    const RequestRef Ref = this->Attempts.at(Work).Request;
    const Request &Open = this->Requests.at(Ref);
    if (!Open.Spec.Repeatable || Open.Answered || Open.Attempts.size() != 1)
      continue;
    if (!this->RetryBudget.take(1, Now) || !this->send(Ref, Now, Out))
      continue;
    ++this->Counts.Retried;
    Out.emplace_back(CountRouteRetry{RetryReason::PeerLost});
  }
}

std::vector<WorkId> RouteController::attemptsAt(EndpointIndex Endpoint) const {
  std::vector<WorkId> Found;
  for (const auto &[Work, Attempt] : this->Attempts)
    if (Attempt.Endpoint == Endpoint)
      Found.push_back(Work);
  return Found;
}

void RouteController::on(const RouteEndpointGone &Event, Millis Now,
                         Actions &Out) {
  const std::vector<WorkId> Lost = this->attemptsAt(Event.Endpoint);
  Refusal Why;
  Why.Reason = RefusalReason::PeerLost;
  Why.State = RunState::Unknown;
  Why.RetryAfterMs = NoEndpointRetryMs;
  for (const WorkId Work : Lost) {
    const auto Found = this->Attempts.find(Work);
    if (Found == this->Attempts.end())
      continue;
    // Only this agent can go on with an answer that has begun.
    if (!this->Requests.at(Found->second.Request).Answered)
      this->on(RouteRefused{Work, Why}, Now, Out);
  }
}

void RouteController::on(const RouteCallerGone &Event, Millis /*Now*/,
                         Actions &Out) {
  const auto Found = this->Requests.find(Event.Request);
  if (Found == this->Requests.end())
    return;
  this->stopOthers(Event.Request, WorkId{}, Out);
  this->Requests.erase(Found);
}

void RouteController::on(const RouteTick & /*Event*/, Millis Now,
                         Actions &Out) {
  this->hedgeDue(Now, Out);
}

bool RouteController::send(RequestRef Ref, Millis Now, Actions &Out) {
  Request &Open = this->Requests.at(Ref);
  ChoiceRequest Wanted;
  Wanted.Serves = Open.Spec.Serves;
  Wanted.Class = Open.Spec.Class;
  Wanted.ExpectedTokens = Open.Spec.ExpectedTokens;
  Wanted.Affinity = Open.Spec.Affinity;
  Wanted.Excluded = &Open.Used;
  const auto Bytes = static_cast<double>(Open.Spec.Bytes);
  Wanted.OtherRegionAllowed = this->RegionBudget.holds(Bytes, Now);
  const auto Index = chooseEndpoint(this->Policies.choice(Open.Spec.Serves),
                                    this->Table, Wanted, Now, this->Random);
  if (!Index)
    return false;
  if (this->Table.at(*Index).Away == Distance::OtherRegion) {
    this->RegionBudget.take(Bytes, Now);
    this->Counts.OtherRegionBytes += Open.Spec.Bytes;
  }
  const WorkId Work = this->WorkIds.next();
  const int64_t Expected = Open.Spec.ExpectedTokens;
  this->Attempts.emplace(Work, Attempt{Ref, *Index, Now, Expected});
  this->Table.noteSent(*Index, Expected);
  Open.Attempts.push_back(Work);
  Open.Used.push_back(*Index);
  const Millis TimeLeft =
      Open.Spec.Deadline == Never ? Never : Open.Spec.Deadline - Now;
  Out.emplace_back(SendRequest{Work, Ref, *Index, Open.Tries, TimeLeft});
  ++Open.Tries;
  ++this->Counts.Sent;
  return true;
}

void RouteController::planHedge(RequestRef Ref, Millis Now) {
  const auto *Slow = std::get_if<HedgeSlow>(&this->Settings.Hedge);
  const Request &Open = this->Requests.at(Ref);
  if (!Slow || !Open.Spec.Repeatable)
    return;
  const auto Found = this->LatencyOf.find(Open.Spec.Serves);
  // Without any answer there is nothing to call slow.
  if (Found == this->LatencyOf.end())
    return;
  const double Delay = Found->second.value() * Slow->DelayFactor;
  const Millis Span{static_cast<int64_t>(Delay) + 1};
  this->Hedges.emplace(Now + std::max(Span, Slow->MinDelay), Ref);
}

void RouteController::hedgeDue(Millis Now, Actions &Out) {
  while (!this->Hedges.empty() && this->Hedges.begin()->first <= Now) {
    const RequestRef Ref = this->Hedges.begin()->second;
    this->Hedges.erase(this->Hedges.begin());
    if (!this->mayHedge(Ref, Now) || !this->send(Ref, Now, Out))
      continue;
    ++this->Counts.Hedged;
    Out.emplace_back(CountRouteRetry{RetryReason::Hedge});
  }
}

bool RouteController::mayHedge(RequestRef Ref, Millis Now) {
  const auto Found = this->Requests.find(Ref);
  if (Found == this->Requests.end())
    return false;
  const Request &Open = Found->second;
  if (Open.Answered || Open.Attempts.size() != 1)
    return false;
  return this->HedgeBudget.take(1, Now);
}

std::optional<RouteController::Attempt> RouteController::settle(WorkId Work) {
  const auto Found = this->Attempts.find(Work);
  if (Found == this->Attempts.end())
    return std::nullopt;
  const Attempt Done = Found->second;
  this->Attempts.erase(Found);
  this->Table.noteSettled(Done.Endpoint, Done.Expected);
  std::erase(this->Requests.at(Done.Request).Attempts, Work);
  return Done;
}

void RouteController::stopOthers(RequestRef Ref, WorkId Winner, Actions &Out) {
  const std::vector<WorkId> Works = this->Requests.at(Ref).Attempts;
  for (const WorkId Work : Works) {
    if (Work == Winner)
      continue;
    const auto Stopped = this->settle(Work);
    assert(Stopped);
    Out.emplace_back(StopRequest{Work, Stopped->Endpoint});
  }
}

void RouteController::refuse(RequestRef Ref, Refusal Why, Actions &Out) {
  const auto Found = this->Requests.find(Ref);
  assert(Found != this->Requests.end());
  // "Not run" must hold for every attempt, not only for the last one.
  if (Found->second.MayHaveRun)
    Why.State = RunState::Unknown;
  this->Requests.erase(Found);
  Out.emplace_back(RefuseRoute{Ref, std::move(Why)});
}

void RouteController::refuseForWant(RequestRef Ref, Actions &Out) {
  Refusal Why;
  Why.Reason = RefusalReason::NoEndpoint;
  Why.State = RunState::NotRun;
  Why.RetryAfterMs = NoEndpointRetryMs;
  Why.Detail = "serves=" + this->Requests.at(Ref).Spec.Serves;
  this->refuse(Ref, std::move(Why), Out);
}

bool RouteController::mayRetry(const Request &Open, const Refusal &Why,
                               Millis Now) {
  if (Open.Answered || isFinal(Why.Reason))
    return false;
  if (Open.MayHaveRun && !Open.Spec.Repeatable)
    return false;
  if (Open.Tries >= this->Settings.MaxTries || Open.Spec.Deadline <= Now)
    return false;
  return this->RetryBudget.take(1, Now);
}

void RouteController::noteLatency(const Attempt &Done, Millis Now) {
  const Millis Latency = Now - Done.SentAt;
  const std::string &Serves = this->Table.at(Done.Endpoint).Info.Serves;
  const auto Found = this->LatencyOf.try_emplace(Serves, HedgeQuantile).first;
  Found->second.add(static_cast<double>(Latency.Count));
  this->Table.noteShortLatency(Done.Endpoint, Latency);
}

} // namespace camphornotch
