/// @file
/// Decisions when published values are pulled from a peer.

#include "core/gateway/value_pull_base.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;

namespace {

/// A process that lacks the values after an offset, with many peers.
struct PullFixture {
  ValuePull Pull;
  int64_t HaveOffset = 6;

  /// The peer that was asked last.
  HostId LastAsked;

  bool offer(const std::string &Peer, bool Near, int64_t Offset, int64_t Now) {
    const bool Asked = this->Pull.onOffer(
        ValueOffer{HostId{Peer}, Near, Offset}, this->HaveOffset, Millis{Now});
    if (Asked)
      this->LastAsked = HostId{Peer};
    return Asked;
  }

  /// All of many near peers send a heartbeat every 500 ms, spread evenly.
  /// @return how many were asked by the end of the span.
  int askedOf(int Peers, int64_t Offset, int64_t From, int64_t Until) {
    int Asked = 0;
    for (int64_t Now = From; Now < Until; ++Now)
      for (int Peer = 0; Peer < Peers; ++Peer)
        if (Now % 500 == Peer * 500 / Peers)
          Asked +=
              this->offer("peer-" + std::to_string(Peer), true, Offset, Now)
                  ? 1
                  : 0;
    return Asked;
  }
};

} // namespace

Test(valuePull, ownReadBringsTheValues_asksNobody) {
  PullFixture Net;
  cr_assert_eq(Net.askedOf(133, 7, 0, 150), 0);
  Net.HaveOffset = 7;
  cr_assert_eq(Net.askedOf(133, 7, 150, 3'000), 0);
}

Test(valuePull, configurationOfferedByHundredsOfPeers_isAskedOfOne) {
  PullFixture Net;
  cr_assert_eq(Net.askedOf(133, 7, 0, 600), 1);
  Net.Pull.onAnswer(HostId{"peer-0"});
  Net.HaveOffset = 7;
  cr_assert_eq(Net.askedOf(133, 7, 600, 3'000), 0);
}

Test(valuePull, peerThatDoesNotAnswer_isFollowedByAnother) {
  PullFixture Net;
  // Bounded by the time for one answer each, whatever the number of peers.
  const int Asked = Net.askedOf(133, 7, 0, 2'500);
  cr_assert_geq(Asked, 3);
  cr_assert_leq(Asked, 5);
}

Test(valuePull, peerThatIsLost_isFollowedByAnotherAtOnce) {
  PullFixture Net;
  cr_assert_not(Net.offer("a", true, 7, 0));
  cr_assert(Net.offer("a", true, 7, 300));
  cr_assert_not(Net.offer("b", true, 7, 310));
  Net.Pull.onPeerLost(HostId{"a"});
  cr_assert(Net.offer("b", true, 7, 320));
}

Test(valuePull, peerOfAnotherRegion_isAskedOnlyIfNoNearOneOffers) {
  PullFixture Net;
  cr_assert_not(Net.offer("far", false, 7, 0));
  cr_assert_not(Net.offer("far", false, 7, 250));
  cr_assert(Net.offer("near", true, 7, 260));
  PullFixture Alone;
  cr_assert_not(Alone.offer("far", false, 7, 0));
  cr_assert(Alone.offer("far", false, 7, 500));
}

Test(valuePull, valuesThatArriveMeanwhile_startTheWaitAnew) {
  PullFixture Net;
  cr_assert_not(Net.offer("a", true, 7, 0));
  Net.HaveOffset = 7;
  cr_assert_not(Net.offer("a", true, 8, 300));
  cr_assert(Net.offer("a", true, 8, 600));
}

Test(valuePull, peerThatLags_isNeverAsked) {
  PullFixture Net;
  cr_assert_not(Net.offer("a", true, 5, 0));
  cr_assert_not(Net.offer("a", true, 6, 1'000));
}

Test(valuePull, valuesMayBeMissingBelowNewerOnes_peersAreAskedForAllInTurn) {
  PullFixture Net;
  Net.HaveOffset = 7;
  cr_assert_eq(Net.askedOf(3, 7, 0, 1'000), 0);
  Net.Pull.wantAll();
  cr_assert_eq(Net.askedOf(3, 7, 1'000, 1'500), 1);
  cr_assert(Net.Pull.asksForAll());
  Net.Pull.onAnswer(Net.LastAsked, false);
  cr_assert_eq(Net.askedOf(3, 7, 1'500, 2'000), 1);
  Net.Pull.onAnswer(Net.LastAsked, true);
  cr_assert_eq(Net.askedOf(3, 7, 2'000, 9'000), 0);
}

Test(valuePull, noPeerHasAMissingValue_eachIsAskedForAllOnce) {
  PullFixture Net;
  Net.HaveOffset = 7;
  Net.Pull.wantAll();
  for (int Round = 0; Round < 6; ++Round) {
    const int64_t From = Round * int64_t{500};
    const int Asked = Net.askedOf(3, 7, From, From + 500);
    cr_assert_leq(Asked, 1);
    cr_assert_eq(Asked == 1, Round < 3, "%d", Round);
    Net.Pull.onAnswer(Net.LastAsked, false);
  }
}
