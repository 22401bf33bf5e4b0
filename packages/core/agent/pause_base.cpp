/// @file
/// Finds out from two clocks that the process was paused.

#include "core/agent/pause_base.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

Millis PauseWatch::check(Millis Steady, Millis Wall) {
  const Millis BeforeSteady = std::exchange(this->LastSteady, Steady);
  const Millis BeforeWall = std::exchange(this->LastWall, Wall);
  if (BeforeSteady < Millis{0})
    return Millis{0};
  // Either clock may stand still while the host sleeps. A wall clock that is
  // set ahead counts, too: one question too many does no harm.
  const Millis Gap = std::max(Steady - BeforeSteady, Wall - BeforeWall);
  return Gap >= this->Bound ? Gap : Millis{0};
}

} // namespace camphornotch
