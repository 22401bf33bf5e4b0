/// @file
/// Tests of the agent's guard.

#include "core/calls/intent_guard_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The boot of the guard under test.
constexpr BootId Boot{5};

/// @param Work the entry's number.
/// @return a waiter of one entry.
IntentWaiter waiter(int64_t Work) {
  return IntentWaiter{HostId{"e"}, WorkId{Work}};
}

/// @param Decision a decision.
/// @return whether it is of the given kind.
template <typename KindT> bool is(const IntentDecision &Decision) {
  return std::holds_alternative<KindT>(Decision);
}

} // namespace

Test(guard, second_start_joins_and_both_are_told) {
  IntentGuard Guard(Boot, 4);
  cr_assert(is<StartIntent>(Guard.admit(LogOffset{9}, Boot, waiter(1))));
  cr_assert(is<JoinIntent>(Guard.admit(LogOffset{9}, Boot, waiter(2))));
  cr_assert(Guard.finish(LogOffset{9}, {}).size() == 2);
  cr_assert(is<AnswerIntent>(Guard.admit(LogOffset{9}, Boot, waiter(3))));
}

Test(guard, other_boot_is_refused_as_unknown) {
  IntentGuard Guard(Boot, 4);
  const auto Decision = Guard.admit(LogOffset{9}, BootId{4}, waiter(1));
  cr_assert(is<RefuseIntent>(Decision));
  cr_assert(std::get<RefuseIntent>(Decision).Why.State == RunState::Unknown);
}

Test(guard, refusal_as_not_run_is_final) {
  IntentGuard Guard(Boot, 4);
  Guard.admit(LogOffset{9}, Boot, waiter(1));
  Guard.refuse(LogOffset{9},
               Refusal{RefusalReason::QueueFull, RunState::NotRun, 0, ""});
  const auto Again = Guard.admit(LogOffset{9}, Boot, waiter(2));
  cr_assert(is<RefuseIntent>(Again));
  cr_assert(std::get<RefuseIntent>(Again).Why.State == RunState::NotRun);
}

Test(guard, forgotten_intent_never_starts_again) {
  IntentGuard Guard(Boot, 2);
  for (int64_t Offset = 1; Offset <= 5; ++Offset) {
    Guard.admit(LogOffset{Offset}, Boot, waiter(Offset));
    Guard.finish(LogOffset{Offset}, {});
  }
  cr_assert(Guard.size() == 2);
  const auto Late = Guard.admit(LogOffset{2}, Boot, waiter(9));
  cr_assert(is<RefuseIntent>(Late));
  cr_assert(std::get<RefuseIntent>(Late).Why.State == RunState::Unknown);
}

Test(guard, running_intent_is_not_forgotten) {
  IntentGuard Guard(Boot, 1);
  Guard.admit(LogOffset{1}, Boot, waiter(1));
  for (int64_t Offset = 2; Offset <= 5; ++Offset) {
    Guard.admit(LogOffset{Offset}, Boot, waiter(Offset));
    Guard.finish(LogOffset{Offset}, {});
  }
  cr_assert(is<JoinIntent>(Guard.admit(LogOffset{1}, Boot, waiter(7))));
}

Test(guard, waiters_of_an_ended_process_are_not_told) {
  IntentGuard Guard(Boot, 4);
  Guard.admit(LogOffset{9}, Boot, waiter(1));
  Guard.admit(LogOffset{9}, Boot, IntentWaiter{HostId{"f"}, WorkId{1}});
  Guard.dropWaiters(HostId{"e"});
  const auto Told = Guard.finish(LogOffset{9}, {});
  cr_assert(Told.size() == 1);
  cr_assert(Told[0].Peer == HostId{"f"});
}
