/// @file
/// Decides when the engine beside this process loads newer weights.

#include "core/loads/load_controller_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Engines that load at once without slowing each other; the sites' figure.
constexpr int64_t LoadsAtOnce = 2;
/// Time of one load; the sites' figure with some room.
constexpr Millis LoadTime{1'000};
/// Versions that an engine may be behind before it loads: steps may use the
/// version before the newest.
constexpr int64_t VersionsBehind = 2;
/// Halves that load at alternate versions.
constexpr int64_t Halves = 2;
/// Wait for the answer to an order before another is decided. An order whose
/// answer was lost may still be carried out, which the sequence shows.
constexpr Millis UnansweredWait{700};
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

void LoadController::placed(EnginePlace Place) { this->Place = Place; }

bool LoadController::isDue(const ModelNews &News, int64_t ModelIndex,
                           int64_t Current, Millis Now) const {
  if (Current >= News.Named)
    return false;
  const int64_t Half = (this->Place.Rank + ModelIndex) % Halves;
  const bool Behind = News.Named - Current >= VersionsBehind;
  const bool OwnTurn = News.Named % Halves == Half;
  if (!Behind && !OwnTurn && Current >= News.Demanded)
    return false;
  const int64_t Turn = this->Place.Rank / Halves / LoadsAtOnce;
  return Now >= News.NamedAt + LoadTime * Turn;
}

std::optional<LoadOrder> LoadController::decide(const EngineReport &Report,
                                                Millis Now) {
  if (Report.Busy || Now < this->NotBefore)
    return std::nullopt;
  std::optional<LoadOrder> Best;
  int64_t BestBehind = 0;
  int64_t Index = 0;
  for (const auto &[Model, News] : this->Models) {
    const int64_t ModelIndex = Index++;
    const auto Current = Report.Versions.find(Model);
    if (Current == Report.Versions.end())
      continue;
    const int64_t Behind = News.Named - Current->second;
    if (Behind <= BestBehind ||
        !this->isDue(News, ModelIndex, Current->second, Now))
      continue;
    Best = LoadOrder{Model, News.Named, Report.Sequence};
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
