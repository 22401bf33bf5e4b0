/// @file
/// Tests of labels, crash attribution, leaving and the work store.

#include "core/agent/crash_base.h"
#include "core/agent/label_base.h"
#include "core/agent/leave_base.h"
#include "core/agent/work_store_base.h"

#include <array>
#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// @return whether the actions hold one of a kind.
template <typename KindT> bool has(const std::vector<LeaveAction> &Actions) {
  for (const LeaveAction &Each : Actions) {
    if (std::holds_alternative<KindT>(Each))
      return true;
  }
  return false;
}

/// @param Bytes length of the body.
/// @return a finished answer.
WorkEnd makeEnd(size_t Bytes) {
  wire::WorkFinished Finished;
  Finished.Body = std::string(Bytes, 'x');
  return Finished;
}

constexpr WorkKey FirstKey{BootId{1}, WorkId{1}};
constexpr WorkKey SecondKey{BootId{2}, WorkId{1}};

} // namespace

Test(labels, swap_in_mid_sample_lists_both_versions) {
  LabelTracker Label;
  Label.add(10, WeightVersion{3}, false);
  Label.add(5, WeightVersion{3}, false);
  Label.add(5, WeightVersion{4}, false);
  cr_assert(Label.known() && Label.tokens() == 20);
  cr_assert(Label.segments().size() == 2);
  cr_assert(Label.segments()[1].FirstToken == 15);
  cr_assert(Label.segments()[1].Version == 4);
}

Test(labels, resumed_sample_lists_kept_versions_first) {
  LabelTracker Before;
  Before.add(7, WeightVersion{3}, false);
  LabelTracker Label{Before.segments(), Before.tokens()};
  Label.add(5, WeightVersion{4}, false);
  cr_assert(Label.known() && Label.tokens() == 12);
  cr_assert(Label.segments().front().Version == 3);
  cr_assert(Label.segments().back().FirstToken == 7);
}

Test(labels, kept_tokens_without_versions_are_unknown) {
  const LabelTracker Label{{}, 7};
  cr_assert(!Label.known());
}

Test(labels, tokens_while_in_doubt_make_label_unknown) {
  LabelTracker Label;
  Label.add(7, WeightVersion{3}, true);
  Label.add(7, WeightVersion{4}, false);
  cr_assert(!Label.known());
}

Test(labels, unreported_version_makes_label_unknown) {
  LabelTracker Label;
  Label.add(7, WeightVersion{-1}, false);
  cr_assert(!Label.known());
}

Test(crash, digest_present_twice_becomes_suspect) {
  CrashAttribution Crashes{CrashSettings{}};
  const std::array First{int64_t{5}, int64_t{6}, int64_t{0}};
  const std::array Second{int64_t{5}};
  const wire::CrashReport Report = Crashes.onCrash(First, 1, Millis{1});
  cr_assert(Report.Digests.size() == 2 && !Report.Alone);
  cr_assert(Crashes.standing(5, Millis{2}) == DigestStanding::Clear);
  cr_assert(Crashes.onCrash(Second, 2, Millis{2}).Alone);
  cr_assert(Crashes.standing(5, Millis{2}) == DigestStanding::Suspect);
  cr_assert(Crashes.standing(6, Millis{2}) == DigestStanding::Clear);
  Crashes.onFinished(5);
  cr_assert(Crashes.standing(5, Millis{2}) == DigestStanding::Clear);
}

Test(crash, suspect_crashes_alone_is_to_be_quarantined) {
  CrashAttribution Entry{CrashSettings{}};
  wire::CrashReport Report;
  Report.Digests = {5, 6};
  cr_assert(Entry.onReport(Report, Millis{1}).empty());
  cr_assert(Entry.onReport(Report, Millis{2}).empty());
  cr_assert(Entry.suspects(Millis{2}).size() == 2);
  Report.Digests = {5};
  Report.__set_Alone(true);
  cr_assert(Entry.onReport(Report, Millis{3}) == std::vector<int64_t>{5});
}

Test(crash, quarantine_list_replaces_older_one_only) {
  CrashAttribution Crashes{CrashSettings{}};
  wire::QuarantinePush Push;
  Push.Digests = {5};
  Push.Offset = 10;
  Crashes.onQuarantine(Push);
  cr_assert(Crashes.standing(5, Millis{1}) == DigestStanding::Quarantined);
  Push.Digests.clear();
  Push.Offset = 9;
  Crashes.onQuarantine(Push);
  cr_assert(Crashes.standing(5, Millis{1}) == DigestStanding::Quarantined);
  Push.Offset = 11;
  Crashes.onQuarantine(Push);
  cr_assert(Crashes.standing(5, Millis{1}) == DigestStanding::Clear);
}

Test(crash, old_evidence_is_forgotten) {
  CrashAttribution Crashes{CrashSettings{}};
  const std::array Present{int64_t{5}};
  Crashes.onCrash(Present, 1, Millis{1});
  Crashes.onCrash(Present, 2, Millis{2});
  cr_assert(Crashes.standing(5, seconds(3700)) == DigestStanding::Clear);
}

Test(leave, signal_stops_admission_at_once_and_ends_when_idle) {
  LeaveController Leave{LeaveSettings{}};
  Leave.handle(HoldingsChanged{2, 0}, Millis{0});
  const auto Actions = Leave.handle(LeaveAsked{}, Millis{1});
  cr_assert(has<StopAdmission>(Actions) && !has<ExitProcess>(Actions));
  cr_assert(Leave.leaving());
  cr_assert(has<ExitProcess>(Leave.handle(HoldingsChanged{0, 0}, Millis{5})));
  cr_assert(Leave.nextDeadline() == Never);
}

Test(leave, time_of_rule_passes_moves_what_runs) {
  LeaveController Leave{LeaveSettings{}};
  Leave.handle(HoldingsChanged{2, 0}, Millis{0});
  Leave.handle(LeaveAsked{}, Millis{0});
  cr_assert(Leave.nextDeadline() == seconds(30));
  cr_assert(has<MoveRuns>(Leave.handle(LeaveTick{}, seconds(30))));
  cr_assert(!has<MoveRuns>(Leave.handle(LeaveTick{}, seconds(31))));
}

Test(leave, answers_not_fetched_hold_the_end_for_a_bound) {
  LeaveController Leave{LeaveSettings{}};
  Leave.handle(HoldingsChanged{0, 3}, Millis{0});
  cr_assert(!has<ExitProcess>(Leave.handle(LeaveAsked{}, Millis{0})));
  cr_assert(Leave.nextDeadline() == seconds(10));
  cr_assert(has<ExitProcess>(Leave.handle(LeaveTick{}, seconds(10))));
}

Test(leave, operator_withdraws_resumes_unless_signalled) {
  LeaveController Leave{LeaveSettings{}};
  Leave.handle(HoldingsChanged{1, 0}, Millis{0});
  Leave.handle(LeaveAsked{LeaveCause::Order}, Millis{0});
  const auto Actions =
      Leave.handle(LeaveWithdrawn{LeaveCause::Order}, Millis{1});
  cr_assert(has<ResumeAdmission>(Actions) && !Leave.leaving());
  Leave.handle(LeaveAsked{LeaveCause::Signal}, Millis{2});
  Leave.handle(LeaveWithdrawn{LeaveCause::Signal}, Millis{3});
  cr_assert(Leave.leaving());
}

Test(leave, order_without_signal_keeps_process) {
  LeaveController Leave{LeaveSettings{}};
  const auto Actions =
      Leave.handle(LeaveAsked{LeaveCause::HostList}, Millis{0});
  cr_assert(has<StopAdmission>(Actions) && !has<ExitProcess>(Actions));
}

Test(workStore, same_id_of_two_senders_is_kept_apart) {
  WorkStore Store{WorkStoreSettings{}};
  cr_assert(Store.open(FirstKey) && Store.open(SecondKey));
  cr_assert(!Store.open(FirstKey));
  cr_assert(Store.append(FirstKey, "abc") == 0);
  cr_assert(Store.append(FirstKey, "def") == 3);
  cr_assert(Store.output(FirstKey, 2) == "cdef");
  cr_assert(Store.output(SecondKey, 0).empty());
  cr_assert(Store.output(FirstKey, 99).empty());
}

Test(workStore, ended_work_is_kept_until_acknowledged) {
  WorkStore Store{WorkStoreSettings{}};
  Store.open(FirstKey);
  Store.acknowledge(FirstKey);
  cr_assert(Store.knows(FirstKey), "open work cannot be forgotten");
  Store.close(FirstKey, makeEnd(10));
  cr_assert(Store.end(FirstKey) != nullptr && Store.ended() == 1);
  Store.acknowledge(FirstKey);
  cr_assert(!Store.knows(FirstKey) && Store.ended() == 0);
}

Test(workStore, over_bound_forgets_oldest_ended_only) {
  WorkStore Store{WorkStoreSettings{.MaxEndedBytes = 3000}};
  Store.open(SecondKey);
  for (int64_t Index = 0; Index < 5; ++Index) {
    const WorkKey Key{BootId{9}, WorkId{Index}};
    Store.open(Key);
    Store.close(Key, makeEnd(700));
  }
  cr_assert(Store.knows(SecondKey));
  cr_assert(Store.dropped() == 3 && Store.ended() == 2);
  cr_assert(!Store.knows(WorkKey{BootId{9}, WorkId{0}}));
}
