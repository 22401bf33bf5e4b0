/// @file
/// The agent's guard: an intent starts once, for the boot that it names.

#include "core/calls/intent_guard_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

IntentGuard::IntentGuard(BootId Boot, size_t MaxKept)
    : Boot(Boot), MaxKept(MaxKept) {}

IntentDecision IntentGuard::admit(LogOffset Offset, BootId Boot,
                                  const IntentWaiter &Waiter) {
#ifndef CAMPHORNOTCH_MUTATION_ACCEPT_ANY_BOOT
  if (Boot != this->Boot)
    return RefuseIntent{Refusal{RefusalReason::WrongBoot, RunState::Unknown, 0,
                                "the intent names another boot"}};
#endif
  const auto Found = this->Intents.find(Offset);
  if (Found != this->Intents.end()) {
    IntentState &State = Found->second;
    if (State.Answer)
      return AnswerIntent{*State.Answer};
    if (State.Why)
      return RefuseIntent{*State.Why};
#ifdef CAMPHORNOTCH_MUTATION_START_TWICE
    return StartIntent{};
#endif
    auto &Waiters = State.Waiters;
    if (std::find(Waiters.begin(), Waiters.end(), Waiter) == Waiters.end())
      Waiters.push_back(Waiter);
    return JoinIntent{};
  }
#ifndef CAMPHORNOTCH_MUTATION_FORGET_INTENTS
  if (Offset <= this->HighestForgotten)
    return RefuseIntent{Refusal{RefusalReason::OutcomeUnknown,
                                RunState::Unknown, 0,
                                "the intent is older than those remembered"}};
#endif
  this->Intents[Offset].Waiters.push_back(Waiter);
  return StartIntent{};
}

std::vector<IntentWaiter> IntentGuard::finish(LogOffset Offset,
                                              wire::WorkFinished Answer) {
  const auto Found = this->Intents.find(Offset);
  if (Found == this->Intents.end() || Found->second.ended())
    return {};
  Found->second.Answer = std::move(Answer);
  return this->end(Found->second);
}

std::vector<IntentWaiter> IntentGuard::refuse(LogOffset Offset, Refusal Why) {
  const auto Found = this->Intents.find(Offset);
  if (Found == this->Intents.end() || Found->second.ended())
    return {};
#ifdef CAMPHORNOTCH_MUTATION_NO_TOMBSTONE
  std::vector<IntentWaiter> Waiters = std::move(Found->second.Waiters);
  this->Intents.erase(Found);
  return Waiters;
#else
  Found->second.Why = std::move(Why);
  return this->end(Found->second);
#endif
}

void IntentGuard::dropWaiters(const HostId &Peer) {
  for (auto &[Offset, State] : this->Intents)
    std::erase_if(State.Waiters, [&](const IntentWaiter &Waiter) {
      return Waiter.Peer == Peer;
    });
}

std::vector<IntentWaiter> IntentGuard::end(IntentState &State) {
  std::vector<IntentWaiter> Waiters = std::move(State.Waiters);
  State.Waiters.clear();
  ++this->Ended;
  this->shrink();
  return Waiters;
}

void IntentGuard::shrink() {
  for (auto Place = this->Intents.begin();
       this->Ended > this->MaxKept && Place != this->Intents.end();) {
    if (!Place->second.ended()) {
      ++Place;
      continue;
    }
    this->HighestForgotten = std::max(this->HighestForgotten, Place->first);
    Place = this->Intents.erase(Place);
    --this->Ended;
  }
}

} // namespace camphornotch
