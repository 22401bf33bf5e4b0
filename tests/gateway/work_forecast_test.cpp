/// @file
/// Tests of the choice by remaining work.

#include "core/gateway/endpoint_pool_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// Engines of one service with six slots each, under RemainingWorkChoice.
struct ForecastFixture {
  EndpointPool Pool{Geography{"dc-a", {{"dc-a", "r1"}, {"dc-c", "r2"}}},
                    RemainingWorkChoice{}};
  Millis Now = seconds(100);
  ExpectedWork Work{WorkUnit::Events, 20, 5, 10, 0, 1};

  void add(const std::string &Name, const std::string &DataCentre = "dc-a") {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.Service = "s";
    Record.DataCentre = DataCentre;
    Record.Slots = 6;
    Record.ListenAddress = Address{Name, 80};
    this->Pool.put(std::move(Record));
  }

  void report(const std::string &Name, int64_t PaceMs, int64_t Running = 1,
              int64_t Waiting = 0) {
    EngineLoad Load;
    Load.Running = Running;
    Load.Waiting = Waiting;
    Load.PaceMs = PaceMs;
    this->Pool.loadReported(Address{Name, 80}, Load, this->Now);
  }

  WorkForecast at(const std::string &Name) const {
    return this->Pool.forecast(*this->Pool.find(EndpointId{Name}), this->Work,
                               this->Now);
  }

  EndpointQuery query() const {
    return EndpointQuery{"s", "", 0, {}, 0, this->Work};
  }

  /// @return how often an endpoint is chosen in a hundred draws.
  int chosen(const std::string &Name) {
    int Count = 0;
    for (int Draw = 0; Draw < 100; ++Draw) {
      this->Work.Draw = static_cast<uint64_t>(Draw);
      const EndpointState *Each = this->Pool.choose(this->query(), this->Now);
      Count += Each != nullptr && Each->Record.Id.Value == Name ? 1 : 0;
    }
    return Count;
  }
};

} // namespace

// Guards against a choice of slowed engines that this process has not used.
Test(workForecast, reportedPace_theFasterEngineIsChosen) {
  ForecastFixture Each;
  Each.add("slow");
  Each.add("fast");
  Each.report("slow", 150);
  Each.report("fast", 35);
  cr_assert_eq(Each.chosen("slow"), 0);
  cr_assert_eq(Each.at("fast").Source, PaceSource::Reported);
  cr_assert_gt(Each.at("slow").endMs(), 3 * Each.at("fast").endMs());
}

// Guards against work queued behind that of other gateways.
Test(workForecast, fullEngine_theWaitIsForecast) {
  ForecastFixture Each;
  Each.add("full");
  Each.report("full", 40, 6, 0);
  const double One = Each.at("full").WaitMs;
  Each.report("full", 40, 6, 5);
  cr_assert_gt(One, 0);
  cr_assert_float_eq(Each.at("full").WaitMs, 6 * One, 1);
  Each.report("full", 40, 3);
  cr_assert_float_eq(Each.at("full").WaitMs, 0, 0.01);
}

// Guards against work sent since the report that is not counted.
Test(workForecast, workSentSinceTheReport_counts) {
  ForecastFixture Each;
  Each.add("e");
  Each.report("e", 40, 5);
  const double Before = Each.at("e").endMs();
  for (int Count = 0; Count < 3; ++Count)
    Each.Pool.workStarted(EndpointId{"e"});
  cr_assert_gt(Each.at("e").endMs(), Before);
  cr_assert_gt(Each.at("e").WaitMs, 0);
}

// Guards against a lost loader: own runs, then the service's median and then
// the prior take the place of its reports.
Test(workForecast, reportTooOld_theNextBestSourceIsUsed) {
  ForecastFixture Each;
  Each.add("e");
  Each.add("other");
  cr_assert_eq(Each.at("e").Source, PaceSource::Prior);
  Each.report("e", 200);
  Each.Now += Millis{1'600};
  Each.Pool.paceMeasured(EndpointId{"e"}, Millis{60}, Each.Now);
  cr_assert_eq(Each.at("e").Source, PaceSource::Measured);
  cr_assert_lt(Each.at("e").RunMs, 20 * 70.0);
  cr_assert_eq(Each.at("other").Source, PaceSource::Median);
  cr_assert_float_eq(Each.at("other").RunMs, Each.at("e").RunMs, 100);
  Each.Now += seconds(10);
  cr_assert_eq(Each.at("e").Source, PaceSource::Prior);
  cr_assert_eq(Each.at("e").ViewAge, Millis{11'600});
}

// Guards against a report that says fast while this process's own runs there
// are slow.
Test(workForecast, reportContradictsOwnRuns_theyAreBelieved) {
  ForecastFixture Each;
  Each.add("e");
  for (int Count = 0; Count < 20; ++Count)
    Each.Pool.paceMeasured(EndpointId{"e"}, Millis{180}, Each.Now);
  Each.report("e", 5);
  cr_assert_eq(Each.at("e").Source, PaceSource::Measured);
  Each.Now += Millis{700};
  Each.report("e", 35);
  cr_assert_eq(Each.at("e").Source, PaceSource::Reported);
}

// Guards against times of whole requests that are taken for those of events.
Test(workForecast, plainRequestsAtAnEngine_doNotChangeItsPace) {
  ForecastFixture Each;
  Each.add("e");
  Each.Pool.paceMeasured(EndpointId{"e"}, Millis{40}, Each.Now);
  Each.Pool.workStarted(EndpointId{"e"});
  const double Before = Each.at("e").RunMs;
  Each.Pool.workEnded(EndpointId{"e"}, WorkOutcome::Answered, seconds(9),
                      Each.Now);
  cr_assert_float_eq(Each.at("e").RunMs, Before, 20);
}

// Guards against plain services, which have no loaders, being chosen without
// regard to their times.
Test(workForecast, plainService_slowEndpointIsAvoided) {
  ForecastFixture Each;
  Each.Work = ExpectedWork{WorkUnit::Millis, 30, 15, 30, 0, 1};
  for (const char *Name : {"a", "b", "slow"}) {
    Each.add(Name);
    const Millis Time{std::string_view(Name) == "slow" ? 150 : 25};
    for (int Count = 0; Count < 10; ++Count) {
      Each.Now += Millis{100};
      Each.Pool.workStarted(EndpointId{Name});
      Each.Pool.workEnded(EndpointId{Name}, WorkOutcome::Answered, Time,
                          Each.Now);
    }
  }
  cr_assert_eq(Each.chosen("slow"), 0);
}

// Guards against prompts and long ways that cost nothing.
Test(workForecast, promptAndDistance_addToTheTime) {
  ForecastFixture Each;
  Each.add("near");
  Each.add("far", "dc-c");
  cr_assert_gt(Each.at("far").RunMs, Each.at("near").RunMs + 20);
  const double Before = Each.at("near").RunMs;
  Each.Work.PromptTokens = 34'100;
  cr_assert_float_eq(Each.at("near").RunMs, Before + 100, 1);
}

// Guards against a service that is away in this region and chosen at random
// elsewhere.
Test(workForecast, onlyOtherRegions_theFastAreStillPreferred) {
  ForecastFixture Each;
  for (int Index = 0; Index < 10; ++Index) {
    const std::string Name = "e" + std::to_string(Index);
    Each.add(Name, "dc-c");
    Each.report(Name, Index == 0 ? 30 : 150);
  }
  cr_assert_gt(Each.chosen("e0"), 30);
}

// Guards against a fast endpoint that may not be chosen, and against giving up
// when the draws meet only such ones.
Test(workForecast, fewEligible_oneOfThemIsChosen) {
  ForecastFixture Each;
  for (int Index = 0; Index < 200; ++Index) {
    const std::string Name = "e" + std::to_string(Index);
    Each.add(Name);
    EndpointRecord Record = Each.Pool.find(EndpointId{Name})->Record;
    Record.Draining = Index != 77;
    Each.Pool.put(Record);
  }
  cr_assert_eq(Each.chosen("e77"), 100);
  Each.Pool.leavingSeen(EndpointLifetime{EndpointId{"e77"}, 0}, Each.Now);
  cr_assert(Each.Pool.choose(Each.query(), Each.Now) == nullptr);
}

// Guards against requests for a broken endpoint while a sound one is left, and
// against none while all have broken.
Test(workForecast, brokenEndpoints_areChosenOnlyIfAllAre) {
  ForecastFixture Each;
  for (int Index = 0; Index < 40; ++Index) {
    const std::string Name = "e" + std::to_string(Index);
    Each.add(Name);
    if (Index == 7)
      continue;
    Each.Pool.workStarted(EndpointId{Name});
    Each.Pool.workEnded(EndpointId{Name}, WorkOutcome::ConnectionBroken,
                        Millis{0}, Each.Now);
  }
  cr_assert_eq(Each.chosen("e7"), 100);
  Each.Pool.remove(EndpointId{"e7"});
  cr_assert(Each.Pool.choose(Each.query(), Each.Now) != nullptr);
}

// Guards against an endpoint that may not be chosen, and against no choice
// while the other policies find one.
Test(workForecast, anyEndpoints_theSameMayBeChosenAsUnderExpectedTime) {
  cr_assert(rc::check([] {
    const Geography Place{"dc-0", {{"dc-0", "r"}, {"dc-1", "r"}}};
    EndpointPool New(Place, RemainingWorkChoice{});
    EndpointPool Old(Place, ExpectedTimeChoice{});
    const Millis Now = seconds(100);
    const int Count = *rc::gen::inRange(0, 30);
    for (int Index = 0; Index < Count; ++Index) {
      EndpointRecord Record;
      Record.Id = EndpointId{std::to_string(Index)};
      Record.Service = *rc::gen::element<std::string>("s", "t");
      Record.DataCentre = *rc::gen::element<std::string>("dc-0", "dc-1", "x");
      Record.Draining = *rc::gen::arbitrary<bool>();
      Record.Versions["m"] = *rc::gen::inRange(1, 4);
      Record.Slots = 2;
      New.put(Record);
      Old.put(Record);
      for (int Work = *rc::gen::inRange(0, 4); Work > 0; --Work) {
        New.workStarted(Record.Id);
        Old.workStarted(Record.Id);
      }
    }
    EndpointQuery Query{"s",
                        "m",
                        *rc::gen::inRange(1, 4),
                        {EndpointId{"3"}},
                        *rc::gen::inRange(0, 2)};
    Query.Work.Draw = *rc::gen::arbitrary<uint64_t>();
    const EndpointState *Chosen = New.choose(Query, Now);
    RC_ASSERT((Chosen == nullptr) == (Old.choose(Query, Now) == nullptr));
    if (Chosen == nullptr)
      return;
    RC_ASSERT(Chosen->Record.Service == "s");
    RC_ASSERT(!Chosen->Record.Draining);
    RC_ASSERT(Chosen->Record.Id.Value != "3");
    RC_ASSERT(Chosen->Record.Versions.at("m") >= Query.MinVersion);
    RC_ASSERT(Query.MinFreeSlots == 0 || Chosen->Outstanding < 2);
  }));
}

// Guards against a run that stays on a slowed engine because this process has
// no measurement of the others, and against moves that gain little.
Test(workForecast, slowedEngine_theRunMovesByReports) {
  ForecastFixture Each;
  Each.add("slow");
  Each.add("fast");
  Each.report("slow", 160);
  Each.report("fast", 40);
  const EndpointState *Faster =
      Each.Pool.findFaster(EndpointId{"slow"}, Each.query(), Each.Now);
  cr_assert(Faster != nullptr);
  cr_assert(Faster->Record.Id.Value == "fast");
  cr_assert(Each.Pool.findFaster(EndpointId{"fast"}, Each.query(), Each.Now) ==
            nullptr);
  Each.report("slow", 60);
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Each.query(), Each.Now) ==
            nullptr);
}

// Guards against moving a run that is nearly done, whose prompt would have to
// be read again, and against moves by guesses.
Test(workForecast, nearlyDoneOrNothingKnown_theRunStays) {
  ForecastFixture Each;
  Each.add("slow");
  Each.add("fast");
  Each.report("slow", 160);
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Each.query(), Each.Now) ==
            nullptr);
  Each.report("fast", 40);
  Each.Work.Amount = 1;
  Each.Work.PromptTokens = 60'000;
  cr_assert(Each.Pool.findFaster(EndpointId{"slow"}, Each.query(), Each.Now) ==
            nullptr);
}
