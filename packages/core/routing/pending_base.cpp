/// @file
/// The slots of one pool that wait for an endpoint.

#include "core/routing/pending_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

void PendingSlots::add(const RolloutSpec &Spec) {
  PendingStep &Step = this->Fresh[Spec.Trainer][Spec.Step];
  const auto [Found, IsNew] = Step.Groups.try_emplace(Spec.Group);
  if (IsNew)
    Step.Homeless.push_back(Spec.Group);
  Found->second.Slots.push_back(Spec.Slot);
  ++this->Count;
}

void PendingSlots::addAgain(const RolloutSpec &Spec, Millis NotBefore) {
  this->Retries.insert(Again{NotBefore, Spec.Step, Spec.Slot});
  ++this->Count;
}

std::optional<SlotRef>
PendingSlots::take(EndpointIndex Endpoint, Millis Now,
                   const std::map<TrainerId, int64_t> &Running) {
  if (!this->hasReady(Now))
    return std::nullopt;
  --this->Count;
  if (this->nextRetry() <= Now) {
    const SlotRef Slot = this->Retries.begin()->Slot;
    this->Retries.erase(this->Retries.begin());
    return Slot;
  }
  PendingTrainer &Trainer = this->nextTrainer(Running);
  const auto Oldest = Trainer.begin();
  const SlotRef Slot = takeFromStep(Oldest->second, Endpoint);
  if (Oldest->second.Groups.empty())
    Trainer.erase(Oldest);
  if (Trainer.empty())
    std::erase_if(this->Fresh, [](auto &Row) { return Row.second.empty(); });
  return Slot;
}

int64_t PendingSlots::turn(Millis Now,
                           const std::map<TrainerId, int64_t> &Running) const {
  assert(this->hasReady(Now));
  if (this->nextRetry() <= Now)
    return -1;
  int64_t Fewest = INT64_MAX;
  for (const auto &Row : this->Fresh) {
    const auto Found = Running.find(Row.first);
    Fewest = std::min(Fewest, Found == Running.end() ? 0 : Found->second);
  }
  return Fewest;
}

bool PendingSlots::hasReady(Millis Now) const {
  return !this->Fresh.empty() || this->nextRetry() <= Now;
}

Millis PendingSlots::nextRetry() const {
  return this->Retries.empty() ? Never : this->Retries.begin()->NotBefore;
}

PendingSlots::PendingTrainer &
PendingSlots::nextTrainer(const std::map<TrainerId, int64_t> &Running) {
  assert(!this->Fresh.empty());
  const auto RunningOf = [&](const TrainerId &Trainer) {
    const auto Found = Running.find(Trainer);
    return Found == Running.end() ? 0 : Found->second;
  };
  const auto Fewest =
      std::min_element(this->Fresh.begin(), this->Fresh.end(),
                       [&](const auto &Left, const auto &Right) {
                         return RunningOf(Left.first) < RunningOf(Right.first);
                       });
  return Fewest->second;
}

SlotRef PendingSlots::takeFromStep(PendingStep &Step, EndpointIndex Endpoint) {
  const std::string Name = chooseGroup(Step, Endpoint);
  const auto Group = Step.Groups.find(Name);
  assert(Group != Step.Groups.end() && !Group->second.Slots.empty());
  const SlotRef Slot = Group->second.Slots.back();
  Group->second.Slots.pop_back();
  Step.Homes[Endpoint] = Name;
  if (Group->second.Slots.empty())
    Step.Groups.erase(Group);
  return Slot;
}

std::string PendingSlots::chooseGroup(PendingStep &Step,
                                      EndpointIndex Endpoint) {
  const auto Home = Step.Homes.find(Endpoint);
  if (Home != Step.Homes.end() && Step.Groups.contains(Home->second))
    return Home->second;
  while (!Step.Homeless.empty()) {
    std::string Name = Step.Homeless.front();
    Step.Homeless.pop_front();
    if (Step.Groups.contains(Name))
      return Name;
  }
  // All groups have an endpoint: help the one with the most slots left.
  const auto Largest = std::max_element(
      Step.Groups.begin(), Step.Groups.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.Slots.size() < Right.second.Slots.size();
      });
  assert(Largest != Step.Groups.end());
  return Largest->first;
}

} // namespace camphornotch
