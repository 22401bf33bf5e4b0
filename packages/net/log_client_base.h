/// @file
/// Clients of the platform's log: a reader and a batching appender.

#ifndef CAMPHORNOTCH_NET_LOG_CLIENT_BASE_H
#define CAMPHORNOTCH_NET_LOG_CLIENT_BASE_H

#include "base/id_type.h"
#include "base/retry_type.h"
#include "camphornotch_types.h"
#include "net/http_client_base.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphornotch {

/// Size limit of a response to a read: a snapshot of 16 MiB in base64, and at
/// least as much of other records.
inline constexpr size_t MaxLogPageBytes = size_t{64} << 20;

/// Callbacks of a reader; all but Record are optional.
struct LogReaderCallbacks {
  /// A record was read; called in the order of offsets.
  std::function<void(LogOffset, const wire::LogRecord &)> Record;
  /// The log has deleted records before this offset that were not read.
  std::function<void(LogOffset Oldest)> Gap;
  /// A read succeeded: all records below this offset have been reported.
  std::function<void(LogOffset Next)> CaughtUp;
  /// Called when reads start to fail (false) or to succeed (true).
  std::function<void(bool Reachable)> Reachable;
};

/// Reads the log from an offset onwards by long polling.
class LogReader {
public:
  LogReader(Loop &Events, HttpClient &Http, HttpTarget Log,
            LogReaderCallbacks Callbacks);
  ~LogReader();
  LogReader(const LogReader &) = delete;
  LogReader &operator=(const LogReader &) = delete;

  /// @param FirstOffset the first offset to read.
  void start(LogOffset FirstOffset);

  LogOffset next() const { return this->Next; }

  /// @return the oldest offset in the log at the last read.
  LogOffset oldest() const { return this->Oldest; }

  /// @return whether the last read succeeded.
  bool reachable() const { return this->LastReachable; }

private:
  /// Sends one read.
  void poll();
  /// Reports the records of a response and reads on.
  void onAnswer(const HttpResponse &Response);
  /// Schedules the next read, with exponential backoff.
  void onFailure();
  /// Reports a change of reachability.
  void setReachable(bool Reachable);

  Loop &Events;
  HttpClient &Http;
  HttpTarget Log;
  LogReaderCallbacks Callbacks;
  /// The next offset to read.
  LogOffset Next{1};
  /// The oldest offset in the log at the last read.
  LogOffset Oldest{1};
  /// The read in progress.
  HttpCallId Call;
  /// Starts the next read after a failure.
  TimerId RetryTimer;
  /// Whether the last read succeeded.
  bool LastReachable = false;
  /// Whether any read has succeeded or failed yet.
  bool ReachableKnown = false;
  /// Consecutive failures.
  int Failures = 0;
};

/// Limits and delays of an appender.
struct LogAppenderSettings {
  /// How long a record waits for further ones to send with it.
  Millis FlushAfter{4};
  /// Waiting bytes at which they are sent without delay.
  size_t FlushBytes = size_t{256} << 10;
  /// For one append.
  Millis Timeout{3000};
  /// Delay after the first failed append; doubles with each further one.
  Millis BackoffMin{50};
  /// Limit on the delay after a failed append.
  Millis BackoffMax{2000};
  /// Limit on the bytes waiting to be sent; further records are refused.
  size_t MaxWaitingBytes = size_t{64} << 20;
};

/// Callbacks of an appender; all are optional.
struct LogAppenderCallbacks {
  /// A record of this process was read back from the log.
  std::function<void(int64_t Sequence, LogOffset Offset)> Committed;
  /// An append failed and will be repeated.
  std::function<void(RetryReason)> Retried;
};

/// Appends records in batches, with one append in flight. An append that fails
/// or gets no response is repeated with the same (boot, sequence) pairs; a
/// record counts as committed only once it was read back.
class LogAppender {
public:
  /// @param Boot this process's boot, written into its records.
  LogAppender(Loop &Events, HttpClient &Http, HttpTarget Log, BootId Boot,
              const LogAppenderSettings &Settings,
              LogAppenderCallbacks Callbacks);
  /// Drops the records not yet appended.
  ~LogAppender();
  LogAppender(const LogAppender &) = delete;
  LogAppender &operator=(const LogAppender &) = delete;

  /// @param Record its boot and sequence are filled in.
  /// @return its sequence, or an error if MaxWaitingBytes are waiting.
  Result<int64_t> append(wire::LogRecord Record);

  /// Appends a record that another process has numbered and encoded.
  /// @return false if MaxWaitingBytes are waiting.
  bool appendEncoded(std::string Encoded);

  /// Must be called for each record read from the log; reports those of this
  /// process as committed.
  void observe(LogOffset Offset, const wire::LogRecord &Record);

  /// @return the number of records not read back yet.
  size_t unresolved() const { return this->Pending.size(); }

  /// @return the number of appends sent, with repeated ones.
  uint64_t appendsSent() const { return this->AppendsSent; }

  /// @return the number of records sent, without repeated ones.
  uint64_t recordsSent() const { return this->RecordsSent; }

private:
  /// Schedules a flush unless an append is in flight.
  void schedule();
  /// Sends the waiting records, up to FlushBytes, as one append.
  void flush();
  /// Sends or repeats the append in flight.
  void sendBatch();
  void onAnswer(const HttpResponse &Response);
  /// Schedules a repetition of the append, with exponential backoff.
  void retry(RetryReason Reason);

  Loop &Events;
  HttpClient &Http;
  HttpTarget Log;
  BootId Boot;
  LogAppenderSettings Settings;
  LogAppenderCallbacks Callbacks;
  /// The last sequence assigned.
  int64_t LastSequence = 0;
  /// Encoded records not yet sent.
  std::deque<std::string> Waiting;
  /// Size of the records in Waiting.
  size_t WaitingBytes = 0;
  /// Encoded records of the append in flight.
  std::vector<std::string> Batch;
  /// Sequences not yet read back.
  std::map<int64_t, bool> Pending;
  /// The append in progress.
  HttpCallId Call;
  /// Starts the next flush or repetition.
  TimerId Timer;
  /// Consecutive failures.
  int Failures = 0;
  /// Appends sent, with repeated ones.
  uint64_t AppendsSent = 0;
  /// Records sent, without repeated ones.
  uint64_t RecordsSent = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LOG_CLIENT_BASE_H
