/// @file
/// Calls to the store through a peer, with a stand-in for the store and a peer
/// that the test controls.

#include "platform/store_client_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

struct StoreRelayFixture {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 1};
  HttpClient Http{this->Events};
  platform::StoreClient Client{this->Events, this->Http, this->Store.target()};
  platform::RawStoreAnswer PeerAnswer;
  /// Number of calls made through the peer.
  int PeerCalls = 0;

  StoreRelayFixture() {
    this->Client.setRelay([this](const platform::RawStoreCall &,
                                 const platform::RawStoreCallback &Reply) {
      ++this->PeerCalls;
      this->Events.defer([this, Reply] { Reply(this->PeerAnswer); });
      return true;
    });
  }

  /// @return whether a read succeeded.
  bool read() {
    bool Over = false;
    bool Good = false;
    this->Client.read(PartitionId{"batch", 0}, 0, platform::ReadBounds{},
                      [&](const StoreResult<ReadPage> &Page) {
                        Over = true;
                        Good = Page.has_value();
                      });
    cr_assert(turnUntil(this->Events, [&] { return Over; }));
    return Good;
  }
};

} // namespace

Test(storeRelay, peerThatIsGone_isNotTriedFirstAgain) {
  StoreRelayFixture Net;
  Net.Store.Busy = true;
  Net.PeerAnswer.Status = 200;
  Net.PeerAnswer.Body = std::string(16, '\0');
  cr_assert(Net.read());
  Net.Store.Busy = false;
  Net.PeerAnswer = platform::RawStoreAnswer{};
  cr_assert(!Net.read());
  cr_assert(Net.read());
  cr_assert_eq(Net.PeerCalls, 2);
}

Test(storeRelay, storeThatRefusesPeersToo_isNotAskedTwiceForEachCall) {
  StoreRelayFixture Net;
  Net.Store.Busy = true;
  Net.PeerAnswer.Status = 503;
  constexpr int Reads = 10;
  for (int Count = 0; Count < Reads; ++Count)
    cr_assert(!Net.read());
  cr_assert_eq(Net.PeerCalls, 3);
}

Test(storeRelay, storeThatRefusesThisHostOnly_isReachedThroughAPeer) {
  StoreRelayFixture Net;
  Net.Store.Busy = true;
  Net.PeerAnswer.Status = 200;
  Net.PeerAnswer.Body = std::string(16, '\0');
  constexpr int Reads = 3;
  for (int Count = 0; Count < Reads; ++Count)
    cr_assert(Net.read());
  cr_assert_eq(Net.PeerCalls, Reads);
}

Test(storeRelay, onePeerThatIsRefusedToo_doesNotStopTheNext) {
  StoreRelayFixture Net;
  Net.Store.Busy = true;
  Net.PeerAnswer.Status = 503;
  cr_assert(!Net.read());
  Net.PeerAnswer.Status = 200;
  Net.PeerAnswer.Body = std::string(16, '\0');
  cr_assert(Net.read());
}
