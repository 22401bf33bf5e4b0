/// @file
/// When this process carries the folded state forward.

#include "core/fold/carry_forward_base.h"

#include <algorithm>

namespace camphornotch {

std::optional<wire::SnapshotRecord> CarryForward::due(const LogFold &Fold,
                                                      const CarryView &View) {
  const bool Nothing = Fold.known() && Fold.applied() == LogOffset{0};
  if (!View.CaughtUp || Nothing || View.Now < this->NotBefore)
    return {};
  if (!this->isDue(Fold, View))
    return {};
  this->NotBefore = View.Now + this->Settings.Patience;
  wire::SnapshotRecord Record =
      Fold.known() ? Fold.exportSnapshot() : Fold.exportReset();
  Record.WrittenWallMs = View.Wall.Count;
  return Record;
}

bool CarryForward::isDue(const LogFold &Fold, const CarryView &View) {
  const Millis Turn = this->Settings.Turn * View.Rank;
  if (Fold.lastSnapshot() == NoOffset || !Fold.known()) {
    this->LackedSince = std::min(this->LackedSince, View.Now);
    return this->LackedSince + this->Settings.Turn + Turn <= View.Now;
  }
  this->LackedSince = Never;
  const Millis Half{this->Settings.Retention.Count / 2};
  return Fold.lastSnapshotWall() + Half + Turn <= View.Wall;
}

} // namespace camphornotch
