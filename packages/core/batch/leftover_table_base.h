/// @file
/// Texts of items that their submissions left behind, for when they come again.

#ifndef CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H

#include "base/error_type.h"
#include "core/batch/batch_type.h"

#include <string_view>

namespace camphornotch {

/// What there is of an item's text.
struct StoredText {
  /// Whether it is complete.
  bool Whole = false;
  /// The events, in order.
  std::vector<wire::TextEvent> Events;
  /// When this process learnt of it.
  Millis SeenAt{0};
};

/// Texts by item. Answers the load of groups that a step left incomplete and
/// the next one waits for: their long items need not begin anew.
class LeftoverTable {
public:
  /// Takes in a record of leftovers.
  /// @param Bytes the record.
  /// @param Now the time.
  /// @return nothing, or what is wrong with it.
  Result<void> apply(std::string_view Bytes, Millis Now);

  /// @param Item an item.
  /// @return its text, or null.
  const StoredText *find(const ItemId &Item) const;

  /// Forgets texts of a certain age.
  /// @param SeenBefore those learnt before this time.
  void forget(Millis SeenBefore);

private:
  /// The texts.
  std::map<ItemId, StoredText> Texts;
};

/// @param Text a stored text.
/// @param MinVersion the oldest version that may have made it.
/// @param SingleVersion whether one version must make all of it.
/// @return whether the item may go on from it, or have it as its own.
bool fits(const StoredText &Text, int64_t MinVersion, bool SingleVersion);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
