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
/// is replaced only by one of a higher offset, so none ever goes back.
class PublishedValues {
public:
  /// @param Record a value.
  /// @return whether it is newer than what was known.
  bool take(const KeyedRecord &Record);

  /// @return the highest offset taken; -1: none.
  int64_t newestOffset() const { return this->Newest; }

  /// @param Offset an offset.
  /// @return all values above it.
  wire::PublishedPush above(int64_t Offset) const;

  /// @return the values by key.
  const std::map<std::string, KeyedRecord> &all() const { return this->Values; }

private:
  /// The values.
  std::map<std::string, KeyedRecord> Values;
  /// The highest offset.
  int64_t Newest = -1;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_PUBLISHED_VALUES_BASE_H
