/// @file
/// A follower of a keyed topic with a stand-in for the store.

#include "base/clock_func.h"
#include "gateway/keyed_follower_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

// Guards against a process that was suspended and takes its configuration for
// the newest one until its next read fails.
Test(keyedFollower, answerFromBeforeASuspension_isNoneThatCounts) {
  Loop Events;
  standin::StandinStoreServer Server(Events, 1);
  HttpClient Http(Events);
  platform::StoreClient Store(Events, Http, Server.target());
  KeyedFollower Tested(Events, Store, "keyed.op",
                       loggingCallbacks("topic", [](const KeyedRecord &) {}));
  cr_assert_not(Tested.available(steadyNow()));
  Tested.begin();
  cr_assert(turnUntil(Events, [&] { return Tested.available(steadyNow()); }));
  cr_assert_not(Tested.available(steadyNow() + seconds(5)));
}
