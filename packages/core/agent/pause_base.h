/// @file
/// Finds out from two clocks that the process was paused.

#ifndef CAMPHORNOTCH_CORE_AGENT_PAUSE_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_PAUSE_BASE_H

#include "base/millis_type.h"

namespace camphornotch {

/// Watches the steady and the wall clock. It has to be asked more often than
/// the bound; a longer gap means that the process did not run, and a wall
/// clock that ran ahead of the steady one that the host did not.
class PauseWatch {
public:
  /// @param Bound the shortest gap that counts as a pause.
  explicit PauseWatch(Millis Bound) : Bound(Bound) {}

  /// @param Steady the steady clock now.
  /// @param Wall the wall clock now.
  /// @return the length of a pause since the last question; 0: none.
  Millis check(Millis Steady, Millis Wall);

private:
  /// The shortest gap that counts as a pause.
  Millis Bound;
  /// The clocks at the last question.
  Millis LastSteady{-1};
  /// The wall clock at the last question.
  Millis LastWall;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_PAUSE_BASE_H
