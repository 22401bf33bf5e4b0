/// @file
/// Settings, calls and counts of the desk.

#ifndef CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H
#define CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H

#include "base/millis_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// The kinds of calls that a desk makes.
enum class DeskCallKind : uint8_t {
  Completion, ///< A whole short completion.
  Stream,     ///< A streamed short completion.
  Chat,       ///< A whole short chat.
  Booking,    ///< A service call that may run at most once.
  Status,     ///< A service call that may be repeated.
};

/// What a desk does.
struct DeskSettings {
  /// Its name.
  std::string Name;
  /// The model that it asks.
  std::string Model;
  /// The services that it calls; bookings go to the first one.
  std::vector<std::string> Services;
  /// Calls started a second.
  double Rate = 20;
  /// Calls in all; none are started beyond them.
  int64_t Calls = 200;
  /// In a hundred: calls that go to services.
  int64_t ServicePercent = 50;
  /// Tokens of a completion.
  int64_t Tokens = 16;
  /// Bytes of a prompt.
  int64_t PromptBytes = 120;
  /// In a hundred: refused bookings that are given up in place of a retry.
  int64_t GiveUpPercent = 20;
  /// Longest time that one call is tried again and again.
  Millis Patience{60000};
  /// The port for control.
  uint16_t Port = 0;
  /// Seeds the kinds of calls.
  uint64_t Seed = 1;
};

/// One call, over all its attempts.
struct DeskCall {
  /// Its number.
  int64_t Number = 0;
  /// Its kind.
  DeskCallKind Kind = DeskCallKind::Completion;
  /// The prompt, body or path that makes it unlike all others.
  std::string Content;
  /// The service; for service calls only.
  std::string Service;
  /// Attempts so far.
  int64_t Attempts = 0;
  /// When it was first sent.
  Millis StartedAt;
  /// When its present attempt was sent.
  Millis AttemptAt;
  /// Whether the desk has waited its full time for an attempt already: the call
  /// may hang at a service that went silent, and later attempts with it.
  bool WaitedInVain = false;
};

/// Counts and times of calls.
struct DeskCounts {
  /// Calls started.
  int64_t Sent = 0;
  /// Calls with a whole, right answer.
  int64_t Whole = 0;
  /// Answers that looked whole and were not, or belonged to another call.
  int64_t Wrong = 0;
  /// Bookings that ended with "unknown".
  int64_t Unknown = 0;
  /// Bookings given up after "not run".
  int64_t GivenUp = 0;
  /// Calls given up after the longest time.
  int64_t TimedOut = 0;
  /// Attempts that failed without a whole answer after they were sent.
  int64_t Broken = 0;
  /// Attempts after the first of a call.
  int64_t Retries = 0;
  /// Refusals by reason.
  std::map<std::string, int64_t> Refusals;
  /// Keys of bookings given up after "not run".
  std::set<std::string> NotRunKeys;
  /// Keys of bookings that ended with "unknown".
  std::set<std::string> UnknownKeys;
  /// Keys of bookings with a whole answer.
  std::set<std::string> WholeKeys;
  /// Milliseconds of whole calls, by kind.
  std::map<std::string, std::vector<int64_t>> Times;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_DESK_TYPE_H
