/// @file
/// Adds up the gateways' counts and decides which window to settle or report.

#ifndef CAMPHORNOTCH_CORE_DUTIES_USAGE_REPORTER_BASE_H
#define CAMPHORNOTCH_CORE_DUTIES_USAGE_REPORTER_BASE_H

#include "base/id_type.h"
#include "core/duties/duty_fold_base.h"

#include <random>
#include <variant>

namespace camphornotch {

/// Append the counts of a window, so that every later holder reports the same.
struct SettleWindow {
  int64_t Window = 0;
  UsageCounts Counts;
};

/// Report a settled window.
struct ReportWindow {
  int64_t Window = 0;
  UsageCounts Counts;
};

using UsageStep = std::variant<std::monostate, SettleWindow, ReportWindow>;

/// The holder's part of the usage duty; deterministic, without I/O.
class UsageReporter {
public:
  /// @param WindowLength as for UsageCounter.
  /// @param Seed spreads the retries.
  UsageReporter(Millis WindowLength, uint32_t Seed)
      : WindowLength(WindowLength), Random(Seed) {}

  /// Stores a gateway's counts, in place of earlier ones of the same process.
  /// @param Now by bootNow().
  void countsReceived(const wire::UsageCountsPush &Push, Millis Now);

  /// Notes when this process became the holder, true time. The first window of
  /// a system is that in which its duty was first claimed.
  void becameHolder(Millis TrueNow);

  /// @param Linked the gateways with a link to this process.
  /// @param TrueNow true time in Unix milliseconds.
  /// @param Now by bootNow().
  /// @return what to do now, if this process may act.
  UsageStep next(const DutyFold &Fold, const std::set<HostId> &Linked,
                 Millis TrueNow, Millis Now);

  /// Notes that a report was acknowledged, before its record is read.
  void reported(int64_t Window);

  /// Notes that a report failed; it is sent again after a pause.
  /// @param Now by bootNow().
  void reportFailed(Millis Now);

  /// @return when a window's report is late, true time.
  Millis dueAt(int64_t Window) const;

  /// @return the oldest window that is not given up.
  int64_t firstKept(Millis TrueNow) const;

  /// Forgets counts of windows that are given up.
  /// @param Now by bootNow().
  void forgetOld(Millis TrueNow, Millis Now);

private:
  /// Counts of one process of a gateway.
  struct GatewayCounts {
    std::map<int64_t, UsageCounts> Windows;
    /// When the last push arrived.
    Millis ReceivedAt{0};
  };

  /// @return whether enough gateways are linked for the counts to be complete.
  bool isComplete(const std::set<HostId> &Linked, Millis Now) const;
  UsageCounts sum(int64_t Window) const;
  /// @return the window to settle next.
  int64_t nextWindow(const DutyFold &Fold, Millis TrueNow) const;

  Millis WindowLength;
  std::minstd_rand Random;
  /// By gateway and boot of its process.
  std::map<std::pair<HostId, int64_t>, GatewayCounts> Gateways;
  /// The window in which this process became the holder; -1: it never did.
  int64_t FirstWindow = -1;
  /// The newest window whose report was acknowledged to this process.
  int64_t ReportedHere = -1;
  /// No report before this time, after one failed.
  Millis RetryAt{0};
  /// Consecutive failed reports.
  int64_t Failures = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_USAGE_REPORTER_BASE_H
