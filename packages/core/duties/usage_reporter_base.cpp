/// @file
/// Adds up the gateways' counts and decides which window to settle or report.

#include "core/duties/usage_reporter_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Time after a window's end at which it is settled: answers of requests that
/// began in it have arrived by then, or the requests have ended otherwise.
constexpr Millis SettleDelay{3'000};
/// Time after a window's end at which it is settled without waiting for
/// gateways whose links are lost: its report is due 10 s after its end.
constexpr Millis SettleAnywayDelay{7'000};
/// Time after a window's end at which its report is late.
constexpr Millis ReportDue{10'000};
/// Age at which windows are given up.
constexpr Millis GiveUpAge{300'000};
/// Time for which a gateway whose link is lost counts as one that may have
/// unreported requests.
constexpr Millis GatewayMemory{60'000};
/// Pause after a failed report; it doubles with each further failure.
constexpr Millis RetryPause{200};
constexpr Millis MaxRetryPause{3'200};

} // namespace

void UsageReporter::countsReceived(const wire::UsageCountsPush &Push,
                                   Millis Now) {
  GatewayCounts &Counts =
      this->Gateways[std::pair(HostId{Push.Gateway}, Push.Boot)];
  Counts.ReceivedAt = Now;
  for (const wire::UsageWindow &Window : Push.Windows) {
    UsageCounts &Stored = Counts.Windows[Window.Window];
    Stored.clear();
    for (const wire::AccountCount &Each : Window.Counts)
      Stored[Each.Account] = Each.Count;
  }
}

void UsageReporter::becameHolder(Millis TrueNow) {
  this->FirstWindow = TrueNow.Count / this->WindowLength.Count;
  this->RetryAt = Millis{0};
  this->Failures = 0;
}

bool UsageReporter::isComplete(const std::set<HostId> &Linked,
                               Millis Now) const {
  std::set<HostId> Known;
  for (const auto &[Process, Counts] : this->Gateways)
    if (Now - Counts.ReceivedAt < GatewayMemory)
      Known.insert(Process.first);
  const auto LinkedCount = std::ranges::count_if(
      Known, [&Linked](const HostId &Each) { return Linked.contains(Each); });
  return !Linked.empty() &&
         static_cast<size_t>(LinkedCount) * 10 >= Known.size() * 9;
}

UsageCounts UsageReporter::sum(int64_t Window) const {
  UsageCounts Sum;
  for (const auto &[Process, Counts] : this->Gateways) {
    const auto Found = Counts.Windows.find(Window);
    if (Found == Counts.Windows.end())
      continue;
    for (const auto &[Account, Count] : Found->second)
      Sum[Account] += Count;
  }
  return Sum;
}

int64_t UsageReporter::nextWindow(const DutyFold &Fold, Millis TrueNow) const {
  const int64_t AfterSettled = Fold.newestSettled() + 1;
  const int64_t First = AfterSettled > 0 ? AfterSettled : this->FirstWindow;
  return std::max(First, this->firstKept(TrueNow));
}

UsageStep UsageReporter::next(const DutyFold &Fold,
                              const std::set<HostId> &Linked, Millis TrueNow,
                              Millis Now) {
  // The record of an acknowledged report may be late or lost.
  const int64_t Unreported = Fold.unreportedAfter(this->ReportedHere);
  if (Unreported >= 0 && Now >= this->RetryAt)
    return ReportWindow{Unreported, *Fold.settled(Unreported)};
  if (this->FirstWindow < 0)
    return std::monostate{};
  const int64_t Window = this->nextWindow(Fold, TrueNow);
  const Millis EndedAt{(Window + 1) * this->WindowLength.Count};
  const bool IsDue =
      TrueNow >= EndedAt + SettleAnywayDelay ||
      (TrueNow >= EndedAt + SettleDelay && this->isComplete(Linked, Now));
  if (!IsDue || Linked.empty())
    return std::monostate{};
  return SettleWindow{Window, this->sum(Window)};
}

void UsageReporter::reported(int64_t Window) {
  this->ReportedHere = std::max(this->ReportedHere, Window);
  this->RetryAt = Millis{0};
  this->Failures = 0;
}

void UsageReporter::reportFailed(Millis Now) {
  const auto Doublings = std::min<int64_t>(this->Failures, 8);
  const Millis Pause = std::min(RetryPause * (1LL << Doublings), MaxRetryPause);
  std::uniform_int_distribution<int64_t> Draw(Pause.Count / 2, Pause.Count);
  this->RetryAt = Now + Millis{Draw(this->Random)};
  ++this->Failures;
}

Millis UsageReporter::dueAt(int64_t Window) const {
  return Millis{(Window + 1) * this->WindowLength.Count} + ReportDue;
}

void UsageReporter::forgetOld(Millis TrueNow, Millis Now) {
  const int64_t First = this->firstKept(TrueNow);
  for (auto &[Process, Counts] : this->Gateways)
    Counts.Windows.erase(Counts.Windows.begin(),
                         Counts.Windows.lower_bound(First));
  std::erase_if(this->Gateways, [Now](const auto &Each) {
    return Each.second.Windows.empty() &&
           Now - Each.second.ReceivedAt >= GatewayMemory;
  });
}

int64_t UsageReporter::firstKept(Millis TrueNow) const {
  return std::max<int64_t>(0, (TrueNow - GiveUpAge).Count /
                                  this->WindowLength.Count);
}

} // namespace camphornotch
