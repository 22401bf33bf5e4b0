/// @file
/// Clients of the platform's log: a reader and a grouping appender.

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

/// Most bytes of the log's answer to a read: a snapshot of 16 MiB in base64,
/// and as much and more of other records.
inline constexpr size_t MostLogPageBytes = size_t{64} << 20;

/// What the reader tells its owner.
struct LogReaderEvents {
  /// One record, in offset order.
  std::function<void(LogOffset, const wire::LogRecord &)> Record;
  /// Records before this offset are gone and were not read.
  std::function<void(LogOffset Oldest)> Gap;
  /// A read answered: everything below this offset has been told.
  std::function<void(LogOffset Next)> CaughtUp;
  /// Reads fail (false) or work again (true).
  std::function<void(bool Reachable)> Reachable;
};

/// Reads the log from an offset on, by long polls, for ever.
class LogReader {
public:
  /// @param Events the loop to run on.
  /// @param Http sends the reads.
  /// @param Log where the log is.
  /// @param Tell what to tell.
  LogReader(Loop &Events, HttpClient &Http, HttpTarget Log,
            LogReaderEvents Tell);
  /// Stops reading.
  ~LogReader();
  LogReader(const LogReader &) = delete;
  LogReader &operator=(const LogReader &) = delete;

  /// @param From the first offset wanted.
  void start(LogOffset From);

  /// @return the next offset to be read.
  LogOffset next() const { return this->Next; }

  /// @return the oldest offset that the log kept at the last read.
  LogOffset oldest() const { return this->Oldest; }

  /// @return whether the last read answered.
  bool reachable() const { return this->LastReachable; }

private:
  /// Sends one read.
  void poll();
  /// @param Response an answer of the log.
  void onAnswer(const HttpResponse &Response);
  /// Reads again after a wait.
  void onFailure();
  /// @param Reachable whether the last read answered.
  void setReachable(bool Reachable);

  /// The loop.
  Loop &Events;
  /// Sends the reads.
  HttpClient &Http;
  /// Where the log is.
  HttpTarget Log;
  /// What to tell.
  LogReaderEvents Tell;
  /// The next offset to read.
  LogOffset Next{1};
  /// The oldest offset kept at the last read.
  LogOffset Oldest{1};
  /// The read under way.
  HttpCallId Call;
  /// The wait before the next read.
  TimerId Wait;
  /// Whether the last read answered.
  bool LastReachable = false;
  /// Whether any read was judged.
  bool Judged = false;
  /// Failures in a row.
  int Failures = 0;
};

/// Bounds of an appender.
struct LogAppenderSettings {
  /// How long a record waits for others.
  Millis FlushAfter{4};
  /// Bytes that are flushed at once.
  size_t FlushBytes = size_t{256} << 10;
  /// Time for one append.
  Millis Timeout{3000};
  /// First wait after a refused or unanswered append; doubles each time.
  Millis BackoffMin{50};
  /// Longest wait between appends.
  Millis BackoffMax{2000};
  /// Most bytes waiting; further records are refused.
  size_t MaxWaitingBytes = size_t{64} << 20;
};

/// What the appender tells its owner.
struct LogAppenderEvents {
  /// A record of this process was read back.
  std::function<void(int64_t Sequence, LogOffset Offset)> Committed;
  /// An append was sent once more.
  std::function<void(RetryReason)> Retried;
};

/// Appends records in groups, one append in flight. An append without answer
/// is repeated with the same (boot, sequence) pairs; only reading a record
/// back says that it is in the log.
class LogAppender {
public:
  /// @param Events the loop to run on.
  /// @param Http sends the appends.
  /// @param Log where the log is.
  /// @param Boot this process's boot.
  /// @param Settings bounds.
  /// @param Tell what to tell.
  LogAppender(Loop &Events, HttpClient &Http, HttpTarget Log, BootId Boot,
              const LogAppenderSettings &Settings, LogAppenderEvents Tell);
  /// Drops what was not appended.
  ~LogAppender();
  LogAppender(const LogAppender &) = delete;
  LogAppender &operator=(const LogAppender &) = delete;

  /// @param Record the record; its boot and sequence are filled in.
  /// @return its sequence, or an error if too much waits.
  Result<int64_t> append(wire::LogRecord Record);

  /// Appends a record that another process has numbered and encoded.
  /// @param Encoded the record.
  /// @return false if too much waits.
  bool appendEncoded(std::string Encoded);

  /// Takes note of a record that the reader read.
  /// @param Offset its offset.
  /// @param Record the record.
  void observe(LogOffset Offset, const wire::LogRecord &Record);

  /// @return records not read back yet.
  size_t unresolved() const { return this->Pending.size(); }

  /// @return appends sent.
  uint64_t appendsSent() const { return this->Sent; }

  /// @return records sent for the first time.
  uint64_t recordsSent() const { return this->RecordsSent; }

private:
  /// Plans a flush.
  void schedule();
  /// Sends the waiting records as one append, if none is in flight.
  void flush();
  /// Sends (again) the group in flight.
  void sendGroup();
  /// @param Response the log's answer.
  void onAnswer(const HttpResponse &Response);
  /// Sends the group again after a wait.
  /// @param Reason why.
  void retry(RetryReason Reason);

  /// The loop.
  Loop &Events;
  /// Sends the appends.
  HttpClient &Http;
  /// Where the log is.
  HttpTarget Log;
  /// This process's boot.
  BootId Boot;
  /// Bounds.
  LogAppenderSettings Settings;
  /// What to tell.
  LogAppenderEvents Tell;
  /// The last sequence given out.
  int64_t LastSequence = 0;
  /// Encoded records not sent yet.
  std::deque<std::string> Waiting;
  /// Their bytes.
  size_t WaitingBytes = 0;
  /// Encoded records of the append in flight.
  std::vector<std::string> Group;
  /// Sequences not read back.
  std::map<int64_t, bool> Pending;
  /// The append under way.
  HttpCallId Call;
  /// The planned flush or repeat.
  TimerId Timer;
  /// Failures in a row.
  int Failures = 0;
  /// Appends sent.
  uint64_t Sent = 0;
  /// Records sent for the first time.
  uint64_t RecordsSent = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_LOG_CLIENT_BASE_H
