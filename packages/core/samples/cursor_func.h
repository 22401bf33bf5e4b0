/// @file
/// The opaque, checksummed cursor that a trainer carries between pulls.

#ifndef CAMPHORNOTCH_CORE_SAMPLES_CURSOR_FUNC_H
#define CAMPHORNOTCH_CORE_SAMPLES_CURSOR_FUNC_H

#include "base/error_type.h"
#include "core/samples/sample_type.h"

#include <set>
#include <string_view>

namespace camphornotch {

/// What a trainer holds, as it tells any owner of its shard.
struct Cursor {
  /// Whose it is.
  TrainerId Trainer;
  /// The epoch of the owner that made it.
  Epoch Made{-1};
  /// The batch that this cursor acknowledges; 0: none.
  int64_t Batch = 0;
  /// What was delivered since the last durable checkpoint, this batch
  /// included.
  std::set<SlotKey> Delivered;
};

/// @param Value a cursor.
/// @return its text, of URL-safe characters.
std::string encodeCursor(const Cursor &Value);

/// @param Text what a trainer sent.
/// @param Trainer whose pull it is.
/// @return the cursor; an error if it was altered or is somebody else's.
Result<Cursor> parseCursor(std::string_view Text, const TrainerId &Trainer);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_SAMPLES_CURSOR_FUNC_H
