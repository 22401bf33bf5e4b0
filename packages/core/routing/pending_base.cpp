/// @file
/// The slots of one pool that wait for an endpoint.

#include "core/routing/pending_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Mean length of a group of which no member is whole: those that take
/// longest to show any result are likely to be long.
constexpr double UnknownLength = 1e12;
/// An endpoint keeps its group down to this share of the longest one's mean.
constexpr double HomeShare = 0.9;

} // namespace

double PendingSlots::PendingGroup::meanLength() const {
  if (this->Whole == 0)
    return UnknownLength;
  return static_cast<double>(this->WholeTokens) /
         static_cast<double>(this->Whole);
}

void PendingSlots::noteLength(const RolloutSpec &Spec, int64_t Tokens) {
  const auto Trainer = this->Fresh.find(Spec.Trainer);
  if (Trainer == this->Fresh.end())
    return;
  const auto Step = Trainer->second.find(Spec.Step);
  if (Step == Trainer->second.end())
    return;
  const auto Group = Step->second.Groups.find(Spec.Group);
  if (Group == Step->second.Groups.end())
    return;
  ++Group->second.Whole;
  Group->second.WholeTokens += Tokens;
}

void PendingSlots::add(const RolloutSpec &Spec) {
  PendingStep &Step = this->Fresh[Spec.Trainer][Spec.Step];
  const auto [Found, IsNew] = Step.Groups.try_emplace(Spec.Group);
  if (IsNew)
    Step.Unsent.push_back(Spec.Group);
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
  ++Group->second.Sent;
  Step.Homes[Endpoint] = Name;
  if (Group->second.Slots.empty())
    Step.Groups.erase(Group);
  return Slot;
}

std::string PendingSlots::chooseGroup(PendingStep &Step,
                                      EndpointIndex Endpoint) {
  while (!Step.Unsent.empty()) {
    std::string Name = Step.Unsent.front();
    Step.Unsent.pop_front();
    if (Step.Groups.contains(Name))
      return Name;
  }
  const std::string &Longest = longestGroup(Step);
  const auto Home = Step.Homes.find(Endpoint);
  if (Home == Step.Homes.end())
    return Longest;
  const auto HomeGroup = Step.Groups.find(Home->second);
  if (HomeGroup == Step.Groups.end())
    return Longest;
  const double Enough = HomeShare * Step.Groups.at(Longest).meanLength();
  return HomeGroup->second.meanLength() >= Enough ? Home->second : Longest;
}

const std::string &PendingSlots::longestGroup(const PendingStep &Step) {
  assert(!Step.Groups.empty());
  // Of like groups the one of which the fewest are out goes first.
  const auto IsBefore = [](const auto &Left, const auto &Right) {
    const double LeftMean = Left.second.meanLength();
    const double RightMean = Right.second.meanLength();
    if (LeftMean != RightMean)
      return LeftMean < RightMean;
    return Left.second.Sent > Right.second.Sent;
  };
  return std::max_element(Step.Groups.begin(), Step.Groups.end(), IsBefore)
      ->first;
}

} // namespace camphornotch
