/// @file
/// Tests that the store client limits the size of an answer.

#include "../net/net_fixture.h"
#include "../net/scripted_server.h"
#include "platform/store_client_base.h"

#include <criterion/criterion.h>
#include <optional>

using namespace camphornotch;

Test(storeClient, endlessAnswer_failsAsMaybeExecuted) {
  Loop Events;
  HttpClient Http(Events);
  ScriptedServer Store;
  platform::StoreClient Tested(Events, Http, Store.target());
  std::optional<StoreResult<int64_t>> Outcome;
  const std::string Record = "r";
  Tested.append(PartitionId{"t", 0}, std::span(&Record, 1), seconds(60),
                [&](const StoreResult<int64_t> &Answer) { Outcome = Answer; });
  cr_assert(turnUntil(Events, [&] { return Store.hasRequests(0, 1); }));
  Store.send(0, "HTTP/1.1 200 OK\r\n\r\n");
  constexpr size_t EndlessBytes = size_t{64} << 20;
  const std::string Piece(size_t{64} << 10, ' ');
  bool Flooded = false;
  turnUntil(Events, [&] {
    Flooded |= Store.sendRepeatedly(0, Piece) > EndlessBytes;
    return Flooded || Store.closed(0);
  });
  cr_assert_not(Flooded);
  cr_assert(Outcome.has_value() && !Outcome->has_value());
  cr_assert_not(Outcome->error().NotExecuted);
}
