/// @file
/// HTTP side of the append-only log.

#ifndef CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H
#define CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H

#include "standins/common/standin_server.h"
#include "standins/log/log_state.h"

#include <list>

namespace camphornotch::standin {

/// The log behind one port.
class LogServer {
public:
  /// @param Events the loop to run on.
  /// @param Port the port.
  /// @param Settings the limits.
  LogServer(Loop &Events, uint16_t Port, const LogSettings &Settings);
  LogServer(const LogServer &) = delete;
  LogServer &operator=(const LogServer &) = delete;

private:
  /// A read that waits for its first record.
  struct WaitingRead {
    /// The request.
    Exchange Waiting;
    /// The first offset wanted.
    int64_t From = 0;
    /// The most records wanted.
    int64_t Limit = 0;
    /// When it is answered without records.
    Millis Deadline;
  };

  /// What was asked of the log.
  struct Counters {
    /// Appends taken.
    int64_t Appends = 0;
    /// Records taken.
    int64_t Records = 0;
    /// Bytes of the records taken.
    int64_t Bytes = 0;
    /// Reads answered.
    int64_t Reads = 0;
    /// Appends refused over the rate.
    int64_t Limited = 0;
  };

  /// @param Waiting a request.
  void handle(const Exchange &Waiting);
  /// @param Waiting an append.
  void append(const Exchange &Waiting);
  /// @param Waiting a read.
  void read(const Exchange &Waiting);
  /// @param Read a read with records, or at its deadline.
  void answerRead(const WaitingRead &Read);
  /// Answers the reads that have records or are due.
  void wakeReads();
  /// Expires records and wakes reads, then plans the next time.
  void tick();

  /// The loop.
  Loop &Events;
  /// The records.
  LogState State;
  /// Reads without records so far.
  std::list<WaitingRead> Reads;
  /// What was asked.
  Counters Counts;
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H
