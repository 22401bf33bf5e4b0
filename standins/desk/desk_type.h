/// @file
/// Settings, calls and counters of the desk.

#ifndef CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H
#define CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H

#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// Kinds of calls.
enum class DeskCallKind : uint8_t {
  Completion, ///< A short completion that is not streamed.
  Stream,     ///< A short streamed completion.
  Chat,       ///< A short chat that is not streamed.
  Booking,    ///< A service call that may run at most once.
  Status,     ///< A service call that may be repeated.
};

/// Settings of a desk, from its flags.
struct DeskSettings {
  std::string Name;
  /// Model of the completions and chats.
  std::string Model;
  /// Services to call; bookings go to the first one.
  std::vector<std::string> Services;
  /// Calls started per second.
  double Rate = 20;
  /// Calls to start in all.
  int64_t Calls = 200;
  /// Percentage of the calls that go to services.
  int64_t ServicePercent = 50;
  /// Tokens of a completion.
  int64_t Tokens = 16;
  /// Least size of a prompt; shorter ones are padded.
  int64_t PromptBytes = 120;
  /// Percentage of refused bookings that are given up instead of retried.
  int64_t GiveUpPercent = 20;
  /// How long after its start a call is retried.
  Millis MaxRetryTime{60000};
  /// Port of the control paths.
  uint16_t Port = 0;
  /// Seed of the random kinds of calls.
  uint64_t Seed = 1;
};

/// A call with all its attempts.
struct DeskCall {
  int64_t Number = 0;
  DeskCallKind Kind = DeskCallKind::Completion;
  /// Prompt, body or query; unique among all calls.
  std::string Content;
  /// Empty if the call does not go to a service.
  std::string Service;
  int64_t Attempts = 0;
  /// When the first attempt was sent.
  Millis StartedAt;
  /// When the current attempt was sent.
  Millis AttemptStartedAt;
  /// Whether an earlier attempt timed out. It may still hang at a service that
  /// does not answer, and later attempts with it.
  bool EarlierTimeout = false;
};

/// Counters and durations of calls.
struct DeskCounts {
  /// Started calls.
  int64_t Sent = 0;
  /// Calls with a complete and correct answer.
  int64_t Complete = 0;
  /// Answers that looked complete but were not, or belonged to another call.
  int64_t Wrong = 0;
  /// Bookings that ended with "unknown".
  int64_t Unknown = 0;
  /// Bookings given up after "not run".
  int64_t GivenUp = 0;
  /// Calls given up after MaxRetryTime.
  int64_t TimedOut = 0;
  /// Sent attempts that failed without a complete answer, except for repeated
  /// timeouts of one call.
  int64_t BrokenAttempts = 0;
  /// Attempts after the first of a call.
  int64_t Retries = 0;
  /// Refusals by reason.
  std::map<std::string, int64_t> Refusals;
  /// Keys of bookings given up after "not run".
  std::set<std::string> NotRunKeys;
  /// Keys of bookings that ended with "unknown".
  std::set<std::string> UnknownKeys;
  /// Keys of bookings with a complete and correct answer.
  std::set<std::string> CompleteKeys;
  /// Durations of complete calls in milliseconds, by kind.
  std::map<std::string, std::vector<int64_t>> Times;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H
