/// @file
/// Tests of when engines load newer weights.

#include "core/loads/load_controller_base.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// All engines of a service, each with its controller. A load takes as long as
/// it does when few engines load at once.
struct EnginesFixture {
  /// One engine.
  struct Engine {
    LoadController Controller;
    EngineReport Report;
    /// When the current load ends.
    Millis DoneAt{0};
    /// The order being executed.
    LoadOrder Order;
    /// Loads started so far.
    int Loads = 0;
  };

  std::vector<Engine> Engines;
  Millis Now = seconds(100);
  /// Largest number of concurrent loads seen.
  int MostAtOnce = 0;

  /// @param Models the engines' models, all at version 1.
  EnginesFixture(int64_t Count, const std::vector<std::string> &Models)
      : Engines(static_cast<size_t>(Count)) {
    for (int64_t Rank = 0; Rank < Count; ++Rank) {
      Engine &Each = this->Engines[static_cast<size_t>(Rank)];
      Each.Controller.placeChanged(EnginePlace{Rank, Count}, this->Now);
      for (const std::string &Model : Models)
        Each.Report.Versions[Model] = 1;
    }
  }

  /// @param Version the version announced to all engines.
  void name(const std::string &Model, int64_t Version) {
    for (Engine &Each : this->Engines)
      Each.Controller.versionAnnounced(Model, Version, this->Now);
  }

  /// Crashes all engines, which restart at once with the versions they had.
  void crashAll() {
    for (Engine &Each : this->Engines) {
      Each.Report.Busy = false;
      Each.Report.Sequence = 0;
      Each.Controller.engineLost();
    }
  }

  /// Lets time pass.
  void pass(Millis Span) {
    constexpr Millis Step{50};
    constexpr Millis LoadTime{900};
    for (const Millis End = this->Now + Span; this->Now < End;
         this->Now += Step) {
      int Loading = 0;
      for (Engine &Each : this->Engines) {
        if (Each.Report.Busy && this->Now >= Each.DoneAt) {
          Each.Report.Busy = false;
          Each.Report.Versions[Each.Order.Model] = Each.Order.Version;
        }
        if (const auto Order = Each.Controller.decide(Each.Report, this->Now)) {
          Each.Controller.orderSent(this->Now);
          Each.Controller.orderAnswered(true, this->Now);
          Each.Order = *Order;
          Each.Report.Busy = true;
          ++Each.Report.Sequence;
          ++Each.Loads;
          Each.DoneAt = this->Now + LoadTime;
        }
        Loading += Each.Report.Busy ? 1 : 0;
      }
      this->MostAtOnce = std::max(this->MostAtOnce, Loading);
    }
  }

  /// @return number of engines with that or a newer version.
  int64_t with(const std::string &Model, int64_t Version) const {
    return std::ranges::count_if(this->Engines, [&](const Engine &Each) {
      return Each.Report.Versions.at(Model) >= Version;
    });
  }

  /// @return loads started by all engines.
  int loads() const {
    int Sum = 0;
    for (const Engine &Each : this->Engines)
      Sum += Each.Loads;
    return Sum;
  }
};

} // namespace

Test(loadController, threeModelsEachFourSeconds_someEnginesAlwaysServe) {
  const std::vector<std::string> Models{"a", "b", "c"};
  EnginesFixture All(9, Models);
  for (int64_t Version = 2; Version < 12; ++Version) {
    for (const std::string &Model : Models) {
      All.name(Model, Version);
      if (Version > 3)
        cr_assert(All.with(Model, Version - 1) >= 2,
                  "a step finds engines with the version before");
      All.pass(Millis{1'333});
    }
  }
  cr_assert(All.MostAtOnce <= 4, "%d loaded at once", All.MostAtOnce);
  const double APer = static_cast<double>(All.loads()) / (10 * 3);
  cr_assert(APer <= 3.5, "%f loads a version", APer);
}

Test(loadController,
     versionAnnouncedAlone_isAtHalfOfTheEnginesBeforeTheNextStep) {
  EnginesFixture All(9, {"a", "b"});
  All.name("a", 2);
  All.pass(Millis{3'400});
  cr_assert_geq(All.with("a", 2), 4);
  cr_assert(All.MostAtOnce <= 2, "%d loaded at once", All.MostAtOnce);
}

Test(loadController, twoModels_everyEngineKeepsBoth) {
  EnginesFixture All(9, {"a", "b"});
  for (int64_t Version = 2; Version < 8; ++Version) {
    All.name("a", Version);
    All.pass(seconds(2));
    All.name("b", Version);
    All.pass(seconds(2));
  }
  All.pass(seconds(6));
  cr_assert_eq(All.with("a", 6), 9);
  cr_assert_eq(All.with("b", 6), 9);
}

Test(loadController, oneEngine_keepsAllModels) {
  EnginesFixture All(1, {"a", "b", "c"});
  for (int64_t Version = 2; Version < 6; ++Version) {
    for (const char *Model : {"a", "b", "c"})
      All.name(Model, Version);
    All.pass(seconds(6));
  }
  for (const char *Model : {"a", "b", "c"})
    cr_assert_eq(All.with(Model, 4), 1);
}

Test(loadController, requiredVersion_isLoadedOutOfTurn) {
  EnginesFixture All(2, {"a"});
  All.name("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 2), 1, "one half waits for the next version");
  for (auto &Each : All.Engines)
    Each.Controller.versionRequired("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 2), 2);
}

Test(loadController, olderVersionAnnouncedLate_isIgnored) {
  EnginesFixture All(2, {"a"});
  All.name("a", 3);
  All.name("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 3), 2);
}

Test(loadController, busyEngine_getsNoOrder) {
  LoadController Controller;
  Controller.placeChanged(EnginePlace{0, 1}, seconds(1));
  Controller.versionAnnounced("a", 5, seconds(1));
  EngineReport Report;
  Report.Busy = true;
  Report.Versions["a"] = 1;
  cr_assert(!Controller.decide(Report, seconds(9)).has_value());
}

Test(loadController, unansweredOrder_isRepeatedWithTheSameSequence) {
  LoadController Controller;
  Controller.placeChanged(EnginePlace{0, 1}, seconds(1));
  Controller.versionAnnounced("a", 5, seconds(1));
  EngineReport Report;
  Report.Sequence = 7;
  Report.Versions["a"] = 1;
  const auto First = Controller.decide(Report, seconds(9));
  cr_assert(First.has_value());
  Controller.orderSent(seconds(9));
  cr_assert(!Controller.decide(Report, seconds(9) + Millis{100}).has_value());
  const auto Second = Controller.decide(Report, seconds(10));
  cr_assert(Second.has_value());
  cr_assert_eq(Second->ExpectedSequence, 7,
               "the order that arrives second has an outdated sequence");
}

Test(loadController, enginesThatCrashRepeatedly_loadNothing) {
  EnginesFixture Each(9, {"a", "b", "c"});
  constexpr int Crashes = 20;
  Each.crashAll();
  for (const char *Model : {"a", "b", "c"})
    Each.name(Model, 4);
  for (int Times = 0; Times < Crashes; ++Times) {
    Each.pass(Millis{600});
    Each.crashAll();
  }
  cr_assert_eq(Each.loads(), 0);
}

Test(loadController, restartedEngines_haveAllVersionsWithinFiveSeconds) {
  EnginesFixture Each(9, {"a", "b", "c"});
  constexpr Millis CalmWithoutEngine = seconds(5);
  for (const char *Model : {"a", "b", "c"})
    Each.name(Model, 4);
  Each.crashAll();
  Each.pass(CalmWithoutEngine);
  for (const char *Model : {"a", "b", "c"})
    cr_assert_gt(Each.with(Model, 4), 0);
}

Test(loadController, undetectedRestart_delaysLoadingToo) {
  EnginesFixture Each(1, {"m"});
  Each.name("m", 4);
  Each.pass(Millis{200});
  cr_assert_eq(Each.Engines[0].Loads, 1);
  Each.Engines[0].Report.Busy = false;
  Each.Engines[0].Report.Sequence = 0;
  Each.pass(Millis{200});
  cr_assert_eq(Each.Engines[0].Loads, 1);
}

Test(loadController, changedPlace_takesEffectAfterTheSettleTime) {
  LoadController Controller;
  Controller.placeChanged(EnginePlace{0, 9}, seconds(1));
  Controller.versionAnnounced("a", 2, seconds(1));
  EngineReport Report;
  Report.Versions = {{"a", 1}, {"b", 1}, {"c", 1}};
  Controller.placeChanged(EnginePlace{1, 9}, seconds(2));
  cr_assert(Controller.decide(Report, seconds(2)).has_value(),
            "rank 0 keeps the first model in the half of even versions");
  cr_assert(!Controller.decide(Report, seconds(6)).has_value(),
            "rank 1 keeps the second and third model");
}
