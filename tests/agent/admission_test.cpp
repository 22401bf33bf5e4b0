/// @file
/// Tests of admission: classes, reserve, preemption, bounds, leaving.

#include "admission_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

constexpr auto Short = wire::WorkClass::Short;
constexpr auto Urgent = wire::WorkClass::Urgent;
constexpr auto Rollout = wire::WorkClass::Rollout;

/// @return four places, one of them for short work.
AdmissionSettings smallEndpoint() {
  AdmissionSettings Settings;
  Settings.Slots = 4;
  Settings.Policy = ClassedAdmission{.ShortReserve = 1};
  return Settings;
}

} // namespace

Test(admission, rollouts_fill_endpoint_leaves_reserve_free) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 6; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  cr_assert(Fix.Running.size() == 3);
  Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Running.size() == 4);
  cr_assert(Fix.Started.back().Work.Class == Short);
}

Test(admission, no_short_work_for_long_lends_reserve_to_rollouts) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Short, 10));
  Fix.end(Fix.Started.back().Run, RunOutcome::Finished);
  for (int Index = 0; Index < 6; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  cr_assert(Fix.Running.size() == 3);
  Fix.Now += ClassedAdmission{}.ReserveMemory + Millis{1};
  Fix.handle(AdmissionTick{});
  cr_assert(Fix.Running.size() == 4);
}

Test(admission, short_work_after_a_pause_reserves_again) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Rollout, 100));
  Fix.Now += ClassedAdmission{}.ReserveMemory + Millis{1};
  Fix.submit(makeWork(Short, 10));
  Fix.end(Fix.Started.back().Run, RunOutcome::Finished);
  for (int Index = 0; Index < 6; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  cr_assert(Fix.Running.size() == 3);
}

Test(admission, first_come_first_served_takes_arrival_order) {
  AdmissionSettings Settings = smallEndpoint();
  Settings.Policy = FirstComeFirstServed{};
  AdmissionFixture Fix{Settings};
  for (int Index = 0; Index < 5; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Running.size() == 4 && Fix.Stopping.empty());
  Fix.end(Fix.Started.front().Run, RunOutcome::Finished);
  cr_assert(Fix.Started.back().Work.Class == Rollout);
}

Test(admission, short_work_waits_preempts_longest_rollout) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Rollout, 100));
  const WorkKey Longest = Fix.submit(makeWork(Rollout, 900));
  Fix.submit(makeWork(Rollout, 300));
  Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Stopping.empty());
  Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Stopping.size() == 1);
  const RunId Victim = Fix.Stopping.begin()->first;
  cr_assert(Fix.Running.at(Victim).Key == Longest);
  Fix.end(Victim, RunOutcome::Stopped);
  cr_assert(Fix.Started.back().Work.Class == Short);
  cr_assert(Fix.Refused.size() == 1);
  cr_assert(Fix.Refused.front().Why.Reason == RefusalReason::Preempted);
  cr_assert(Fix.Refused.front().Run == Victim);
}

Test(admission, urgent_work_waits_never_preempted) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 3; ++Index)
    Fix.submit(makeWork(Urgent, 500));
  for (int Index = 0; Index < 3; ++Index)
    Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Stopping.empty());
}

Test(admission, wait_over_deadline_refuses_as_not_run) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 4; ++Index)
    Fix.submit(makeWork(Rollout, 1000));
  wire::StartWork Work = makeWork(Rollout, 100);
  Work.DeadlineMs = 2000;
  Fix.submit(Work);
  cr_assert(Fix.Refused.size() == 1);
  const Refusal &Why = Fix.Refused.front().Why;
  cr_assert(Why.Reason == RefusalReason::DeadlineTooShort);
  cr_assert(Why.State == RunState::NotRun && Why.RetryAfterMs > 0);
}

Test(admission, deadline_passes_in_queue_refuses_as_not_run) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 3; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  wire::StartWork Work = makeWork(Rollout, 100);
  Work.DeadlineMs = 3000;
  const WorkKey Key = Fix.submit(Work);
  cr_assert(Fix.Admission.nextDeadline() == Fix.Now + Millis{3000});
  Fix.Now += Millis{3000};
  Fix.handle(AdmissionTick{});
  cr_assert(Fix.Refused.size() == 1 && Fix.Refused.front().Key == Key);
  cr_assert(Fix.Refused.front().Why.State == RunState::NotRun);
}

Test(admission, closed_hands_back_what_waits_and_refuses_new) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 5; ++Index)
    Fix.submit(makeWork(Rollout, 100));
  Fix.handle(CloseAdmission{});
  cr_assert(Fix.Refused.size() == 2 && Fix.Running.size() == 3);
  Fix.submit(makeWork(Short, 1));
  cr_assert(Fix.Refused.size() == 3);
  for (const RefuseWork &Each : Fix.Refused) {
    cr_assert(Each.Why.Reason == RefusalReason::Leaving);
    cr_assert(Each.Why.State == RunState::NotRun);
  }
}

Test(admission, never_sent_run_fails_says_not_run) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Rollout, 100));
  Fix.handle(RunEnded{Fix.Started.front().Run, RunOutcome::Failed, true});
  cr_assert(Fix.Refused.front().Why.State == RunState::NotRun);
}

Test(admission, sent_run_fails_says_unknown) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Rollout, 100));
  Fix.handle(RunEnded{Fix.Started.front().Run, RunOutcome::Failed});
  cr_assert(Fix.Refused.front().Why.State == RunState::Unknown);
  cr_assert(Fix.Refused.front().Why.Reason == RefusalReason::EndpointFailed);
}

Test(admission, suspect_waits_runs_with_nothing_beside_it) {
  AdmissionFixture Fix{smallEndpoint()};
  const WorkKey Other = Fix.submit(makeWork(Rollout, 100));
  Fix.submit(makeWork(Rollout, 100), true);
  cr_assert(Fix.Running.size() == 1);
  Fix.Now = Fix.Admission.nextDeadline();
  Fix.submit(makeWork(Short, 10));
  cr_assert(Fix.Running.size() == 1, "other starts are held by then");
  cr_assert(Fix.Started.front().Key == Other);
  Fix.end(Fix.Started.front().Run, RunOutcome::Finished);
  cr_assert(Fix.Running.size() == 1);
  Fix.end(Fix.Started.back().Run, RunOutcome::Finished);
  cr_assert(Fix.Started.back().Work.Class == Short);
}

Test(admission, one_place_and_endless_short_work_still_runs_rollout) {
  AdmissionSettings Settings;
  Settings.Slots = 1;
  AdmissionFixture Fix{Settings};
  for (int Index = 0; Index < 40; ++Index)
    Fix.submit(makeWork(Short, 1));
  Fix.submit(makeWork(Rollout, 10));
  for (int Index = 0; Index < 30; ++Index)
    Fix.end(Fix.Started.back().Run, RunOutcome::Finished);
  bool Ran = false;
  for (const StartRun &Each : Fix.Started)
    Ran = Ran || Each.Work.Class == Rollout;
  cr_assert(Ran);
}

Test(admission, stalled_endpoint_raises_token_time) {
  AdmissionFixture Fix{smallEndpoint()};
  Fix.submit(makeWork(Rollout, 1000));
  const RunId Run = Fix.Started.front().Run;
  for (int Index = 0; Index < 50; ++Index) {
    Fix.Now += Millis{10};
    Fix.handle(RunProgressed{Run, 1});
  }
  const int64_t Before = Fix.Admission.load(Fix.Now).TokenMicros;
  cr_assert(Before >= 9'000 && Before <= 11'000);
  cr_assert(Fix.Admission.load(Fix.Now + Millis{500}).TokenMicros == 500'000);
}

Test(admission, settings_change_keeps_what_waits) {
  AdmissionFixture Fix{smallEndpoint()};
  for (int Index = 0; Index < 6; ++Index)
    Fix.submit(makeWork(Index % 2 == 0 ? Rollout : Urgent, 100));
  AdmissionSettings Settings = smallEndpoint();
  Settings.Policy = FirstComeFirstServed{};
  Settings.Slots = 6;
  Fix.handle(ChangeAdmission{Settings});
  cr_assert(Fix.Running.size() == 6 && Fix.Admission.queued() == 0);
}
