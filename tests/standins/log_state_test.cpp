/// @file
/// Tests of the log's offsets, rate limit and retention.

#include "standins/log/log_state.h"

#include <criterion/criterion.h>

using namespace camphornotch;
using namespace camphornotch::standin;

Test(log_state, append_gives_offsets_from_one) {
  LogState Log{LogSettings{}};
  const std::vector<std::string> Two = {"a", "b"};
  cr_assert(Log.append(Two, Millis{0}) == 1);
  cr_assert(Log.append(Two, Millis{0}) == 3);
  const LogPage Page = Log.read(2, 2);
  cr_assert(Page.FirstOffset == 2);
  const std::vector<std::string> Expected = {"b", "a"};
  cr_assert(Page.Records == Expected);
}

Test(log_state, over_its_rate_refuses_until_refilled) {
  LogState Log{{.AppendsPerSecond = 10, .Burst = 2}};
  cr_assert(Log.takeToken(Millis{0}));
  cr_assert(Log.takeToken(Millis{0}));
  cr_assert_not(Log.takeToken(Millis{0}));
  cr_assert_not(Log.takeToken(Millis{99}));
  cr_assert(Log.takeToken(Millis{100}));
}

Test(log_state, after_retention_reads_from_the_oldest) {
  LogState Log{{.Retention = Millis{100}}};
  const std::vector<std::string> One = {"a"};
  Log.append(One, Millis{0});
  Log.append(One, Millis{50});
  Log.expire(Millis{120});
  const LogPage Page = Log.read(1, 10);
  cr_assert(Page.OldestOffset == 2);
  cr_assert(Page.FirstOffset == 2);
  cr_assert(Page.Records.size() == 1);
  cr_assert(Log.nextOffset() == 3);
}
