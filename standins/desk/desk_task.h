/// @file
/// A desk: short calls at a steady rate, each tried until it is answered.

#ifndef CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H
#define CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H

#include "standins/common/entry_caller.h"
#include "standins/common/standin_server.h"
#include "standins/desk/answer_func.h"

namespace camphornotch::standin {

/// The desk.
class DeskTask {
public:
  /// @param Events the loop to run on.
  /// @param Entries sends calls to the entries.
  /// @param Given the settings.
  DeskTask(Loop &Events, EntryCaller &Entries, DeskSettings Given);
  DeskTask(const DeskTask &) = delete;
  DeskTask &operator=(const DeskTask &) = delete;

private:
  /// Starts a call and plans the next one.
  void startNext();
  /// @return a new call of a random kind.
  DeskCall makeCall();
  /// Sends an attempt of a call.
  /// @param Call the call.
  void attempt(DeskCall Call);
  /// @param Call a call.
  /// @return its request.
  [[nodiscard]] HttpCall requestOf(const DeskCall &Call) const;
  /// @param Call the call.
  /// @param Result what came back.
  void onResult(const DeskCall &Call, const CallResult &Result);
  /// Takes note that an attempt has no answer. A further wait in vain for one
  /// call says nothing new: its first attempt still hangs.
  /// @param Call the call.
  /// @param NotSent whether the request was surely never sent.
  void onNoAnswer(DeskCall Call, bool NotSent);
  /// @param Call a call with an answer of status 200.
  /// @param Result the answer.
  void onAnswer(const DeskCall &Call, const CallResult &Result);
  /// @param Call a refused call.
  /// @param Refusal the refusal.
  void onRefused(const DeskCall &Call, const ParsedRefusal &Refusal);
  /// Tries a call again, unless that has gone on for too long.
  /// @param Call the call.
  /// @param Wait how long to wait first.
  void again(const DeskCall &Call, Millis Wait);
  /// @param Call a call.
  /// @return its Idempotency-Key.
  [[nodiscard]] std::string keyOf(const DeskCall &Call) const;
  /// @return the record.
  nlohmann::json record();

  /// The loop.
  Loop &Events;
  /// Sends calls to the entries.
  EntryCaller &Entries;
  /// The settings.
  DeskSettings Settings;
  /// Draws kinds of calls.
  std::mt19937_64 Random;
  /// Counts and times.
  DeskCounts Counts;
  /// Calls that have not ended.
  int64_t Open = 0;
  /// When the next call is due, in microseconds of the loop's clock.
  double NextAtMicros = 0;
  /// The HTTP side; last, since it calls the rest.
  StandinServer Server;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_DESK_TASK_H
