/// @file
/// Tests of the measurement of an engine's pace.

#include "core/loads/engine_pace_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// Reports of an engine whose runs all make an event in the same time.
struct PaceFixture {
  EnginePace Pace;
  Millis Now = seconds(50);
  /// Events made so far by run "a"; run "b" has made one more.
  double Made = 1;

  void reports(int Count, double EventMs, Millis Interval = Millis{200}) {
    for (; Count > 0; --Count) {
      this->Now += Interval;
      this->Made += static_cast<double>(Interval.Count) / EventMs;
      const auto Whole = static_cast<int64_t>(this->Made);
      const std::vector<EngineRun> Runs{{"a", Whole}, {"b", Whole + 1}};
      this->Pace.reported(Runs, this->Now);
    }
  }

  int64_t paceMs() const { return this->Pace.paceMs(this->Now); }
};

} // namespace

// Guards against a pace that counts the events of all runs together.
Test(enginePace, twoRuns_theTimeBetweenTwoEventsOfOneIsMeasured) {
  PaceFixture Each;
  Each.reports(5, 40);
  cr_assert_float_eq(static_cast<double>(Each.paceMs()), 40, 2);
}

// Guards against a slowed engine that keeps its old pace: two reports show it.
Test(enginePace, engineSlowsDown_twoReportsShowIt) {
  PaceFixture Each;
  Each.reports(10, 40);
  Each.reports(2, 200);
  cr_assert_gt(Each.paceMs(), 90);
  Each.reports(4, 40);
  cr_assert_lt(Each.paceMs(), 50);
}

// Guards against taking an engine that makes no events for one that is not
// measured.
Test(enginePace, noEventsInTime_thePaceIsAtLeastThatTime) {
  PaceFixture Each;
  Each.reports(3, 1'000);
  cr_assert_geq(Each.paceMs(), 400);
}

// Guards against a pace from runs of which the start is not known, which
// looks too fast or too slow.
Test(enginePace, newAndRestartedRuns_areNotMeasured) {
  EnginePace Pace;
  const std::vector<EngineRun> Before{{"a", 0}, {"b", 9}};
  const std::vector<EngineRun> After{{"a", 3}, {"b", 2}, {"c", 30}};
  Pace.reported(Before, Millis{1'000});
  Pace.reported(After, Millis{1'200});
  cr_assert_eq(Pace.paceMs(Millis{1'200}), 0);
}

// Guards against an old pace that is passed on as the present one.
Test(enginePace, noRunsForAWhile_thePaceIsNotKnown) {
  PaceFixture Each;
  Each.reports(5, 40);
  Each.Pace.reported({}, Each.Now + Millis{200});
  cr_assert_gt(Each.Pace.paceMs(Each.Now + Millis{200}), 0);
  cr_assert_eq(Each.Pace.paceMs(Each.Now + Millis{1'600}), 0);
}

// Guards against a pace made of the time in which the loader was suspended or
// its engine was away.
Test(enginePace, longGapOrLostEngine_isNotMeasured) {
  PaceFixture Each;
  Each.reports(5, 40);
  Each.reports(1, 1'000, seconds(5));
  cr_assert_eq(Each.paceMs(), 0);
  Each.reports(3, 40);
  cr_assert_gt(Each.paceMs(), 0);
  Each.Pace.reset();
  cr_assert_eq(Each.paceMs(), 0);
}

// Guards against a division by zero, an overflow or a pace out of range.
Test(enginePace, anyReports_thePaceIsInRange) {
  cr_assert(rc::check([] {
    EnginePace Pace;
    Millis Now{1'000};
    for (int Report = 0; Report < 20; ++Report) {
      Now += Millis{*rc::gen::inRange(0, 3'000)};
      std::vector<EngineRun> Runs;
      for (int Run = *rc::gen::inRange(0, 5); Run > 0; --Run)
        Runs.push_back({std::to_string(*rc::gen::inRange(0, 4)),
                        *rc::gen::inRange<int64_t>(0, 1'000'000'000)});
      Pace.reported(Runs, Now);
      RC_ASSERT(Pace.paceMs(Now) >= 0);
      RC_ASSERT(Pace.paceMs(Now) <= 10'000);
    }
  }));
}
