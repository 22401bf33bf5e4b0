/// @file
/// Texts of items that their submissions left behind, for when they come again.

#include "core/batch/leftover_table_base.h"

#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

Result<void> LeftoverTable::apply(std::string_view Bytes, Millis Now) {
  Result<wire::LeftoverRecord> Decoded = decodeLeftovers(Bytes);
  if (!Decoded.has_value())
    return Decoded.error();
  for (wire::LeftoverText &Each : Decoded.value().Texts) {
    StoredText &Known = this->Texts[ItemId{Each.Item}];
    // Never replaced by less.
    if (Known.Whole ||
        (!Each.Whole && Known.Events.size() > Each.Events.size()))
      continue;
    Known = StoredText{Each.Whole, std::move(Each.Events), Now};
  }
  return boost::outcome_v2::success();
}

const StoredText *LeftoverTable::find(const ItemId &Item) const {
  const auto Found = this->Texts.find(Item);
  return Found == this->Texts.end() ? nullptr : &Found->second;
}

void LeftoverTable::forget(Millis SeenBefore) {
  std::erase_if(this->Texts, [SeenBefore](const auto &Each) {
    return Each.second.SeenAt < SeenBefore;
  });
}

bool fits(const StoredText &Text, int64_t MinVersion, bool SingleVersion) {
  if (Text.Events.empty())
    return false;
  const bool Young = std::ranges::all_of(
      Text.Events, [MinVersion](const wire::TextEvent &Each) {
        return Each.Version >= MinVersion;
      });
  if (!SingleVersion || !Young)
    return Young;
  const int64_t First = Text.Events.front().Version;
  return Text.Whole &&
         std::ranges::all_of(Text.Events, [First](const wire::TextEvent &Each) {
           return Each.Version == First;
         });
}

} // namespace camphornotch
