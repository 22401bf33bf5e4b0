/// @file
/// HTTP server of the append-only log.

#ifndef CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H
#define CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H

#include "standins/common/standin_server.h"
#include "standins/log/log_state.h"

#include <list>

namespace camphornotch::standin {

/// Serves the log on one port.
class LogServer {
public:
  LogServer(Loop &Events, uint16_t Port, const LogSettings &Settings);
  LogServer(const LogServer &) = delete;
  LogServer &operator=(const LogServer &) = delete;

private:
  /// A long poll without records so far.
  struct WaitingRead {
    Exchange Waiting;
    int64_t FirstOffset = 0;
    /// Most records in the answer.
    int64_t Limit = 0;
    /// When it is answered even without records.
    Millis Deadline;
  };

  /// Counters of the requests.
  struct Counters {
    /// Accepted appends.
    int64_t Appends = 0;
    /// Records of the accepted appends.
    int64_t Records = 0;
    /// Decoded bytes of received records, also of refused appends.
    int64_t Bytes = 0;
    /// Answered reads.
    int64_t Reads = 0;
    /// Appends refused by the rate limit.
    int64_t Limited = 0;
  };

  void handle(const Exchange &Waiting);
  void append(const Exchange &Waiting);
  void read(const Exchange &Waiting);
  /// Answers a read with the records from its first offset, possibly none.
  void answerRead(const WaitingRead &Read);
  /// Answers the reads that have records or reached their deadline, and removes
  /// those whose client disconnected.
  void answerReadyReads();
  /// Expires records and answers ready reads; runs every TickInterval.
  void tick();

  Loop &Events;
  LogState State;
  std::list<WaitingRead> Reads;
  Counters Counts;
  /// The HTTP server; the last member, because its handlers use the others.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_LOG_LOG_SERVER_H
