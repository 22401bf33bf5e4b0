/// @file
/// Tests of the table of requests that break endpoints.

#include "core/gateway/suspect_table_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

Test(suspectTable, thirdBrokenEndpoint_quarantinesTheRequest) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  cr_assert(Table.add(Digest, EndpointId{"a"}, seconds(1)));
  cr_assert(!Table.add(Digest, EndpointId{"a"}, seconds(2)),
            "a repeated report is not new");
  cr_assert(Table.add(Digest, EndpointId{"b"}, seconds(2)));
  cr_assert(!Table.isQuarantined(Digest, seconds(2)));
  cr_assert(Table.add(Digest, EndpointId{"c"}, seconds(3)));
  cr_assert(Table.isQuarantined(Digest, seconds(3)));
  cr_assert(!Table.isQuarantined(digestOf("h", "/a", "other"), seconds(3)));
}

Test(suspectTable, oldReports_areIgnored) {
  SuspectTable Table;
  const RequestDigest Digest = digestOf("h", "/a", "body");
  for (const char *Name : {"a", "b", "c"})
    Table.add(Digest, EndpointId{Name}, seconds(1));
  cr_assert(!Table.isQuarantined(Digest, seconds(120)));
  Table.forgetOld(seconds(120));
  cr_assert(Table.add(Digest, EndpointId{"a"}, seconds(121)));
}
