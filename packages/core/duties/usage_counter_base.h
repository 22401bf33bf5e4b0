/// @file
/// Counts requests that began to run, by client account and window, at one
/// gateway.

#ifndef CAMPHORNOTCH_CORE_DUTIES_USAGE_COUNTER_BASE_H
#define CAMPHORNOTCH_CORE_DUTIES_USAGE_COUNTER_BASE_H

#include "core/duties/duty_fold_base.h"

#include <vector>

namespace camphornotch {

/// The counts of the recent windows.
class UsageCounter {
public:
  /// @param WindowLength length of a window; window k begins k times that after
  ///   the Unix epoch.
  explicit UsageCounter(Millis WindowLength) : WindowLength(WindowLength) {}

  /// Counts a request.
  /// @param BeganAt when it began, true time in Unix milliseconds.
  /// @return its window.
  int64_t add(const std::string &Account, Millis BeganAt);

  /// Takes back what add() counted.
  void remove(const std::string &Account, int64_t Window);

  /// Forgets windows that ended more than a minute ago.
  void forgetOld(Millis TrueNow);

  /// @return the windows after the given one that are kept.
  std::vector<wire::UsageWindow> windowsAfter(int64_t Window) const;

  /// @return whether the counts changed since markPushed().
  bool changed() const { return this->Changed; }

  /// Notes that the counts were sent to the holder of the duty.
  void markPushed() { this->Changed = false; }

private:
  Millis WindowLength;
  std::map<int64_t, UsageCounts> Windows;
  bool Changed = false;
};

/// Counts one request once, however many endpoints get it: in the window in
/// which its first attempt began that an endpoint did not refuse.
class RequestUsage {
public:
  /// @param Counter must outlive this object.
  RequestUsage(UsageCounter &Counter, std::string Account)
      : Counter(Counter), Account(std::move(Account)) {}

  /// Notes that an attempt was sent.
  /// @param Number of the attempt, from 1.
  /// @param BeganAt when it begins to run if the endpoint has a free slot.
  void attemptSent(uint64_t Number, Millis BeganAt);

  /// Notes that an attempt did not run.
  void attemptNotRun(uint64_t Number);

private:
  UsageCounter &Counter;
  std::string Account;
  /// When each attempt began that ran or may have run.
  std::map<uint64_t, Millis> Attempts;
  /// The attempt that is counted; 0: none.
  uint64_t Counted = 0;
  int64_t CountedWindow = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_DUTIES_USAGE_COUNTER_BASE_H
