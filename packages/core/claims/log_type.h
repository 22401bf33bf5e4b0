/// @file
/// What every controller exchanges with the log: appends, records read back
/// and whether the log answers.

#ifndef CAMPHORNOTCH_CORE_CLAIMS_LOG_TYPE_H
#define CAMPHORNOTCH_CORE_CLAIMS_LOG_TYPE_H

#include "base/id_type.h"
#include "camphornotch_types.h"

namespace camphornotch {

/// Action: append this record. The appender fills WriterBoot and Sequence,
/// groups it with others and repeats it until it is read back.
struct AppendRecord {
  /// The record.
  wire::LogRecord Record;
};

/// Event: a record was read back. Every record that the fold takes (duplicates
/// are dropped) is passed on once, in the order of offsets.
struct RecordCommitted {
  /// Its offset.
  LogOffset Offset = NoOffset;
  /// The record.
  wire::LogRecord Record;
};

/// Event: the log began or stopped to answer.
struct LogStatus {
  /// Whether appends and reads are answered.
  bool Up = true;
};

/// Event: time has passed; due at the controller's nextDeadline().
struct Tick {};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CLAIMS_LOG_TYPE_H
