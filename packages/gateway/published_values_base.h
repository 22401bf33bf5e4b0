/// @file
/// The newest value that operators and trainers published under each key.

#ifndef CAMPHORNOTCH_GATEWAY_PUBLISHED_VALUES_BASE_H
#define CAMPHORNOTCH_GATEWAY_PUBLISHED_VALUES_BASE_H

#include "camphornotch_types.h"
#include "core/store/store_type.h"

#include <map>
#include <string>

namespace camphornotch {

/// Keeps the newest value of each key, from the store or from a peer. A value
/// is only replaced by one of a higher offset, so none returns to an older
/// state.
class PublishedValues {
public:
  /// @return whether it is newer than the known value of its key.
  bool isNewer(const KeyedRecord &Record) const;

  /// Stores a value if it is newer than the known one.
  /// @return whether it was stored.
  bool update(const KeyedRecord &Record);

  /// @return the highest offset of a stored value; -1: none.
  int64_t newestOffset() const { return this->HighestOffset; }

  /// @return all values with a higher offset.
  wire::PublishedPush newerThan(int64_t Offset) const;

  const std::map<std::string, KeyedRecord> &all() const { return this->Values; }

private:
  std::map<std::string, KeyedRecord> Values;
  int64_t HighestOffset = -1;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PUBLISHED_VALUES_BASE_H
