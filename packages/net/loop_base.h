/// @file
/// The event loop of a process: sockets, timers, posted messages, signals.

#ifndef CAMPHORNOTCH_NET_LOOP_BASE_H
#define CAMPHORNOTCH_NET_LOOP_BASE_H

#include "base/id_type.h"
#include "base/millis_type.h"

#include <cstdint>
#include <functional>
#include <memory>

struct st_h2o_evloop_t;
struct st_h2o_multithread_queue_t;

namespace camphornotch {

/// Identifies a timer of one loop; 0: no timer.
using TimerId = StrongId<struct TimerTag, uint64_t>;

/// An event loop. Only post() and stop() may be called from other threads.
class Loop {
public:
  /// Runs when a timer expires, or in a later turn of the loop.
  using Callback = std::function<void()>;
  /// Runs after a signal has arrived.
  using SignalHandler = std::function<void(int Signal)>;

  Loop();
  /// Drops all callbacks that have not run.
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// @return the steady clock at the start of this turn.
  Millis now() const;

  /// @param Deadline on the steady clock.
  /// @param Handler called once.
  TimerId callAt(Millis Deadline, Callback Handler);

  /// @param Handler called once.
  TimerId callAfter(Millis Delay, Callback Handler);

  /// @param Timer ignored if it has run or was cancelled.
  void cancel(TimerId Timer);

  /// Runs a callback on the loop's thread in a later turn; from any thread.
  void post(Callback Handler);

  /// Runs a callback in the next turn; from the loop's thread only.
  void defer(Callback Handler);

  /// Handles SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE, for the whole
  /// process.
  /// @param Stop called on the loop for each SIGTERM and SIGINT.
  /// @param Reload called on the loop for each SIGHUP; optional.
  /// @pre no other loop of the process handles signals.
  void handleSignals(SignalHandler Stop, SignalHandler Reload = {});

  /// Runs until stop().
  void run();

  /// Runs one turn.
  /// @param MaxWait limit on the wait for an event.
  void runOnce(Millis MaxWait);

  /// Makes run() return after the current turn; from any thread.
  void stop();

  /// @return h2o's loop, for this package only.
  st_h2o_evloop_t *h2oLoop() const;

  /// @return h2o's message queue, for this package only.
  st_h2o_multithread_queue_t *queue() const;

private:
  struct State;
  /// Keeps h2o's headers out of this one.
  std::unique_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LOOP_BASE_H
