/// @file
/// Texts of items that their submissions left behind, for when they come again.

#ifndef CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H

#include "base/error_type.h"
#include "base/millis_type.h"
#include "core/batch/batch_type.h"

#include <map>
#include <string_view>
#include <vector>

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
  /// @return whether a submission left it open.
  bool knows(const ItemId &Item) const { return this->Texts.contains(Item); }

  /// @param Item an item.
  /// @param MinVersion the oldest version that may have made its text.
  /// @param SingleVersion whether one version must make all of it.
  /// @return the longest of its texts that fits, or null.
  const StoredText *best(const ItemId &Item, int64_t MinVersion,
                         bool SingleVersion) const;

  /// Forgets texts of a certain age.
  /// @param SeenBefore those learnt before this time.
  void forget(Millis SeenBefore);

private:
  /// The texts: one for each version that is the oldest in one, as a longer
  /// text of older versions may not fit where a shorter one does.
  std::map<ItemId, std::map<int64_t, StoredText>> Texts;
};

/// @param Text the events of a text.
/// @return the oldest version that made one of them; -1: there are none.
int64_t oldestVersion(const std::vector<wire::TextEvent> &Text);

/// @param Text a stored text.
/// @param MinVersion the oldest version that may have made it.
/// @param SingleVersion whether one version must make all of it.
/// @return whether the item may go on from it, or have it as its own.
bool fits(const StoredText &Text, int64_t MinVersion, bool SingleVersion);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
