/// @file
/// A desk: short calls at a steady rate, each retried until it is answered.

#ifndef CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H
#define CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H

#include "standins/common/entry_caller.h"
#include "standins/common/standin_server.h"
#include "standins/desk/answer_func.h"

namespace camphornotch::standin {

/// Runs one desk; starts in the constructor.
class DeskTask {
public:
  DeskTask(Loop &Events, EntryCaller &Entries, DeskSettings InitialSettings);
  DeskTask(const DeskTask &) = delete;
  DeskTask &operator=(const DeskTask &) = delete;

private:
  /// Starts the calls that are due and schedules the next one.
  void startNext();
  /// @return a new call of a random kind.
  DeskCall makeCall();
  /// Sends the next attempt of a call.
  void attempt(DeskCall Call);
  [[nodiscard]] HttpCall requestOf(const DeskCall &Call) const;
  void onResult(const DeskCall &Call, const CallResult &Result);
  /// Handles an attempt without an answer. A repeated timeout of a call is not
  /// counted as broken, because its first attempt may still hang.
  /// @param NotSent whether the request was certainly not sent.
  void onNoAnswer(DeskCall Call, bool NotSent);
  /// Handles an answer with status 200.
  void onAnswer(const DeskCall &Call, const CallResult &Result);
  /// Handles a refusal. A booking is only retried if it has not run.
  void onRefused(const DeskCall &Call, const ParsedRefusal &Refusal);
  /// Retries a call after a delay, or gives it up after MaxRetryTime.
  void retryAfter(const DeskCall &Call, Millis Wait);
  /// @return the Idempotency-Key of a call.
  [[nodiscard]] std::string keyOf(const DeskCall &Call) const;
  /// @return the answer to GET /control/record.
  nlohmann::json record();

  Loop &Events;
  EntryCaller &Entries;
  DeskSettings Settings;
  /// Chooses the kinds of calls.
  std::mt19937_64 Random;
  DeskCounts Counts;
  /// Calls that have not ended.
  int64_t OpenCalls = 0;
  /// When the next call is due, in microseconds of the loop's clock.
  double NextAtMicros = 0;
  /// The HTTP server; the last member, because its handlers use the others.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H
