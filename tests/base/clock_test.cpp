/// @file
/// Tests of the system clocks.

#include "base/clock_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(clock, bootClock_advancesWithSteadyClock) {
  const Millis BootBefore = bootNow();
  const Millis SteadyBefore = steadyNow();
  while (steadyNow() - SteadyBefore < Millis{20}) {
  }
  // Each value is rounded down to whole milliseconds.
  cr_assert_geq((bootNow() - BootBefore).Count, 19);
}
