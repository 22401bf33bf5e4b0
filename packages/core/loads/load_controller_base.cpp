/// @file
/// Decides when the engine beside this process loads newer weights.

#include "core/loads/load_controller_base.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// One engine in this many can load at once without slowing the others; at the
/// sites, two of nine and nine of 43.
constexpr int64_t ConcurrentLoadsDivisor = 5;
/// Engines that can always load at once, whatever their number, at the sites.
constexpr int64_t MinConcurrentLoads = 2;
/// Duration of one load: the sites' figure with a margin.
constexpr Millis LoadTime{950};
/// Time after which a changed rank takes effect.
constexpr Millis PlaceSettleTime{2'000};
/// Versions behind at which an engine loads out of turn: steps may use the
/// version before the newest.
constexpr int64_t MaxVersionsBehind = 2;
/// Groups of engines that load alternate versions.
constexpr int64_t Halves = 2;
/// Wait for the answer to an order before the next order. An order whose answer
/// was lost may still be executed, which the sequence shows.
constexpr Millis UnansweredWait{700};
/// Time for which an engine must answer again before it loads; engines that
/// crash repeatedly do so within it.
constexpr Millis RestartWait{1'000};
/// Wait after an order that the engine refused.
constexpr Millis RefusedWait{200};

} // namespace

void LoadController::versionAnnounced(const std::string &Model, int64_t Version,
                                      Millis Now) {
  ModelVersionInfo &Info = this->Models[Model];
  if (Version <= Info.Announced)
    return;
  Info.Announced = Version;
  Info.AnnouncedAt = Now;
}

void LoadController::versionRequired(const std::string &Model,
                                     int64_t Version) {
  ModelVersionInfo &Info = this->Models[Model];
  Info.Required = std::max(Info.Required, Version);
}

void LoadController::placeChanged(EnginePlace Place, Millis Now) {
  if (!this->HasPlace || Place == this->Place) {
    this->HasPlace = true;
    this->Place = Place;
    this->PendingPlace = Place;
    return;
  }
  if (Place == this->PendingPlace)
    return;
  this->PendingPlace = Place;
  this->PendingSince = Now;
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

bool LoadController::isDue(const ModelVersionInfo &Info, int64_t ModelIndex,
                           int64_t ModelCount, int64_t Current,
                           Millis Now) const {
  const std::optional<int64_t> Half = this->halfOf(ModelIndex, ModelCount);
  if (Current >= Info.Announced || !Half.has_value())
    return false;
  const bool Behind = Info.Announced - Current >= MaxVersionsBehind;
  const bool OwnTurn = Info.Announced % Halves == *Half;
  if (!Behind && !OwnTurn && Current >= Info.Required)
    return false;
  return Now >= Info.AnnouncedAt + this->turnDelay(ModelCount);
}

Millis LoadController::turnDelay(int64_t ModelCount) const {
  const int64_t ConcurrentLoads =
      std::max(this->Place.Count / ConcurrentLoadsDivisor, MinConcurrentLoads);
  const int64_t Turn =
      this->Place.Rank / (ModelCount <= 1 ? Halves : ModelCount);
  return Millis{LoadTime.Count * Turn / ConcurrentLoads};
}

void LoadController::delayAfterRestart(const EngineReport &Report, Millis Now) {
  const bool Restarted = Report.Sequence < this->LastSequence;
  this->LastSequence = Report.Sequence;
  if (!std::exchange(this->IsLost, false) && !Restarted)
    return;
  const auto ModelCount = static_cast<int64_t>(Report.Versions.size());
  this->NotBefore = std::max(this->NotBefore,
                             Now + RestartWait + this->turnDelay(ModelCount));
}

std::optional<LoadOrder> LoadController::decide(const EngineReport &Report,
                                                Millis Now) {
  if (this->PendingPlace != this->Place &&
      Now >= this->PendingSince + PlaceSettleTime)
    this->Place = this->PendingPlace;
  this->delayAfterRestart(Report, Now);
  if (Report.Busy || Now < this->NotBefore)
    return std::nullopt;
  std::optional<LoadOrder> Best;
  int64_t BestBehind = 0;
  int64_t Index = 0;
  const auto Count = static_cast<int64_t>(Report.Versions.size());
  for (const auto &[Model, Current] : Report.Versions) {
    const int64_t ModelIndex = Index++;
    const auto Info = this->Models.find(Model);
    if (Info == this->Models.end())
      continue;
    const int64_t Behind = Info->second.Announced - Current;
    if (Behind <= BestBehind ||
        !this->isDue(Info->second, ModelIndex, Count, Current, Now))
      continue;
    Best = LoadOrder{Model, Info->second.Announced, Report.Sequence};
    BestBehind = Behind;
  }
  return Best;
}

void LoadController::orderSent(Millis Now) {
  this->NotBefore = Now + UnansweredWait;
}

void LoadController::orderAnswered(bool Accepted, Millis Now) {
  // The next report shows an accepted order by its sequence.
  this->NotBefore = Accepted ? Now : Now + RefusedWait;
}

} // namespace camphornotch
