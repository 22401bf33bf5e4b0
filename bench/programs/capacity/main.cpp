/// @file
/// Measures the slopes that docs/CAPACITY.md works with: JSON lines.

#include "capacity/probes.h"

/// @return the exit code.
int main() {
  using namespace camphornotch::bench;
  for (const auto &Measure :
       {wireSlopes, foldSlopes, routingSlopes, sampleSlopes})
    for (const Slope &Line : Measure())
      printSlope(Line);
  return 0;
}
