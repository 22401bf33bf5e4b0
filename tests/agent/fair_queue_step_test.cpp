/// @file
/// Tests of the order of steps in the fair queue.

#include "core/agent/fair_queue_base.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;

namespace {

/// @param Number a number.
/// @return the key of work with that number.
WorkKey keyOf(int64_t Number) { return WorkKey{BootId{1}, WorkId{Number}}; }

/// Work of a nearly whole step gets even numbers, of a new one odd ones.
/// @param Queue the queue to fill.
/// @param Each how many of each.
void fillTwoSteps(FairQueue &Queue, int64_t Each) {
  for (int64_t Number = 0; Number < Each; ++Number) {
    Queue.push("new", keyOf(2 * Number + 1), 100, 50'000);
    Queue.push("nearly whole", keyOf(2 * Number), 100, 500);
  }
}

} // namespace

Test(fairQueue, nearly_whole_step_goes_first) {
  FairQueue Queue;
  fillTwoSteps(Queue, 4);
  for (int Start = 0; Start < 4; ++Start) {
    cr_assert(Queue.front()->Work.Value % 2 == 0);
    Queue.pop();
  }
}

Test(fairQueue, new_step_is_not_starved) {
  FairQueue Queue;
  fillTwoSteps(Queue, 64);
  int New = 0;
  for (int Start = 0; Start < 64; ++Start) {
    New += static_cast<int>(Queue.front()->Work.Value % 2);
    Queue.pop();
  }
  cr_assert(New >= 4, "new step started %d of 64", New);
}

Test(fairQueue, erased_work_of_a_step_never_comes_up) {
  FairQueue Queue;
  fillTwoSteps(Queue, 2);
  Queue.erase(keyOf(0));
  Queue.erase(keyOf(2));
  cr_assert(Queue.front()->Work.Value % 2 == 1);
  Queue.pop();
  Queue.pop();
  cr_assert(Queue.empty());
}
