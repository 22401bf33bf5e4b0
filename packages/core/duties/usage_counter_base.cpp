/// @file
/// Counts requests that began to run, by client account and window, at one
/// gateway.

#include "core/duties/usage_counter_base.h"

namespace camphornotch {

namespace {

/// Time for which a window's counts are kept: longer than any change of the
/// duty's holder takes.
constexpr Millis KeepTime{60'000};

} // namespace

int64_t UsageCounter::add(const std::string &Account, Millis BeganAt) {
  const int64_t Window = BeganAt.Count / this->WindowLength.Count;
  ++this->Windows[Window][Account];
  this->Changed = true;
  return Window;
}

void UsageCounter::remove(const std::string &Account, int64_t Window) {
  const auto Found = this->Windows.find(Window);
  if (Found == this->Windows.end())
    return;
  const auto Count = Found->second.find(Account);
  if (Count == Found->second.end())
    return;
  this->Changed = true;
  if (--Count->second == 0)
    Found->second.erase(Count);
}

void UsageCounter::forgetOld(Millis TrueNow) {
  const int64_t FirstKept =
      (TrueNow - KeepTime).Count / this->WindowLength.Count;
  this->Windows.erase(this->Windows.begin(),
                      this->Windows.lower_bound(FirstKept));
}

std::vector<wire::UsageWindow>
UsageCounter::windowsAfter(int64_t Window) const {
  std::vector<wire::UsageWindow> Later;
  for (auto Each = this->Windows.upper_bound(Window);
       Each != this->Windows.end(); ++Each) {
    wire::UsageWindow Encoded;
    Encoded.Window = Each->first;
    Encoded.Counts = encodeCounts(Each->second);
    Later.push_back(std::move(Encoded));
  }
  return Later;
}

void RequestUsage::attemptSent(uint64_t Number, Millis BeganAt) {
  this->Attempts.emplace(Number, BeganAt);
  if (this->Counted != 0)
    return;
  this->Counted = Number;
  this->CountedWindow = this->Counter.add(this->Account, BeganAt);
}

void RequestUsage::attemptNotRun(uint64_t Number) {
  this->Attempts.erase(Number);
  if (this->Counted != Number)
    return;
  this->Counter.remove(this->Account, this->CountedWindow);
  this->Counted = 0;
  if (this->Attempts.empty())
    return;
  const auto &[Next, BeganAt] = *this->Attempts.begin();
  this->Counted = Next;
  this->CountedWindow = this->Counter.add(this->Account, BeganAt);
}

} // namespace camphornotch
