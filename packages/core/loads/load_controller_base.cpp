/// @file
/// Decides when the engine beside this process loads newer weights.

#include "core/loads/load_controller_base.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Part of the engines that can load at once without slowing each other, as a
/// divisor; two of nine and nine of 43 by the sites.
constexpr int64_t LoadsAtOnceDivisor = 5;
/// Fewest engines that can load at once, by the sites.
constexpr int64_t LoadsAtOnceLeast = 2;
/// Time of one load; the sites' figure with some room.
constexpr Millis LoadTime{950};
/// Time after which a changed place counts.
constexpr Millis PlaceSettles{2'000};
/// Versions that an engine may be behind before it loads: steps may use the
/// version before the newest.
constexpr int64_t VersionsBehind = 2;
/// Halves that load at alternate versions.
constexpr int64_t Halves = 2;
/// Wait for the answer to an order before another is decided. An order whose
/// answer was lost may still be carried out, which the sequence shows.
constexpr Millis UnansweredWait{700};
/// Time that an engine must have answered again before it loads; engines that
/// crash in a burst come and go within it.
constexpr Millis ReturnWait{1'000};
/// Wait after an order that the engine refused.
constexpr Millis RefusedWait{200};

} // namespace

void LoadController::named(const std::string &Model, int64_t Version,
                           Millis Now) {
  ModelNews &News = this->Models[Model];
  if (Version <= News.Named)
    return;
  News.Named = Version;
  News.NamedAt = Now;
}

void LoadController::demanded(const std::string &Model, int64_t Version) {
  ModelNews &News = this->Models[Model];
  News.Demanded = std::max(News.Demanded, Version);
}

void LoadController::placed(EnginePlace Place, Millis Now) {
  if (!this->HasPlace || Place == this->Place) {
    this->HasPlace = true;
    this->Place = Place;
    this->NextPlace = Place;
    return;
  }
  if (Place == this->NextPlace)
    return;
  this->NextPlace = Place;
  this->NextSince = Now;
}

std::optional<int64_t> LoadController::halfOf(int64_t ModelIndex,
                                              int64_t ModelCount) const {
  const int64_t Rank = this->Place.Rank;
  if (ModelCount <= 1 || this->Place.Count < ModelCount)
    return (Rank + ModelIndex) % Halves;
  if (Rank % ModelCount == ModelIndex)
    return 0;
  if ((Rank + 1) % ModelCount == ModelIndex)
    return 1;
  return std::nullopt;
}

bool LoadController::isDue(const ModelNews &News, int64_t ModelIndex,
                           int64_t ModelCount, int64_t Current,
                           Millis Now) const {
  const std::optional<int64_t> Half = this->halfOf(ModelIndex, ModelCount);
  if (Current >= News.Named || !Half.has_value())
    return false;
  const bool Behind = News.Named - Current >= VersionsBehind;
  const bool OwnTurn = News.Named % Halves == *Half;
  if (!Behind && !OwnTurn && Current >= News.Demanded)
    return false;
  return Now >= News.NamedAt + this->turnDelay(ModelCount);
}

Millis LoadController::turnDelay(int64_t ModelCount) const {
  const int64_t AtOnce =
      std::max(this->Place.Count / LoadsAtOnceDivisor, LoadsAtOnceLeast);
  const int64_t Turn =
      this->Place.Rank / (ModelCount <= 1 ? Halves : ModelCount);
  return Millis{LoadTime.Count * Turn / AtOnce};
}

void LoadController::noteReturn(const EngineReport &Report, Millis Now) {
  const bool Restarted = Report.Sequence < this->LastSequence;
  this->LastSequence = Report.Sequence;
  if (!std::exchange(this->Lost, false) && !Restarted)
    return;
  const auto ModelCount = static_cast<int64_t>(Report.Versions.size());
  this->NotBefore =
      std::max(this->NotBefore, Now + ReturnWait + this->turnDelay(ModelCount));
}

std::optional<LoadOrder> LoadController::decide(const EngineReport &Report,
                                                Millis Now) {
  if (this->NextPlace != this->Place && Now >= this->NextSince + PlaceSettles)
    this->Place = this->NextPlace;
  this->noteReturn(Report, Now);
  if (Report.Busy || Now < this->NotBefore)
    return std::nullopt;
  std::optional<LoadOrder> Best;
  int64_t BestBehind = 0;
  int64_t Index = 0;
  const auto Count = static_cast<int64_t>(Report.Versions.size());
  for (const auto &[Model, Current] : Report.Versions) {
    const int64_t ModelIndex = Index++;
    const auto News = this->Models.find(Model);
    if (News == this->Models.end())
      continue;
    const int64_t Behind = News->second.Named - Current;
    if (Behind <= BestBehind ||
        !this->isDue(News->second, ModelIndex, Count, Current, Now))
      continue;
    Best = LoadOrder{Model, News->second.Named, Report.Sequence};
    BestBehind = Behind;
  }
  return Best;
}

void LoadController::sent(Millis Now) {
  this->NotBefore = Now + UnansweredWait;
}

void LoadController::answered(bool Accepted, Millis Now) {
  // The next report shows an accepted order by its sequence.
  this->NotBefore = Accepted ? Now : Now + RefusedWait;
}

} // namespace camphornotch
