/// @file
/// Virtual time: callbacks run in the order of their due times.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_EVENT_QUEUE_H
#define CAMPHORNOTCH_BENCH_POLICIES_EVENT_QUEUE_H

#include "base/millis_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace camphornotch::bench {

/// The virtual clock of one run, in microseconds, with what is due.
class EventQueue {
public:
  /// Microseconds in a millisecond.
  static constexpr int64_t MicrosPerMilli = 1000;

  /// @param DelayMicros from now; not negative.
  /// @param Callback what to run then.
  void after(int64_t DelayMicros, std::function<void()> Callback) {
    this->Due.emplace(std::pair(this->NowMicros + DelayMicros, ++this->Last),
                      std::move(Callback));
  }

  /// @param Delay from now.
  /// @param Callback what to run then.
  void after(Millis Delay, std::function<void()> Callback) {
    this->after(Delay.Count * MicrosPerMilli, std::move(Callback));
  }

  /// Runs everything due up to a time.
  /// @param End when to stop.
  void runUntil(Millis End) {
    const int64_t EndMicros = End.Count * MicrosPerMilli;
    while (!this->Due.empty() && this->Due.begin()->first.first <= EndMicros) {
      auto Node = this->Due.extract(this->Due.begin());
      this->NowMicros = Node.key().first;
      Node.mapped()();
    }
    this->NowMicros = EndMicros;
  }

  /// @return the time in milliseconds.
  Millis now() const { return Millis{this->NowMicros / MicrosPerMilli}; }

  /// @return the time in fractions of milliseconds, for latencies.
  double nowMs() const {
    return static_cast<double>(this->NowMicros) / MicrosPerMilli;
  }

private:
  /// What is due, by time and order of planning.
  std::map<std::pair<int64_t, int64_t>, std::function<void()>> Due;
  /// The time.
  int64_t NowMicros = 0;
  /// Breaks ties by order of planning.
  int64_t Last = 0;
};

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_EVENT_QUEUE_H
