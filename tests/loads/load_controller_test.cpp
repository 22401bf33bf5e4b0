/// @file
/// When engines load newer weights.

#include "core/loads/load_controller_base.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// All engines of a service, each with its controller; loads take as long as
/// they do when few engines load at once.
struct EnginesFixture {
  /// One engine.
  struct Engine {
    /// Its controller.
    LoadController Controller;
    /// What it says.
    EngineReport Report;
    /// When the load under way ends.
    Millis DoneAt{0};
    /// What is being loaded.
    LoadOrder Order;
    /// Loads so far.
    int Loads = 0;
  };

  /// The engines.
  std::vector<Engine> Engines;
  /// The time.
  Millis Now = seconds(100);
  /// Most engines that loaded at once.
  int MostAtOnce = 0;

  /// @param Count how many engines.
  /// @param Models their models, all at version 1.
  EnginesFixture(int64_t Count, const std::vector<std::string> &Models)
      : Engines(static_cast<size_t>(Count)) {
    for (int64_t Rank = 0; Rank < Count; ++Rank) {
      Engine &Each = this->Engines[static_cast<size_t>(Rank)];
      Each.Controller.placed(EnginePlace{Rank, Count}, this->Now);
      for (const std::string &Model : Models)
        Each.Report.Versions[Model] = 1;
    }
  }

  /// @param Model a model.
  /// @param Version its newest version.
  void name(const std::string &Model, int64_t Version) {
    for (Engine &Each : this->Engines)
      Each.Controller.named(Model, Version, this->Now);
  }

  /// Crashes all engines, which return at once with the versions they had.
  void crashAll() {
    for (Engine &Each : this->Engines) {
      Each.Report.Busy = false;
      Each.Report.Sequence = 0;
      Each.Controller.lost();
    }
  }

  /// Lets time pass.
  /// @param Span how long.
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
          Each.Controller.sent(this->Now);
          Each.Controller.answered(true, this->Now);
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

  /// @param Model a model.
  /// @param Version a version.
  /// @return engines that have it, or a newer one.
  int64_t with(const std::string &Model, int64_t Version) const {
    return std::ranges::count_if(this->Engines, [&](const Engine &Each) {
      return Each.Report.Versions.at(Model) >= Version;
    });
  }

  /// @return loads of all engines.
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

Test(loadController, versionNamedAlone_isAtHalfOfTheEnginesBeforeTheNextStep) {
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

Test(loadController, demandedVersion_isLoadedOutOfTurn) {
  EnginesFixture All(2, {"a"});
  All.name("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 2), 1, "one half waits for the next version");
  for (auto &Each : All.Engines)
    Each.Controller.demanded("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 2), 2);
}

Test(loadController, olderVersionNamedLate_changesNothing) {
  EnginesFixture All(2, {"a"});
  All.name("a", 3);
  All.name("a", 2);
  All.pass(seconds(4));
  cr_assert_eq(All.with("a", 3), 2);
}

Test(loadController, busyEngine_getsNoOrder) {
  LoadController Controller;
  Controller.placed(EnginePlace{0, 1}, seconds(1));
  Controller.named("a", 5, seconds(1));
  EngineReport Report;
  Report.Busy = true;
  Report.Versions["a"] = 1;
  cr_assert(!Controller.decide(Report, seconds(9)).has_value());
}

Test(loadController, unansweredOrder_isRepeatedWithTheSameSequence) {
  LoadController Controller;
  Controller.placed(EnginePlace{0, 1}, seconds(1));
  Controller.named("a", 5, seconds(1));
  EngineReport Report;
  Report.Sequence = 7;
  Report.Versions["a"] = 1;
  const auto First = Controller.decide(Report, seconds(9));
  cr_assert(First.has_value());
  Controller.sent(seconds(9));
  cr_assert(!Controller.decide(Report, seconds(9) + Millis{100}).has_value());
  const auto Second = Controller.decide(Report, seconds(10));
  cr_assert(Second.has_value());
  cr_assert_eq(Second->ExpectedSequence, 7,
               "whichever comes second finds another sequence");
}

Test(loadController, enginesThatCrashAgainAndAgain_loadNothingInVain) {
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

Test(loadController, enginesThatReturned_haveAllVersionsInTheTimeOfTheRule) {
  EnginesFixture Each(9, {"a", "b", "c"});
  constexpr Millis CalmWithoutEngine = seconds(5);
  for (const char *Model : {"a", "b", "c"})
    Each.name(Model, 4);
  Each.crashAll();
  Each.pass(CalmWithoutEngine);
  for (const char *Model : {"a", "b", "c"})
    cr_assert_gt(Each.with(Model, 4), 0);
}

Test(loadController, engineThatRestartedUnseen_waitsToo) {
  EnginesFixture Each(1, {"m"});
  Each.name("m", 4);
  Each.pass(Millis{200});
  cr_assert_eq(Each.Engines[0].Loads, 1);
  Each.Engines[0].Report.Busy = false;
  Each.Engines[0].Report.Sequence = 0;
  Each.pass(Millis{200});
  cr_assert_eq(Each.Engines[0].Loads, 1);
}

Test(loadController, changedPlace_countsOnlyAfterAWhile) {
  LoadController Controller;
  Controller.placed(EnginePlace{0, 9}, seconds(1));
  Controller.named("a", 2, seconds(1));
  EngineReport Report;
  Report.Versions = {{"a", 1}, {"b", 1}, {"c", 1}};
  Controller.placed(EnginePlace{1, 9}, seconds(2));
  cr_assert(Controller.decide(Report, seconds(2)).has_value(),
            "rank 0 keeps the first model in the half of even versions");
  cr_assert(!Controller.decide(Report, seconds(6)).has_value(),
            "rank 1 keeps the second and third model");
}
