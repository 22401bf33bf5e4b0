/// @file
/// Stores texts of items that ended submissions left unfinished, for when the
/// items are submitted again.

#ifndef CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H

#include "base/error_type.h"
#include "base/millis_type.h"
#include "core/batch/batch_type.h"

#include <map>
#include <string_view>
#include <vector>

namespace camphornotch {

/// The text of an item as far as it was made.
struct StoredText {
  bool Complete = false;
  std::vector<wire::TextEvent> Events;
  /// Version of software of the engines that made it.
  std::string Software;
  /// When this process received it.
  Millis SeenAt{0};
};

/// Texts by item, for groups that one step leaves incomplete and the next one
/// waits for: their long items need not start from nothing.
class LeftoverTable {
public:
  /// Applies a record of leftover texts.
  /// @return nothing, or what is wrong with the record.
  Result<void> apply(std::string_view Bytes, Millis Now);

  /// @return whether an earlier submission left the item unfinished.
  bool contains(const ItemId &Item) const { return this->Texts.contains(Item); }

  /// @return the longest text of the item that satisfies its requirements on
  ///         versions, or null; see satisfiesVersions().
  const StoredText *longestUsable(const ItemId &Item, int64_t MinVersion,
                                  bool SingleVersion) const;

  /// Removes the texts received before a time.
  void forget(Millis SeenBefore);

private:
  /// Per item one text for each oldest version in a text: a longer text with
  /// older versions may not be usable where a shorter one is.
  std::map<ItemId, std::map<int64_t, StoredText>> Texts;
};

/// @return the oldest version that made an event of the text; -1: no events.
int64_t oldestVersion(const std::vector<wire::TextEvent> &Text);

/// @param MinVersion the oldest version that may have made the text.
/// @param SingleVersion whether one version must make all of it.
/// @return whether an item with these requirements may continue from the text
///         or use it as its result.
bool satisfiesVersions(const StoredText &Text, int64_t MinVersion,
                       bool SingleVersion);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_LEFTOVER_TABLE_BASE_H
