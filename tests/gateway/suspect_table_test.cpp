/// @file
/// Tests of the table of requests that break endpoints.

#include "core/gateway/suspect_table_base.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;

namespace {

/// @return the first lifetime of an endpoint.
EndpointLifetime lifetime(const std::string &Id) {
  return EndpointLifetime{EndpointId{Id}, 1};
}

const RequestDigest Poison = digestOf("h", "/a", "body");

/// Breaks three endpoints one after another.
void breakThree(SuspectTable &Table, Millis At) {
  for (const char *Id : {"a", "b", "c"})
    Table.add(Poison, lifetime(Id), At);
}

/// Sends all that one table knows to another.
void tell(const SuspectTable &From, SuspectTable &To, Millis Now) {
  for (const wire::SuspectState &State : From.states(100, Now))
    To.merge(State, Now);
}

} // namespace

Test(suspectTable, thirdBrokenEndpoint_quarantinesTheRequest) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  cr_assert(
      Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(1)));
  cr_assert(
      !Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(2)),
      "a repeated report is not new");
  cr_assert(
      Table.add(Digest, EndpointLifetime{EndpointId{"b"}, 1}, seconds(2)));
  cr_assert(!Table.isQuarantined(Digest, seconds(2)));
  cr_assert(
      Table.add(Digest, EndpointLifetime{EndpointId{"c"}, 1}, seconds(3)));
  cr_assert(Table.isQuarantined(Digest, seconds(3)));
  cr_assert(!Table.isQuarantined(digestOf("h", "/a", "other"), seconds(3)));
}

Test(suspectTable, oldReports_areIgnored) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  for (const char *Name : {"a", "b", "c"})
    Table.add(Digest, EndpointLifetime{EndpointId{Name}, 1}, seconds(1));
  cr_assert(!Table.isQuarantined(Digest, seconds(120)));
  Table.forgetOld(seconds(120));
  cr_assert(
      Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(121)));
}

// Guards against a request that is let through again each minute, and crashes
// an endpoint each time.
Test(suspectTable, requestThatBreaksAgainAfterQuarantine_isHeldBackForLonger) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  for (const char *Name : {"a", "b", "c"})
    Table.add(Digest, EndpointLifetime{EndpointId{Name}, 1}, seconds(1));
  int Retries = 0;
  constexpr int64_t QuarterHour = 900;
  for (int64_t Second = 2; Second < QuarterHour; ++Second) {
    const Millis Now = seconds(Second);
    Table.forgetOld(Now);
    if (Table.isQuarantined(Digest, Now))
      continue;
    ++Retries;
    Table.add(Digest,
              EndpointLifetime{EndpointId{"e" + std::to_string(Second)}, 1},
              Now);
  }
  cr_assert_leq(Retries, 3);
}

Test(suspectTable, soundRequestAfterQuarantine_isForgotten) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  for (const char *Name : {"a", "b", "c"})
    Table.add(Digest, EndpointLifetime{EndpointId{Name}, 1}, seconds(1));
  cr_assert(Table.isQuarantined(Digest, seconds(60)));
  cr_assert_not(Table.isQuarantined(Digest, seconds(61)));
  Table.forgetOld(seconds(121));
  Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(122));
  cr_assert_not(Table.isQuarantined(Digest, seconds(122)));
}

// Sound requests that are equal, as those without a body, are under way at
// many endpoints: breaks between which one succeeds are not its fault.
Test(suspectTable, successBetweenTheBreaks_startsTheCountAnew) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "");
  Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(1));
  Table.add(Digest, EndpointLifetime{EndpointId{"b"}, 1}, seconds(1));
  Table.succeeded(Digest, seconds(1));
  Table.add(Digest, EndpointLifetime{EndpointId{"c"}, 1}, seconds(2));
  cr_assert_not(Table.isQuarantined(Digest, seconds(2)));
}

// Guards against a request that crashes two endpoints over and over: they keep
// their ids over a start, so that they counted as two.
Test(suspectTable, endpointsThatKeepTheirIds_countOnceForEachLifetime) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 1}, seconds(1));
  Table.add(Digest, EndpointLifetime{EndpointId{"b"}, 1}, seconds(2));
  cr_assert_not(Table.isQuarantined(Digest, seconds(2)));
  cr_assert(
      Table.add(Digest, EndpointLifetime{EndpointId{"a"}, 2}, seconds(3)));
  cr_assert(Table.isQuarantined(Digest, seconds(3)));
}

// Guards against sound requests that are held back because three endpoints that
// had them ended for another reason, at the same time.
Test(suspectTable, endpointsThatBreakAtTheSameTime_countOnce) {
  SuspectTable Table;
  for (const char *Id : {"a", "b", "c", "d"})
    Table.add(Poison, lifetime(Id), seconds(10), Millis{300});
  cr_assert_not(Table.isQuarantined(Poison, seconds(10)));
  // Each of these was sent when the break before was known.
  Table.add(Poison, lifetime("e"), seconds(11), Millis{300});
  cr_assert_not(Table.isQuarantined(Poison, seconds(11)));
  Table.add(Poison, lifetime("f"), seconds(12), Millis{300});
  cr_assert(Table.isQuarantined(Poison, seconds(12)));
}

// Guards against a process that lets a request through because it was started,
// added or cut off while the request broke endpoints.
Test(suspectTable, stateOfAnotherTable_isTakenOver) {
  SuspectTable Knows;
  SuspectTable New;
  breakThree(Knows, seconds(1));
  tell(Knows, New, seconds(31));
  cr_assert(New.isQuarantined(Poison, seconds(60)));
  cr_assert_not(New.isQuarantined(Poison, seconds(61)));
  // The next break counts as the fourth for both.
  New.add(Poison, lifetime("d"), seconds(62));
  cr_assert(New.isQuarantined(Poison, seconds(181)));
  tell(New, Knows, seconds(63));
  cr_assert(Knows.isQuarantined(Poison, seconds(181)));
}

Test(suspectTable, stateToldAgain_countsOnce) {
  SuspectTable Knows;
  SuspectTable Other;
  Knows.add(Poison, lifetime("a"), seconds(1));
  const wire::SuspectState State = *Knows.state(Poison, seconds(1));
  cr_assert_eq(Other.merge(State, seconds(1)), SuspectNews::Learned);
  cr_assert_eq(Other.merge(State, seconds(2)), SuspectNews::Same);
  cr_assert_eq(Other.merge(State, seconds(3)), SuspectNews::Same);
  cr_assert_eq(Other.state(Poison, seconds(3))->Breaks, 1);
}

// Guards against a sound request that is held back by a process which missed
// its success, or which tells others of breaks from before.
Test(suspectTable, successSeenElsewhere_liftsTheBreaks) {
  SuspectTable Sees;
  SuspectTable Missed;
  Sees.add(Poison, lifetime("a"), seconds(1));
  Sees.add(Poison, lifetime("b"), seconds(2));
  tell(Sees, Missed, seconds(2));
  const wire::SuspectState Old = *Missed.state(Poison, seconds(2));
  cr_assert(Sees.succeeded(Poison, seconds(3)));
  cr_assert_eq(Sees.merge(Old, seconds(4)), SuspectNews::Outdated);
  tell(Sees, Missed, seconds(4));
  cr_assert_eq(Missed.merge(Old, seconds(5)), SuspectNews::Outdated);
  Missed.add(Poison, lifetime("c"), seconds(5));
  cr_assert_not(Missed.isQuarantined(Poison, seconds(5)));
}

// Guards against a process that keeps a quarantine for its whole length after
// the others have seen the request succeed and have nearly forgotten that.
Test(suspectTable, acquittalAfterQuarantine_isKeptAsLongAsTheQuarantineWas) {
  SuspectTable Sees;
  SuspectTable Missed;
  breakThree(Sees, seconds(1));
  Sees.add(Poison, lifetime("d"), seconds(61));
  tell(Sees, Missed, seconds(61));
  cr_assert(Sees.succeeded(Poison, seconds(182)));
  Sees.forgetOld(seconds(300));
  tell(Sees, Missed, seconds(300));
  cr_assert_eq(Missed.state(Poison, seconds(300))->Breaks, 0);
}

Test(suspectTable, statesOverTheLimit_thoseWithFewerBreaksAreLeftOut) {
  SuspectTable Table;
  for (const char *Path : {"/x", "/y", "/z"})
    Table.add(digestOf("h", Path, ""), lifetime("a"), seconds(2));
  breakThree(Table, seconds(1));
  const std::vector<wire::SuspectState> States = Table.states(2, seconds(3));
  cr_assert_eq(States.size(), 2U);
  cr_assert_eq(States.front().Digest, Poison.Value);
}

Test(suspectTable, stateThatIsTooOld_isIgnored) {
  SuspectTable Knows;
  SuspectTable New;
  Knows.add(Poison, lifetime("a"), seconds(1));
  wire::SuspectState State = *Knows.state(Poison, seconds(1));
  State.AgeMs = 60'000;
  State.KeptMs = 0;
  cr_assert_eq(New.merge(State, seconds(500)), SuspectNews::Same);
  cr_assert(New.states(10, seconds(500)).empty());
}
