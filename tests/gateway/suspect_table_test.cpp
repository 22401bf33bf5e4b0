/// @file
/// Tests of the table of requests that break endpoints.

#include "core/gateway/suspect_table_base.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;

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
  Table.succeeded(Digest);
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
