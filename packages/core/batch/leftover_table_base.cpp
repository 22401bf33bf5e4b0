/// @file
/// Stores texts of items that ended submissions left unfinished, for when the
/// items are submitted again.

#include "core/batch/leftover_table_base.h"

#include "wire/codec_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// @return whether One is shorter than Other; a complete text counts as longer
///         than any incomplete one.
bool isShorter(const StoredText &One, const StoredText &Other) {
  return std::pair(One.Complete, One.Events.size()) <
         std::pair(Other.Complete, Other.Events.size());
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
    StoredText Received{Each.Whole, std::move(Each.Events),
                        std::move(Each.Software), Now};
    StoredText &Stored = this->Texts[ItemId{Each.Item}][Oldest];
    Stored.SeenAt = Now;
    // A shorter text never replaces a longer one.
    if (isShorter(Stored, Received))
      Stored = std::move(Received);
  }
  return boost::outcome_v2::success();
}

const StoredText *LeftoverTable::longestUsable(const ItemId &Item,
                                               int64_t MinVersion,
                                               bool SingleVersion) const {
  const auto Found = this->Texts.find(Item);
  if (Found == this->Texts.end())
    return nullptr;
  const StoredText *Best = nullptr;
  for (const auto &[Oldest, Text] : Found->second)
    if (satisfiesVersions(Text, MinVersion, SingleVersion) &&
        (Best == nullptr || isShorter(*Best, Text)))
      Best = &Text;
  return Best;
}

void LeftoverTable::forget(Millis SeenBefore) {
  const auto IsOld = [SeenBefore](const auto &Text) {
    return Text.second.SeenAt < SeenBefore;
  };
  for (auto &[Item, Stored] : this->Texts)
    std::erase_if(Stored, IsOld);
  std::erase_if(this->Texts,
                [](const auto &Each) { return Each.second.empty(); });
}

bool satisfiesVersions(const StoredText &Text, int64_t MinVersion,
                       bool SingleVersion) {
  if (Text.Events.empty())
    return false;
  const bool NewEnough = std::ranges::all_of(
      Text.Events, [MinVersion](const wire::TextEvent &Each) {
        return Each.Version >= MinVersion;
      });
  if (!SingleVersion || !NewEnough)
    return NewEnough;
  const int64_t First = Text.Events.front().Version;
  return Text.Complete &&
         std::ranges::all_of(Text.Events, [First](const wire::TextEvent &Each) {
           return Each.Version == First;
         });
}

} // namespace camphornotch
