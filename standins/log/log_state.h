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
  /// Rate at which the token bucket refills.
  int64_t AppendsPerSecond = 400;
  /// Size of the token bucket: appends accepted at once after an idle time.
  int64_t Burst = 100;
  Millis Retention = seconds(86400);
};

/// A record in the log.
struct StoredRecord {
  Millis AppendedAt;
  std::string Data;
};

/// Result of a read.
struct LogPage {
  /// Offset of the oldest record in the log.
  int64_t OldestOffset = 1;
  /// Offset of the first record of this page.
  int64_t FirstOffset = 1;
  std::vector<std::string> Records;
};

/// The records, with the rate limit on appends and the retention.
class LogState {
public:
  explicit LogState(const LogSettings &Limits) : Settings(Limits) {}

  /// Takes the token for one append from the token bucket.
  /// @return whether there was a token.
  bool takeToken(Millis Now);

  /// Appends records at consecutive offsets.
  /// @return the offset of the first one.
  int64_t append(std::span<const std::string> Records, Millis Now);

  /// @param FirstOffset where to start; moved into the range of stored records.
  /// @return the page; a byte limit may end it before MaxRecords.
  [[nodiscard]] LogPage read(int64_t FirstOffset, int64_t MaxRecords) const;

  /// Removes the records that are older than the retention.
  void expire(Millis Now);

  /// @return the offset that the next record will get.
  [[nodiscard]] int64_t nextOffset() const {
    return this->OldestOffset + static_cast<int64_t>(this->Stored.size());
  }

  [[nodiscard]] int64_t oldestOffset() const { return this->OldestOffset; }

private:
  LogSettings Settings;
  /// Oldest first.
  std::deque<StoredRecord> Stored;
  /// Offset of the first of Stored.
  int64_t OldestOffset = 1;
  /// Fill of the token bucket, in thousandths of a token.
  int64_t MilliTokens = 0;
  /// When MilliTokens was last refilled; starts in the past, for a full bucket.
  Millis RefilledAt{-seconds(3600).Count};
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_LOG_LOG_STATE_H
