/// @file
/// Texts of items that their submissions left behind, for when they come again.

#include "core/batch/leftover_table_base.h"

#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// @param One a text.
/// @param Other a text.
/// @return whether there is more of the second.
bool hasLess(const StoredText &One, const StoredText &Other) {
  return std::pair(One.Whole, One.Events.size()) <
         std::pair(Other.Whole, Other.Events.size());
}

} // namespace

int64_t oldestVersion(const std::vector<wire::TextEvent> &Text) {
  if (Text.empty())
    return -1;
  return std::ranges::min(Text, {}, &wire::TextEvent::Version).Version;
}

Result<void> LeftoverTable::apply(std::string_view Bytes, Millis Now) {
  Result<wire::LeftoverRecord> Decoded = decodeLeftovers(Bytes);
  if (!Decoded.has_value())
    return Decoded.error();
  for (wire::LeftoverText &Each : Decoded.value().Texts) {
    const int64_t Oldest = oldestVersion(Each.Events);
    StoredText Told{Each.Whole, std::move(Each.Events), Now};
    StoredText &Known = this->Texts[ItemId{Each.Item}][Oldest];
    Known.SeenAt = Now;
    // Never replaced by less.
    if (hasLess(Known, Told))
      Known = std::move(Told);
  }
  return boost::outcome_v2::success();
}

const StoredText *LeftoverTable::best(const ItemId &Item, int64_t MinVersion,
                                      bool SingleVersion) const {
  const auto Found = this->Texts.find(Item);
  if (Found == this->Texts.end())
    return nullptr;
  const StoredText *Best = nullptr;
  for (const auto &[Oldest, Text] : Found->second)
    if (fits(Text, MinVersion, SingleVersion) &&
        (Best == nullptr || hasLess(*Best, Text)))
      Best = &Text;
  return Best;
}

void LeftoverTable::forget(Millis SeenBefore) {
  const auto IsOld = [SeenBefore](const auto &Text) {
    return Text.second.SeenAt < SeenBefore;
  };
  for (auto &[Item, Known] : this->Texts)
    std::erase_if(Known, IsOld);
  std::erase_if(this->Texts,
                [](const auto &Each) { return Each.second.empty(); });
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
