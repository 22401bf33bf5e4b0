/// @file
/// Tests of the endpoint pool and its choice policies.

#include "core/gateway/endpoint_pool_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A pool of one service's endpoints in three data centres and two regions.
struct PoolFixture {
  EndpointPool Pool{
      Geography{"dc-a", {{"dc-a", "r1"}, {"dc-b", "r1"}, {"dc-c", "r2"}}}};
  Millis Now = seconds(100);

  /// Registers an endpoint.
  /// @param Version its version of model "m"; 0: a plain service.
  void add(const std::string &Name, const std::string &DataCentre,
           int64_t Version = 0) {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.Service = "s";
    Record.DataCentre = DataCentre;
    Record.Slots = 2;
    Record.ListenAddress =
        Address{"10.0.0." + std::to_string(++this->Last), 80};
    if (Version > 0)
      Record.Versions["m"] = Version;
    this->Pool.put(std::move(Record));
  }

  /// Registers the lifetime of an endpoint that began at that time.
  void addLifetime(const std::string &Name, int64_t StartedAtMs,
                   const std::string &Ip = "10.0.0.9") {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.StartedAtMs = StartedAtMs;
    Record.Service = "s";
    Record.DataCentre = "dc-a";
    Record.ListenAddress = Address{Ip, 80};
    this->Pool.put(std::move(Record));
  }

  /// @return the chosen endpoint's id; empty: none.
  std::string chosen(const EndpointQuery &Query = {"s", "", 0, {}, 0}) {
    const EndpointState *State = this->Pool.choose(Query, this->Now);
    return State == nullptr ? "" : State->Record.Id.Value;
  }

  /// Sends one request to an endpoint, which answers it.
  void answer(const std::string &Name, Millis Elapsed) {
    this->Pool.workStarted(EndpointId{Name});
    this->Pool.workEnded(EndpointId{Name}, WorkOutcome::Answered, Elapsed,
                         this->Now);
  }

private:
  /// Number of addresses assigned.
  int Last = 0;
};

} // namespace

Test(endpointPool, nothingMeasured_theNearestIsChosen) {
  PoolFixture Each;
  Each.add("far", "dc-c");
  Each.add("near", "dc-b");
  Each.add("here", "dc-a");
  cr_assert(Each.chosen() == "here");
}

Test(endpointPool, nearestIsSlowed_anotherOfTheRegionIsChosen) {
  PoolFixture Each;
  Each.add("near", "dc-b");
  Each.add("here", "dc-a");
  Each.answer("near", Millis{25});
  for (int Times = 0; Times < 20; ++Times)
    Each.answer("here", Millis{120});
  cr_assert(Each.chosen() == "near");
}

Test(endpointPool, oldMeasurement_isIgnored) {
  PoolFixture Each;
  Each.add("near", "dc-b");
  Each.add("here", "dc-a");
  Each.answer("near", Millis{25});
  for (int Times = 0; Times < 20; ++Times)
    Each.answer("here", Millis{120});
  Each.Now += seconds(10);
  cr_assert(Each.chosen() == "here");
}

Test(endpointPool, drainingEndpoint_isNotChosen) {
  PoolFixture Each;
  Each.add("here", "dc-a");
  EndpointRecord Record = Each.Pool.find(EndpointId{"here"})->Record;
  Record.Draining = true;
  cr_assert(Each.Pool.put(Record));
  cr_assert(Each.chosen().empty());
}

Test(endpointPool, newRunWithTheSameId_startsWithFreshState) {
  PoolFixture Each;
  Each.add("here", "dc-a");
  Each.Pool.workStarted(EndpointId{"here"});
  EndpointRecord Record = Each.Pool.find(EndpointId{"here"})->Record;
  Record.StartedAtMs = 5;
  cr_assert(Each.Pool.put(Record));
  cr_assert_eq(Each.Pool.find(EndpointId{"here"})->Outstanding, 0);
}

Test(endpointPool, brokenEndpoint_isAvoidedForAWhile) {
  PoolFixture Each;
  Each.add("near", "dc-b");
  Each.add("here", "dc-a");
  Each.Pool.workStarted(EndpointId{"here"});
  Each.Pool.workEnded(EndpointId{"here"}, WorkOutcome::ConnectionBroken,
                      Millis{0}, Each.Now);
  cr_assert(Each.chosen() == "near");
  Each.Now += seconds(5);
  cr_assert(Each.chosen() == "here");
}

Test(endpointPool, brokenEndpoint_isChosenIfItIsTheOnlyOne) {
  PoolFixture Each;
  Each.add("here", "dc-a");
  Each.Pool.workStarted(EndpointId{"here"});
  Each.Pool.workEnded(EndpointId{"here"}, WorkOutcome::ConnectionBroken,
                      Millis{0}, Each.Now);
  cr_assert(Each.chosen() == "here");
}

Test(endpointPool, olderVersion_isNotEligible) {
  PoolFixture Each;
  Each.add("old", "dc-a", 3);
  Each.add("new", "dc-c", 4);
  cr_assert(Each.chosen({"s", "m", 4, {}, 0}) == "new");
  cr_assert(Each.chosen({"s", "m", 5, {}, 0}).empty());
}

Test(endpointPool, engineThatLoadsTheModel_isNotEligible) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.LoadingModel = "m";
  Load.Versions["m"] = 3;
  Each.Pool.loadReported(
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress, Load, Each.Now);
  cr_assert(Each.chosen({"s", "m", 3, {}, 0}).empty());
  cr_assert(!Each.chosen({"s", "", 0, {}, 0}).empty());
}

Test(endpointPool, workOfOtherGateways_countsAgainstSlots) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.Running = 2;
  Load.Versions["m"] = 3;
  const Address EngineAddress =
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress;
  Each.Pool.loadReported(EngineAddress, Load, Each.Now);
  cr_assert(Each.chosen({"s", "m", 3, {}, 1}).empty());
  Load.Running = 1;
  Each.Pool.loadReported(EngineAddress, Load, Each.Now);
  cr_assert(Each.chosen({"s", "m", 3, {}, 1}) == "here");
  cr_assert(Each.chosen({"s", "m", 3, {}, 2}).empty());
  Load.Running = 0;
  Each.Pool.loadReported(EngineAddress, Load, Each.Now);
  cr_assert(Each.chosen({"s", "m", 3, {}, 2}) == "here");
}

Test(endpointPool, staleReport_isNotUsed) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.Running = 2;
  Load.Versions["m"] = 3;
  Each.Pool.loadReported(
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress, Load, Each.Now);
  Each.Now += seconds(5);
  cr_assert(Each.chosen({"s", "m", 3, {}, 1}) == "here");
}

Test(endpointPool, loaderLostDuringALoad_doesNotExcludeTheEngine) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.LoadingModel = "m";
  Load.Versions["m"] = 3;
  Each.Pool.loadReported(
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress, Load, Each.Now);
  Each.Now += seconds(5);
  cr_assert(Each.chosen({"s", "m", 3, {}, 1}) == "here");
}

Test(endpointPool, loaderLostBeforeAVersion_theRegisteredVersionCounts) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.Versions["m"] = 3;
  Each.Pool.loadReported(
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress, Load, Each.Now);
  EndpointRecord Newer = Each.Pool.find(EndpointId{"here"})->Record;
  Newer.Versions["m"] = 4;
  Each.Pool.put(Newer);
  Each.Now += seconds(5);
  cr_assert(Each.chosen({"s", "m", 4, {}, 1}) == "here");
  cr_assert_eq(Each.Pool.newestVersion("s", "m", Each.Now), 4);
}

Test(endpointPool,
     loaderLostAfterAVersion_itsReportOutweighsAnOlderRegistration) {
  PoolFixture Each;
  Each.add("here", "dc-a", 3);
  EngineLoad Load;
  Load.Versions["m"] = 4;
  Each.Pool.loadReported(
      Each.Pool.find(EndpointId{"here"})->Record.ListenAddress, Load, Each.Now);
  Each.Now += seconds(5);
  cr_assert(Each.chosen({"s", "m", 4, {}, 1}) == "here");
}

Test(endpointPool, slowPace_findsAFasterEngineWithAFreeSlot) {
  PoolFixture Each;
  Each.add("slow", "dc-a", 3);
  Each.add("fast", "dc-b", 3);
  for (int Times = 0; Times < 20; ++Times) {
    Each.Pool.paceMeasured(EndpointId{"slow"}, Millis{120}, Each.Now);
    Each.Pool.paceMeasured(EndpointId{"fast"}, Millis{40}, Each.Now);
  }
  const EndpointQuery Query{"s", "m", 3, {}, 1};
  const EndpointState *Other =
      Each.Pool.findFaster(EndpointId{"slow"}, Query, Each.Now);
  cr_assert(Other != nullptr);
  cr_assert(Other->Record.Id.Value == "fast");
  cr_assert(Each.Pool.findFaster(EndpointId{"fast"}, Query, Each.Now) ==
            nullptr);
  Each.Pool.workStarted(EndpointId{"fast"});
  Each.Pool.workStarted(EndpointId{"fast"});
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Query, Each.Now) ==
            nullptr);
}

Test(endpointPool, misdirectedEndpoint_isAvoidedLongerThanAFullOne) {
  PoolFixture Each;
  Each.add("stale", "dc-a", 3);
  Each.Pool.workStarted(EndpointId{"stale"});
  Each.Pool.workEnded(EndpointId{"stale"}, WorkOutcome::Misdirected, Millis{0},
                      Each.Now);
  Each.Now += seconds(1);
  cr_assert(Each.chosen({"s", "m", 3, {}, 1}).empty());
}

Test(endpointPool, engineHalfAsFastAgain_isWorthMovingALongStream) {
  PoolFixture Each;
  Each.add("slow", "dc-a", 3);
  Each.add("fast", "dc-b", 3);
  for (int Times = 0; Times < 20; ++Times) {
    Each.Pool.paceMeasured(EndpointId{"slow"}, Millis{60}, Each.Now);
    Each.Pool.paceMeasured(EndpointId{"fast"}, Millis{40}, Each.Now);
  }
  const EndpointQuery Query{"s", "m", 3, {}, 1};
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Query, Each.Now) !=
            nullptr);
  for (int Times = 0; Times < 20; ++Times)
    Each.Pool.paceMeasured(EndpointId{"slow"}, Millis{50}, Each.Now);
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Query, Each.Now) ==
                nullptr,
            "healthy engines differ by as much");
}

Test(endpointChoice, roundRobin_takesEachEndpointOnce) {
  EndpointPool Pool{Geography{"dc-a", {}}, parseEndpointChoice("round_robin")};
  for (const char *Name : {"a", "b", "c"}) {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.Service = "s";
    Record.Slots = 8;
    Pool.put(std::move(Record));
  }
  std::set<EndpointId> Chosen;
  for (int Count = 0; Count < 3; ++Count) {
    const EndpointState *At = Pool.choose({"s", "", 0, {}, 0}, seconds(1));
    Chosen.insert(At->Record.Id);
    Pool.workStarted(At->Record.Id);
    Pool.workEnded(At->Record.Id, WorkOutcome::Answered, Millis{5}, seconds(1));
  }
  cr_assert_eq(Chosen.size(), 3U);
}

Test(endpointChoice, leastOutstanding_ignoresMeasuredTimes) {
  EndpointPool Pool{Geography{"dc-a", {}},
                    parseEndpointChoice("least_outstanding")};
  for (const char *Name : {"a", "b"}) {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.Service = "s";
    Record.Slots = 8;
    Pool.put(std::move(Record));
  }
  Pool.workStarted(EndpointId{"a"});
  Pool.workStarted(EndpointId{"b"});
  Pool.workStarted(EndpointId{"b"});
  // The endpoint with less outstanding work is slower; the policy ignores that.
  Pool.paceMeasured(EndpointId{"a"}, Millis{900}, seconds(1));
  Pool.paceMeasured(EndpointId{"b"}, Millis{10}, seconds(1));
  cr_assert_eq(Pool.choose({"s", "", 0, {}, 0}, seconds(1))->Record.Id.Value,
               "a");
}

// Guards against work for an endpoint that has said that it leaves.
Test(endpointPool, leavingEndpoint_isNotChosenWhateverTheDirectorySays) {
  PoolFixture Each;
  Each.addLifetime("e", 7);
  cr_assert(
      Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e"}, 7}, Each.Now));
  cr_assert_not(
      Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e"}, 7}, Each.Now));
  cr_assert(Each.chosen().empty());
  Each.addLifetime("e", 7);
  cr_assert(Each.chosen().empty());
  Each.Pool.remove(EndpointId{"e"});
  Each.addLifetime("e", 7);
  cr_assert(Each.chosen().empty());
  Each.addLifetime("e", 8);
  cr_assert(Each.chosen() == "e");
}

Test(endpointPool, lifetimeThatIsNotThereYet_isMarkedOnceItComes) {
  PoolFixture Each;
  Each.addLifetime("e", 8);
  Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e"}, 7}, Each.Now);
  cr_assert(Each.chosen() == "e");
  Each.addLifetime("e", 7);
  cr_assert(Each.chosen().empty());
}

Test(endpointPool, leavingEndpointWithoutAStartTime_anotherAddressIsFree) {
  PoolFixture Each;
  Each.addLifetime("e", 0);
  Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e"}, 0}, Each.Now);
  Each.addLifetime("e", 0);
  cr_assert(Each.chosen().empty());
  Each.addLifetime("e", 0, "10.0.0.10");
  cr_assert(Each.chosen() == "e");
}

Test(endpointPool, marksOfLifetimesThatAreGone_areDropped) {
  PoolFixture Each;
  Each.addLifetime("stays", 1);
  Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"stays"}, 1}, Each.Now);
  constexpr int64_t Many = 20'000;
  for (int64_t Started = 1; Started <= Many; ++Started)
    Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e"}, Started},
                          Each.Now + Millis{Started});
  cr_assert_leq(Each.Pool.leavingMarks(), 10'000U);
  Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"last"}, 1},
                        Each.Now + seconds(1'000));
  cr_assert_leq(Each.Pool.leavingMarks(), 2U);
  cr_assert(Each.chosen().empty());
}
