/// @file
/// Start-time fair queue.

#include "core/agent/fair_queue_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Callers remembered before idle ones are looked for.
constexpr size_t KeptCallers = 64;

} // namespace

void FairQueue::push(std::string_view Caller, WorkKey Key, int64_t Tokens,
                     int64_t Cost) {
  assert(Tokens > 0 && Cost > 0);
  assert(!this->Places.contains(Key));
  int64_t &CallerEnd = this->CallerEnds[std::string(Caller)];
  const int64_t Start = std::max(this->VirtualNow, CallerEnd);
  CallerEnd = Start + Cost;
  const Tag Place{Start, ++this->Arrivals};
  this->Order.emplace(Place, Item{Key, Tokens});
  this->Places.emplace(Key, Place);
  this->WaitingTokens += Tokens;
  this->forgetIdleCallers();
}

std::optional<WorkKey> FairQueue::front() const {
  if (this->Order.empty())
    return std::nullopt;
  return this->Order.begin()->second.Key;
}

void FairQueue::pop() {
  assert(!this->Order.empty());
  const auto First = this->Order.begin();
  this->VirtualNow = std::max(this->VirtualNow, First->first.first);
  this->erase(First->second.Key);
}

void FairQueue::erase(WorkKey Key) {
  const auto Place = this->Places.find(Key);
  if (Place == this->Places.end())
    return;
  const auto Found = this->Order.find(Place->second);
  assert(Found != this->Order.end());
  this->WaitingTokens -= Found->second.Tokens;
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
