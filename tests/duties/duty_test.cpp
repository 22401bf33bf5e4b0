/// @file
/// Who holds a duty, what a window's report says, and the clock behind it.

#include "core/duties/duty_candidate_func.h"
#include "core/duties/duty_lease_base.h"
#include "core/duties/true_time_base.h"
#include "core/duties/usage_counter_base.h"
#include "core/duties/usage_reporter_base.h"
#include "wire/codec_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

std::string claimRecord(const std::string &Host, int64_t Boot) {
  wire::DutyClaimRecord Claim;
  Claim.Duty = std::string(UsageDuty);
  Claim.Holder = Host;
  Claim.Boot = Boot;
  wire::DutyRecord Record;
  Record.__set_Claim(Claim);
  return encodeDuty(Record);
}

std::string settledBytes(int64_t Window, int64_t Fence,
                         const UsageCounts &Counts) {
  wire::DutyRecord Record;
  Record.__set_Settled(settledRecord(Window, Fence, Counts));
  return encodeDuty(Record);
}

wire::UsageCountsPush push(const std::string &Gateway, int64_t Boot,
                           int64_t Window, const UsageCounts &Counts) {
  wire::UsageCountsPush Push;
  Push.Gateway = Gateway;
  Push.Boot = Boot;
  wire::UsageWindow Each;
  Each.Window = Window;
  Each.Counts = encodeCounts(Counts);
  Push.Windows.push_back(Each);
  return Push;
}

constexpr Millis Window{5'000};

} // namespace

Test(dutyFold, windowSettledTwice_keepsTheFirstCounts) {
  DutyFold Fold;
  cr_assert(Fold.apply(0, claimRecord("a", 1), Millis{10}).has_value());
  cr_assert(
      Fold.apply(1, settledBytes(7, 1, {{"one", 2}}), Millis{20}).has_value());
  cr_assert(
      Fold.apply(2, settledBytes(7, 1, {{"one", 3}}), Millis{30}).has_value());
  cr_assert_eq(Fold.settled(7)->at("one"), 2);
  cr_assert_eq(Fold.unreportedAfter(-1), 7);
}

Test(dutyFold, unreadableRecord_isAnErrorAndChangesNothing) {
  DutyFold Fold;
  cr_assert_not(Fold.apply(0, "no record", Millis{1}).has_value());
  cr_assert_null(Fold.claim(UsageDuty));
}

// Guards against windows that come back to life after they were given up.
Test(dutyFold, forgottenWindow_staysForgotten) {
  DutyFold Fold;
  Fold.forgetBefore(10);
  cr_assert(Fold.apply(0, settledBytes(9, 0, {}), Millis{1}).has_value());
  cr_assert_eq(Fold.unreportedAfter(-1), -1);
}

Test(dutyLease, freeDuty_isClaimedByCandidatesOnly) {
  const DutyFold Fold;
  const DutyLease Lease(UsageDuty, "a", 1);
  cr_assert_eq(Lease.next(Fold, true, Millis{1}, Millis{1}), LeaseStep::Claim);
  cr_assert_eq(Lease.next(Fold, false, Millis{1}, Millis{1}), LeaseStep::None);
}

// Guards against two hosts that act at the same time.
Test(dutyLease, silentHolder_isFollowedAfterItsPermissionIsOver) {
  DutyFold Fold;
  cr_assert(Fold.apply(0, claimRecord("a", 1), Millis{100}).has_value());
  DutyLease Holder(UsageDuty, "a", 1);
  Holder.stored(Millis{50});
  Holder.observe(Fold, Millis{100});
  const DutyLease Other(UsageDuty, "b", 2);
  const LeaseTimes Times;
  const Millis End = Millis{50} + Times.Permission;
  cr_assert_gt(Holder.permissionLeft(Fold, End - Millis{1}).Count, 0);
  cr_assert_eq(Holder.permissionLeft(Fold, End).Count, 0);
  cr_assert_eq(Other.next(Fold, true, End, End), LeaseStep::None);
  const Millis Free = Millis{100} + Times.TakeOver;
  cr_assert_eq(Other.next(Fold, true, Free, Free), LeaseStep::Claim);
  // A read from before may lack a renewal.
  cr_assert_eq(Other.next(Fold, true, Free - Millis{1}, Free + seconds(9)),
               LeaseStep::None);
}

// Guards against calls of hosts A, B, A within the operator's bound.
Test(dutyLease, newHolderOnAnotherHost_isQuietAtFirst) {
  DutyFold Fold;
  cr_assert(Fold.apply(0, claimRecord("a", 1), Millis{0}).has_value());
  cr_assert(Fold.apply(1, claimRecord("b", 2), Millis{9'000}).has_value());
  DutyLease Lease(UsageDuty, "b", 2);
  Lease.observe(Fold, Millis{9'000});
  const LeaseTimes Times;
  const Millis End = Millis{9'000} + Times.Quiet;
  Lease.stored(End - Millis{100});
  cr_assert_eq(Lease.permissionLeft(Fold, End - Millis{1}).Count, 0);
  cr_assert_gt(Lease.permissionLeft(Fold, End).Count, 0);
}

// Guards against a permission that a suspended host keeps: its clock goes on.
Test(dutyLease, wokenHolder_hasNoPermissionUntilItRenews) {
  DutyFold Fold;
  cr_assert(Fold.apply(0, claimRecord("a", 1), Millis{0}).has_value());
  DutyLease Lease(UsageDuty, "a", 1);
  Lease.observe(Fold, Millis{1});
  Lease.stored(Millis{1});
  const Millis Woken{60'000};
  cr_assert_eq(Lease.permissionLeft(Fold, Woken).Count, 0);
  cr_assert_eq(Lease.next(Fold, true, Millis{1}, Woken), LeaseStep::Renew);
  Lease.stored(Woken);
  cr_assert_gt(Lease.permissionLeft(Fold, Woken + Millis{1}).Count, 0);
}

Test(dutyLease, restartedHost_claimsAtOnceUnderAHigherNumber) {
  DutyFold Fold;
  cr_assert(Fold.apply(0, claimRecord("a", 1), Millis{0}).has_value());
  const DutyLease Lease(UsageDuty, "a", 2);
  cr_assert_not(Lease.holds(Fold));
  cr_assert_eq(Lease.next(Fold, true, Millis{1}, Millis{1}), LeaseStep::Claim);
  cr_assert(Fold.apply(5, claimRecord("a", 2), Millis{2}).has_value());
  cr_assert_eq(Fold.claim(UsageDuty)->FencingNumber, 6);
}

// Guards against a window's counts that follow one host's jumping clock.
Test(trueTime, clockOfAMinority_movesNothing) {
  TrueTime Clock;
  const Millis Now{1'000};
  Clock.peerClock(HostId{"a"}, 500'000, Now);
  Clock.peerClock(HostId{"b"}, 500'003, Now);
  Clock.peerClock(HostId{"c"}, 500'001, Now);
  cr_assert_eq(Clock.at(Millis{500'002}, Now).Count, 500'002);
  // This host's own clock jumps, and one peer's.
  Clock.peerClock(HostId{"b"}, 590'000, Now);
  const Millis Jumped = Clock.at(Millis{420'000}, Now + Millis{10});
  cr_assert_geq(Jumped.Count, 500'010);
  cr_assert_leq(Jumped.Count, 500'013);
}

Test(trueTime, withoutPeers_isTheOwnClock) {
  TrueTime Clock;
  Clock.peerClock(HostId{"a"}, 1, Millis{1});
  cr_assert_eq(Clock.at(Millis{77}, Millis{5}).Count, 77);
}

// Guards against requests that are counted once for each endpoint that got
// them, or although every endpoint refused them.
Test(requestUsage, attemptsOfOneRequest_countOnceWhereItFirstRan) {
  UsageCounter Counter(Window);
  const auto CountIn = [&Counter](int64_t Wanted) {
    int64_t Sum = 0;
    for (const wire::UsageWindow &Each : Counter.windowsAfter(Wanted - 1))
      if (Each.Window == Wanted)
        for (const wire::AccountCount &Entry : Each.Counts)
          Sum += Entry.Count;
    return Sum;
  };
  RequestUsage Request(Counter, "one");
  Request.attemptSent(1, Millis{4'990});
  Request.attemptSent(2, Millis{5'010});
  cr_assert_eq(CountIn(0), 1);
  cr_assert_eq(CountIn(1), 0);
  Request.attemptNotRun(1);
  cr_assert_eq(CountIn(0), 0);
  cr_assert_eq(CountIn(1), 1);
  Request.attemptNotRun(2);
  cr_assert_eq(CountIn(1), 0);
  Request.attemptSent(3, Millis{5'020});
  cr_assert_eq(CountIn(1), 1);
}

Test(usageReporter, countsOfAllGateways_areAddedUpAndReplaced) {
  UsageReporter Reporter(Window, 1);
  DutyFold Fold;
  const std::set<HostId> Linked{HostId{"g1"}, HostId{"g2"}};
  Reporter.becameHolder(Millis{10'000});
  Reporter.countsReceived(push("g1", 1, 2, {{"one", 1}}), Millis{1});
  Reporter.countsReceived(push("g1", 1, 2, {{"one", 4}}), Millis{2});
  Reporter.countsReceived(push("g1", 9, 2, {{"one", 1}}), Millis{2});
  Reporter.countsReceived(push("g2", 1, 2, {{"two", 3}}), Millis{2});
  const Millis Ended{15'000};
  cr_assert(std::holds_alternative<std::monostate>(
      Reporter.next(Fold, Linked, Ended + Millis{2'999}, Millis{3})));
  const UsageStep Step =
      Reporter.next(Fold, Linked, Ended + Millis{3'000}, Millis{3});
  const auto *Settle = std::get_if<SettleWindow>(&Step);
  cr_assert_not_null(Settle);
  cr_assert_eq(Settle->Window, 2);
  cr_assert_eq(Settle->Counts.at("one"), 5);
  cr_assert_eq(Settle->Counts.at("two"), 3);
}

// Guards against a report without the counts of gateways that are cut off.
Test(usageReporter, lostGateways_delayTheWindowUntilItIsNearlyDue) {
  UsageReporter Reporter(Window, 1);
  const DutyFold Fold;
  Reporter.becameHolder(Millis{0});
  Reporter.countsReceived(push("g1", 1, 0, {}), Millis{1});
  Reporter.countsReceived(push("g2", 1, 0, {}), Millis{1});
  const std::set<HostId> One{HostId{"g1"}};
  cr_assert(std::holds_alternative<std::monostate>(
      Reporter.next(Fold, One, Millis{5'000 + 6'999}, Millis{2})));
  cr_assert(std::holds_alternative<SettleWindow>(
      Reporter.next(Fold, One, Millis{5'000 + 7'000}, Millis{2})));
  cr_assert(std::holds_alternative<std::monostate>(
      Reporter.next(Fold, {}, Millis{5'000 + 7'000}, Millis{2})));
}

Test(usageReporter, settledWindow_isReportedOnceAcknowledgedNoMore) {
  UsageReporter Reporter(Window, 1);
  DutyFold Fold;
  cr_assert(
      Fold.apply(0, settledBytes(3, 1, {{"one", 2}}), Millis{1}).has_value());
  const UsageStep Step = Reporter.next(Fold, {}, Millis{0}, Millis{5});
  const auto *Report = std::get_if<ReportWindow>(&Step);
  cr_assert_not_null(Report);
  cr_assert_eq(Report->Counts.at("one"), 2);
  Reporter.reportFailed(Millis{5});
  cr_assert(std::holds_alternative<std::monostate>(
      Reporter.next(Fold, {}, Millis{0}, Millis{6})));
  cr_assert(std::holds_alternative<ReportWindow>(
      Reporter.next(Fold, {}, Millis{0}, Millis{5 + 200})));
  Reporter.reported(3);
  cr_assert(std::holds_alternative<std::monostate>(
      Reporter.next(Fold, {}, Millis{0}, Millis{900})));
}

// Guards against a holder that reports nothing more after the record of one
// acknowledged report was lost.
Test(usageReporter, recordOfAReportLost_goesOnWithTheNextWindow) {
  UsageReporter Reporter(Window, 1);
  DutyFold Fold;
  cr_assert(Fold.apply(0, settledBytes(3, 1, {}), Millis{1}).has_value());
  cr_assert(Fold.apply(1, settledBytes(4, 1, {}), Millis{1}).has_value());
  Reporter.reported(3);
  const UsageStep Step = Reporter.next(Fold, {}, Millis{0}, Millis{5});
  cr_assert_eq(std::get<ReportWindow>(Step).Window, 4);
}

Test(usageReporter, windowOlderThanTheGiveUpAge_isSkipped) {
  UsageReporter Reporter(Window, 1);
  Reporter.becameHolder(Millis{0});
  const UsageStep Step =
      Reporter.next(DutyFold{}, {HostId{"g"}}, Millis{400'000}, Millis{1});
  cr_assert_eq(std::get<SettleWindow>(Step).Window, 20);
}

// Guards against costs that grow with the number of hosts.
Test(dutyCandidates, manyEngines_areThreeInEachDuty) {
  std::map<EndpointId, EndpointState> Endpoints;
  for (int Index = 0; Index < 300; ++Index) {
    EndpointState State;
    State.Record.Id = EndpointId{"i-" + std::to_string(Index)};
    if (Index % 3 != 0)
      State.Record.Versions["m"] = 1;
    Endpoints.emplace(State.Record.Id, State);
  }
  int Candidates = 0;
  for (const auto &[Id, State] : Endpoints)
    if (!State.Record.Versions.empty())
      Candidates += isDutyCandidate(UsageDuty, Endpoints, Id) ? 1 : 0;
  cr_assert_eq(Candidates, 3);
  cr_assert_not(isDutyCandidate(UsageDuty, Endpoints, EndpointId{"unknown"}));
}
