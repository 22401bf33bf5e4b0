/// @file
/// Clocks of the machine.

#include "base/clock_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(clock, timeSinceBoot_goesOnWithTheSteadyClock) {
  const Millis BootBefore = bootNow();
  const Millis SteadyBefore = steadyNow();
  while (steadyNow() - SteadyBefore < Millis{20}) {
  }
  // Each reading is rounded down to a millisecond.
  cr_assert_geq((bootNow() - BootBefore).Count, 19);
}
