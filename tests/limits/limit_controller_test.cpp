/// @file
/// The controller that keeps what clients make a process hold within limits.

#include "core/limits/limit_controller_base.h"
#include "core/limits/limit_rules_func.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

constexpr int64_t MB = 1'000'000;

/// A controller with a budget and at most four connections of callers, three of
/// them from one address.
struct LimitFixture {
  LimitController Limits{LimitRules{.HeldBytes = MB,
                                    .Connections = {4, 2, 2},
                                    .PerAddress = {3, 0, 0},
                                    .MinRequestRate = 1000,
                                    .RateGrace = Millis{5'000},
                                    .UnreadGrace = Millis{1'000}}};

  LimitController::OpenDecision open(uint64_t Id, uint32_t Address,
                                     ClientPort Port = ClientPort::Callers) {
    return this->Limits.open(ConnectionId{Id}, Port, Address, Millis{0});
  }

  void receive(uint64_t Id, int64_t Bytes, Millis Now) {
    this->Limits.input(ConnectionId{Id}, Bytes, true, Now);
  }

  /// @return the connection to end; 0: none.
  uint64_t next(Millis Now, int64_t Needed = 0) const {
    const auto End = this->Limits.nextToEnd(Needed, Now);
    return End.has_value() ? End->Id.Value : 0;
  }
};

} // namespace

// Guards against ending anyone while the memory suffices.
Test(limitController, withinBudget_endsNothing) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.receive(1, 900'000, Millis{0});
  cr_assert_eq(Fix.next(Millis{100'000}), 0);
}

// Guards against an incomplete request that stalls and outlives one that goes
// on arriving.
Test(limitController, overBudget_endsTheOneLongestWithoutProgress) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.open(2, 2);
  Fix.receive(1, 400'000, Millis{0});
  Fix.receive(2, 700'000, Millis{3'000});
  cr_assert_eq(Fix.next(Millis{3'000}), 1);
  Fix.receive(1, 400'001, Millis{3'000});
  cr_assert_eq(Fix.next(Millis{3'000}), 2);
}

// Guards against ending complete requests, which will be answered.
Test(limitController, overBudgetByCompleteRequests_endsNothing) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.receive(1, 100'000, Millis{0});
  Fix.Limits.requestBegan(ConnectionId{1});
  Fix.Limits.hold(2 * MB);
  cr_assert_eq(Fix.next(Millis{100'000}), 0);
  cr_assert_not(Fix.Limits.fits(0));
  Fix.Limits.hold(-2 * MB);
  Fix.Limits.requestEnded(ConnectionId{1}, 0, Millis{1});
  Fix.Limits.close(ConnectionId{1});
  cr_assert_eq(Fix.Limits.held(), 0);
}

// Guards against a connection with several requests at a time whose incomplete
// ones are safe behind a complete one.
Test(limitController, multiplexedConnection_isEndedDespiteAnOpenRequest) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.Limits.multiplexes(ConnectionId{1});
  Fix.Limits.requestBegan(ConnectionId{1});
  Fix.receive(1, 2 * MB, Millis{0});
  cr_assert_eq(Fix.next(Millis{0}), 1);
}

// Guards against ending a response that its client is reading.
Test(limitController, unreadResponse_isEndedOnlyWithoutProgress) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.Limits.requestBegan(ConnectionId{1});
  Fix.Limits.unread(ConnectionId{1}, 900'000, false, Millis{0});
  cr_assert_eq(Fix.next(Millis{999}, 200'000), 0);
  cr_assert_eq(Fix.next(Millis{1'000}, 200'000), 1);
  Fix.Limits.unread(ConnectionId{1}, -1, true, Millis{1'000});
  cr_assert_eq(Fix.next(Millis{1'500}, 200'000), 0);
}

// Guards against idle connections that keep new clients out, and against one
// address that pushes out the others.
Test(limitController, allConnectionsTaken_theLargestClientsIdleOneMakesRoom) {
  LimitFixture Fix;
  for (const uint64_t Id : {1, 2, 3})
    cr_assert(Fix.open(Id, 7).IsAdmitted);
  Fix.open(4, 8);
  const auto New = Fix.open(5, 9);
  cr_assert(New.IsAdmitted);
  cr_assert_eq(New.End->Id, ConnectionId{1});
  Fix.Limits.close(ConnectionId{1});
  cr_assert_eq(Fix.Limits.connections(ClientPort::Callers), 4);
}

Test(limitController, addressHasItsConnections_itsOwnIdleOneMakesRoom) {
  LimitFixture Fix;
  for (const uint64_t Id : {1, 2, 3})
    Fix.open(Id, 7);
  Fix.receive(1, 10, Millis{0});
  const auto New = Fix.open(4, 7);
  cr_assert_eq(New.End->Id, ConnectionId{2});
}

// Guards against ending a connection that is in use for a new one.
Test(limitController, noConnectionIsIdle_theNewOneIsRefused) {
  LimitFixture Fix;
  for (const uint64_t Id : {1, 2, 3, 4}) {
    Fix.open(Id, static_cast<uint32_t>(Id));
    Fix.Limits.requestBegan(ConnectionId{Id});
  }
  cr_assert_not(Fix.open(5, 5).IsAdmitted);
  cr_assert_not(Fix.Limits.isKnown(ConnectionId{5}));
  cr_assert(Fix.open(6, 5, ClientPort::Peers).IsAdmitted);
}

// Guards against requests that arrive byte by byte for ever, and against ending
// one whose rate suffices or that is in its grace time.
Test(limitController, requestBelowTheRate_isSlow) {
  LimitFixture Fix;
  Fix.open(1, 1);
  Fix.open(2, 2);
  Fix.receive(1, 500, Millis{0});
  Fix.receive(2, 5'000, Millis{0});
  cr_assert(Fix.Limits.slow(Millis{5'000}).empty());
  const std::vector<ConnectionId> Slow = Fix.Limits.slow(Millis{6'000});
  cr_assert_eq(Slow.size(), 1);
  cr_assert_eq(Slow[0], ConnectionId{1});
}

// Guards against a smallest host on which a largest body does not fit.
Test(limitRules, smallestHost_holdsOneLargestBody) {
  CommonSettings Settings;
  Settings.MemoryMb = 120;
  Settings.FileDescriptors = 3075;
  constexpr int64_t LargestBody = 32 << 20;
  const LimitRules Rules = limitRules(Settings, LargestBody);
  cr_assert_gt(Rules.HeldBytes, LargestBody + MB);
  cr_assert_lt(Rules.HeldBytes + LargestBody, 120 * MB);
  cr_assert_eq(Rules.Connections[0], 1537);
  cr_assert_eq(limitRules(CommonSettings{}, LargestBody).HeldBytes, 0);
}

// Guards against bytes that are counted but never released, connections that
// are counted twice, and a budget that stays exceeded although an incomplete
// request could be ended.
Test(limitController, anyEvents_keepTheAccount) {
  const bool Holds = rc::check("account", [] {
    LimitFixture Fix;
    struct Model {
      int64_t Input = 0;
      int64_t Unread = 0;
      int Requests = 0;
    };
    std::map<uint64_t, Model> Open;
    Millis Now{0};
    uint64_t LastId = 0;
    const auto Steps = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 1 << 20));
    for (const int Step : Steps) {
      Now = Now + Millis{Step % 700};
      const int Kind = Step % 6;
      if (Kind == 0 || Open.empty()) {
        const auto Decision =
            Fix.Limits.open(ConnectionId{++LastId}, ClientPort::Callers,
                            static_cast<uint32_t>(Step % 3), Now);
        if (Decision.End.has_value()) {
          const Model &Ended = Open.at(Decision.End->Id.Value);
          RC_ASSERT(Ended.Requests == 0 && Ended.Input == 0);
          Fix.Limits.close(Decision.End->Id);
          Open.erase(Decision.End->Id.Value);
        }
        if (Decision.IsAdmitted)
          Open[LastId];
        continue;
      }
      auto At =
          std::next(Open.begin(), Step / 6 % static_cast<int>(Open.size()));
      const ConnectionId Id{At->first};
      Model &Of = At->second;
      if (Kind == 1) {
        Of.Input = Step;
        Fix.Limits.input(Id, Step, true, Now);
      } else if (Kind == 2) {
        ++Of.Requests;
        Fix.Limits.requestBegan(Id);
      } else if (Kind == 3 && Of.Requests > 0) {
        --Of.Requests;
        Of.Input = 0;
        Fix.Limits.requestEnded(Id, 0, Now);
      } else if (Kind == 4) {
        const int64_t Added = Step % 2 == 0 ? Step : -Of.Unread;
        Of.Unread += Added;
        Fix.Limits.unread(Id, Added, Added < 0, Now);
      } else if (Kind == 5) {
        Fix.Limits.close(Id);
        Open.erase(At);
      }
      while (const auto End = Fix.Limits.nextToEnd(0, Now)) {
        const Model &Ended = Open.at(End->Id.Value);
        if (End->Reason == LimitReason::Incomplete)
          RC_ASSERT(Ended.Requests == 0 && Ended.Input > 0);
        else
          RC_ASSERT(Ended.Unread > 0);
        Fix.Limits.close(End->Id);
        Open.erase(End->Id.Value);
      }
      RC_ASSERT(Fix.Limits.connections(ClientPort::Callers) ==
                static_cast<int64_t>(Open.size()));
      RC_ASSERT(Open.size() <= 4);
    }
    for (const auto &[Id, Of] : Open)
      Fix.Limits.close(ConnectionId{Id});
    RC_ASSERT(Fix.Limits.held() == 0);
  });
  cr_assert(Holds);
}
