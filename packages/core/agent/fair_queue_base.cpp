/// @file
/// The order of waiting work of one class.

#include "core/agent/fair_queue_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Callers remembered before idle ones are looked for.
constexpr size_t KeptCallers = 64;

} // namespace

void FairQueue::push(std::string_view Caller, WorkKey Key, int64_t Tokens,
                     int64_t StepRemaining) {
  assert(Tokens > 0);
  assert(!this->Places.contains(Key));
  int64_t &CallerEnd = this->CallerEnds[std::string(Caller)];
  const int64_t Start = std::max(this->VirtualNow, CallerEnd);
  CallerEnd = Start + Tokens;
  const Tag Place{Start, ++this->Arrivals};
  this->Order.emplace(Place, Item{std::string(Caller), Key, Tokens});
  this->Places.emplace(Key, Place);
  this->WaitingTokens += Tokens;
  if (StepRemaining > 0) {
    StepLine &Line = this->Steps[std::string(Caller)];
    Line.Remaining = StepRemaining;
    Line.Places.insert(Place);
  }
  this->forgetIdleCallers();
}

std::optional<WorkKey> FairQueue::front() const {
  if (this->Order.empty())
    return std::nullopt;
  return this->Order.at(this->nextPlace()).Key;
}

void FairQueue::pop() {
  assert(!this->Order.empty());
  const Tag Place = this->nextPlace();
  this->VirtualNow = std::max(this->VirtualNow, Place.first);
  ++this->Starts;
  this->erase(this->Order.at(Place).Key);
}

FairQueue::Tag FairQueue::nextPlace() const {
  assert(!this->Order.empty());
  const bool FairTurn = this->Starts % FairEvery == FairEvery - 1;
  if (this->Steps.empty() || FairTurn)
    return this->Order.begin()->first;
  const auto Least =
      std::min_element(this->Steps.begin(), this->Steps.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second.Remaining < Right.second.Remaining;
                       });
  return *Least->second.Places.begin();
}

void FairQueue::eraseFromStep(const std::string &Caller, Tag Place) {
  const auto Line = this->Steps.find(Caller);
  if (Line == this->Steps.end())
    return;
  Line->second.Places.erase(Place);
  if (Line->second.Places.empty())
    this->Steps.erase(Line);
}

void FairQueue::erase(WorkKey Key) {
  const auto Place = this->Places.find(Key);
  if (Place == this->Places.end())
    return;
  const auto Found = this->Order.find(Place->second);
  assert(Found != this->Order.end());
  this->WaitingTokens -= Found->second.Tokens;
  this->eraseFromStep(Found->second.Caller, Found->first);
  this->Order.erase(Found);
  this->Places.erase(Place);
}

void FairQueue::forgetIdleCallers() {
  if (this->CallerEnds.size() < KeptCallers + 2 * this->Order.size())
    return;
  absl::erase_if(this->CallerEnds, [this](const auto &Caller) {
    return Caller.second <= this->VirtualNow;
  });
}

} // namespace camphornotch
