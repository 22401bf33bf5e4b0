/// @file
/// The append-only log: records with offsets, a rate limit and retention.

#ifndef CAMPHORNOTCH_STANDINS_LOG_LOG_STATE_H
#define CAMPHORNOTCH_STANDINS_LOG_LOG_STATE_H

#include "base/millis_type.h"

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace camphornotch::standin {

/// Limits of the log.
struct LogSettings {
  /// Appends taken a second.
  int64_t AppendsPerSecond = 400;
  /// Appends taken at once after a rest.
  int64_t Burst = 100;
  /// How long a record is kept.
  Millis Retention = seconds(86400);
};

/// One record.
struct KeptRecord {
  /// When it was appended.
  Millis At;
  /// Its bytes.
  std::string Data;
};

/// What a reader gets.
struct LogPage {
  /// Offset of the oldest record that is kept.
  int64_t Oldest = 1;
  /// Offset of the first record of this page.
  int64_t First = 1;
  /// The records.
  std::vector<std::string> Records;
};

/// The records and the limits on them.
class LogState {
public:
  /// @param Limits the limits.
  explicit LogState(const LogSettings &Limits) : Settings(Limits) {}

  /// Takes one append out of the rate limit.
  /// @param Now the time.
  /// @return whether there was one left.
  bool takeToken(Millis Now);

  /// @param Records what to append, together.
  /// @param Now the time.
  /// @return the offset of the first one.
  int64_t append(std::span<const std::string> Records, Millis Now);

  /// @param From the first offset wanted.
  /// @param Limit the most records wanted.
  /// @return the records.
  [[nodiscard]] LogPage read(int64_t From, int64_t Limit) const;

  /// Forgets the records that are too old.
  /// @param Now the time.
  void expire(Millis Now);

  /// @return the offset that the next record will get.
  [[nodiscard]] int64_t next() const {
    return this->Oldest + static_cast<int64_t>(this->Kept.size());
  }

  /// @return the offset of the oldest kept record.
  [[nodiscard]] int64_t oldest() const { return this->Oldest; }

private:
  /// The limits.
  LogSettings Settings;
  /// The kept records, oldest first.
  std::deque<KeptRecord> Kept;
  /// Offset of the first kept record.
  int64_t Oldest = 1;
  /// Thousandths of appends left now.
  int64_t MilliTokens = 0;
  /// When MilliTokens was brought up to date.
  Millis RefilledAt{-seconds(3600).Count};
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_LOG_LOG_STATE_H
