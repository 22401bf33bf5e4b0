/// @file
/// The end of a step: late attempts move to faster endpoints, and slots whose
/// attempt is silent get a second one.

#include "core/routing/rollout_scheduler_base.h"

#include <cassert>

namespace camphornotch {

void RolloutScheduler::treatTail(const MoveTail &Policy, Millis Now,
                                 Actions &Out) {
  // Copies: hedging adds attempts.
  std::vector<WorkId> Works;
  Works.reserve(this->Attempts.size());
  for (const auto &Row : this->Attempts)
    Works.push_back(Row.first);
  std::map<Pool, std::vector<EndpointIndex>> Used;
  // The fastest endpoint with a place, until an attempt moves there.
  std::map<Pool, std::optional<EndpointIndex>> Fastest;
  for (const WorkId Work : Works) {
    const Attempt &Late = this->Attempts.at(Work);
    const Pool Wanted = poolOf(this->Slots.at(Late.Slot).Spec);
    if (this->Pending[Wanted].hasReady(Now))
      continue;
    const bool Reachable = this->Table.at(Late.Endpoint).Reachable;
    const bool StopOverdue =
        Late.StopAt.Count > 0 && Now - Late.StopAt > Policy.StopTimeout;
    if (!Reachable || StopOverdue) {
      this->hedgeAttempt(Work, Now, Out);
      continue;
    }
    const auto [Known, IsNew] = Fastest.try_emplace(Wanted);
    if (IsNew)
      Known->second = this->chooseFor(Wanted, 0, &Used[Wanted], Now);
    const auto Best = Known->second;
    if (!Best || !this->moveAttempt(Policy, Work, *Best, Now, Out))
      continue;
    Used[Wanted].push_back(*Best);
    Fastest.erase(Known);
  }
}

bool RolloutScheduler::moveAttempt(const MoveTail &Policy, WorkId Work,
                                   EndpointIndex Best, Millis Now,
                                   Actions &Out) {
  Attempt &Late = this->Attempts.at(Work);
  if (Late.StopAt.Count > 0 || Late.Endpoint == Best)
    return false;
  if (Now - Late.SentAt < Policy.MinRun)
    return false;
  const double Here = this->tokenMicros(Late.Endpoint);
  const double There = this->tokenMicros(Best);
  if (Here <= 0 || There <= 0 || Here < There * Policy.SlowerFactor)
    return false;
  Late.StopAt = Now;
  ++this->Counts.Moved;
  Out.emplace_back(StopAttempt{Work, Late.Endpoint, true});
  return true;
}

void RolloutScheduler::hedgeAttempt(WorkId Work, Millis Now, Actions &Out) {
  Attempt &Silent = this->Attempts.at(Work);
  if (Silent.Hedged)
    return;
  const SlotRef Ref = Silent.Slot;
  const std::vector<EndpointIndex> Excluded{Silent.Endpoint};
  const Pool Wanted = poolOf(this->Slots.at(Ref).Spec);
  const auto Index = this->chooseFor(Wanted, 0, &Excluded, Now);
  if (!Index || !this->HedgeBudget.take(1, Now))
    return;
  Silent.Hedged = true;
  ++this->Counts.Hedged;
  Out.emplace_back(CountRetry{RetryReason::Hedge});
  this->send(Ref, *Index, Now, Out);
}

double RolloutScheduler::tokenMicros(EndpointIndex Index) const {
  return static_cast<double>(this->Table.at(Index).Load.TokenMicros);
}

} // namespace camphornotch
