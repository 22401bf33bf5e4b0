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

/// Names one timer of a loop; 0 names none.
using TimerId = StrongId<struct TimerTag, uint64_t>;

/// One event loop; everything but post() and stop() is for its own thread.
class Loop {
public:
  /// What runs when a timer is due or a message is taken out.
  using Call = std::function<void()>;
  /// What runs when a signal arrived.
  using SignalCall = std::function<void(int Signal)>;

  /// Opens the loop.
  Loop();
  /// Drops timers and messages that have not run.
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// @return the steady clock as read at the start of this turn.
  Millis now() const;

  /// @param Deadline when to run.
  /// @param Run what to run, once.
  /// @return the timer's name.
  TimerId callAt(Millis Deadline, Call Run);

  /// @param Delay how long from now.
  /// @param Run what to run, once.
  /// @return the timer's name.
  TimerId callAfter(Millis Delay, Call Run);

  /// @param Timer a timer; one that ran or was cancelled is ignored.
  void cancel(TimerId Timer);

  /// Runs a message on the loop's thread in a later turn; any thread.
  /// @param Run the message.
  void post(Call Run);

  /// Runs a message in the next turn; the loop's own thread only.
  /// @param Run the message.
  void defer(Call Run);

  /// Takes SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE for the whole
  /// process.
  /// @param Stop called on the loop for each SIGTERM and SIGINT.
  /// @param Reload called on the loop for each SIGHUP; may be left empty.
  /// @pre no other loop of the process takes signals.
  void takeSignals(SignalCall Stop, SignalCall Reload = {});

  /// Runs until stop().
  void run();

  /// Runs one turn.
  /// @param MaxWait the longest wait for an event.
  void runOnce(Millis MaxWait);

  /// Makes run() return after the present turn; any thread.
  void stop();

  /// @return h2o's loop, for the tasks of this package.
  st_h2o_evloop_t *raw() const;

  /// @return h2o's queue, for the tasks of this package.
  st_h2o_multithread_queue_t *queue() const;

private:
  struct State;
  /// Everything that needs h2o's headers.
  std::unique_ptr<State> Inner;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LOOP_BASE_H
