/// @file
/// Tests of the estimates of remaining work.

#include "core/gateway/work_estimate_base.h"

#include <cmath>
#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

constexpr double PriorMean = 12;

/// @return lengths of items as the page of this work describes them: one in
///   twelve is five times as long.
double drawLength(std::mt19937_64 &Random) {
  const double Mean = Random() % 12 == 0 ? 45.0 : 9.0;
  std::exponential_distribution<double> Spread(1 / Mean);
  return std::clamp(std::ceil(Spread(Random)), 1.0, 148.0);
}

/// @return an estimator that learned such lengths, half of them with a hint
///   that is three times as long and off by up to twice.
WorkEstimator learnedEstimator() {
  WorkEstimator Estimator(PriorMean);
  std::mt19937_64 Random(3);
  for (int Count = 0; Count < 2'000; ++Count) {
    const double Length = drawLength(Random);
    const double Off = std::exp2(static_cast<double>(Random() % 3) - 1);
    Estimator.learn("r", Count % 2 == 0 ? std::lround(3 * Length * Off) : 0,
                    Length);
  }
  return Estimator;
}

} // namespace

// Guards against a start without an estimate, or one of nothing.
Test(workEstimator, routeNeverSeen_thePriorIsExpected) {
  const WorkEstimator Estimator(PriorMean);
  cr_assert_float_eq(Estimator.remaining({"r", 0, 0}), PriorMean, 0.01);
  cr_assert_float_eq(Estimator.remaining({"r", 400, 0}), PriorMean, 0.01);
}

// Guards against an estimate that stays at the prior.
Test(workEstimator, completedRequests_theirMeanIsExpected) {
  WorkEstimator Estimator(PriorMean);
  for (int Count = 0; Count < 400; ++Count)
    Estimator.learn("r", 0, Count % 2 == 0 ? 30 : 50);
  cr_assert_float_eq(Estimator.remaining({"r", 0, 0}), 40, 2);
  cr_assert_float_eq(Estimator.remaining({"other", 0, 0}), PriorMean, 0.01);
}

// Guards against a length that changed and is never unlearned.
Test(workEstimator, lengthsChange_theEstimateFollows) {
  WorkEstimator Estimator(PriorMean);
  for (int Count = 0; Count < 1'000; ++Count)
    Estimator.learn("r", 0, 10);
  for (int Count = 0; Count < 800; ++Count)
    Estimator.learn("r", 0, 60);
  cr_assert_gt(Estimator.remaining({"r", 0, 0}), 55);
}

// Guards against taking a long item that runs for one that is nearly done.
Test(workEstimator, longTail_remainingWorkGrowsWithWorkDone) {
  const WorkEstimator Estimator = learnedEstimator();
  double Before = 0;
  for (const double Done : {0.0, 10.0, 20.0, 30.0}) {
    const double Remaining = Estimator.remaining({"r", 0, Done});
    cr_assert_gt(Remaining, Before);
    Before = Remaining;
  }
}

// Guards against growth where there is no tail: equal lengths are known.
Test(workEstimator, equalLengths_remainingWorkShrinksWithWorkDone) {
  WorkEstimator Estimator(PriorMean);
  for (int Count = 0; Count < 500; ++Count)
    Estimator.learn("r", 0, 40);
  cr_assert_lt(Estimator.remaining({"r", 0, 30}), 14);
}

// Guards against hints that are ignored, and against taking their unit for
// that of the work.
Test(workEstimator, lengthHint_movesTheEstimate) {
  const WorkEstimator Estimator = learnedEstimator();
  const double Short = Estimator.remaining({"r", 12, 0});
  const double Long = Estimator.remaining({"r", 240, 0});
  cr_assert_lt(Short, 10);
  cr_assert_gt(Long, 50);
}

// Guards against an estimate that is no better than one number for all.
Test(workEstimator, hintedItems_errorIsBelowThatOfTheMean) {
  const WorkEstimator Estimator = learnedEstimator();
  std::mt19937_64 Random(4);
  double WithHint = 0;
  double WithMean = 0;
  for (int Count = 0; Count < 1'000; ++Count) {
    const double Length = drawLength(Random);
    const double Off = std::exp2(static_cast<double>(Random() % 3) - 1);
    const int64_t Hint = std::lround(3 * Length * Off);
    WithHint += std::abs(Estimator.remaining({"r", Hint, 0}) - Length);
    WithMean += std::abs(Estimator.remaining({"r", 0, 0}) - Length);
  }
  cr_assert_lt(WithHint, WithMean * 0.7, "%f %f", WithHint, WithMean);
}

// Guards against refusing requests for work that most of them do not have.
Test(workEstimator, leastRemaining_isBelowMostLengths) {
  const WorkEstimator Estimator = learnedEstimator();
  std::mt19937_64 Random(5);
  int Below = 0;
  for (int Count = 0; Count < 1'000; ++Count)
    Below += drawLength(Random) < Estimator.leastRemaining({"r", 0, 0}) ? 1 : 0;
  cr_assert_lt(Below, 200);
  cr_assert_gt(WorkEstimator(PriorMean).leastRemaining({"r", 0, 0}), 0);
}

// Guards against the forecast of a queue that takes all running work for new.
Test(workEstimator, typicalRemaining_isHalfOfEqualLengthsAndMoreOfLongTails) {
  WorkEstimator Equal(PriorMean);
  for (int Count = 0; Count < 1'000; ++Count)
    Equal.learn("r", 0, 40);
  cr_assert_float_eq(Equal.typicalRemaining("r"), 20, 1);
  const WorkEstimator Tailed = learnedEstimator();
  cr_assert_gt(Tailed.typicalRemaining("r"),
               Tailed.remaining({"r", 0, 0}) * 0.8);
}

// Guards against memory that grows with the names of routes.
Test(workEstimator, moreRoutesThanKept_theLeastRecentIsForgotten) {
  WorkEstimator Estimator(PriorMean);
  for (size_t Route = 0; Route <= WorkEstimator::MaxRoutes; ++Route)
    for (int Count = 0; Count < 50; ++Count)
      Estimator.learn("r" + std::to_string(Route), 0, 100);
  cr_assert_float_eq(Estimator.remaining({"r0", 0, 0}), PriorMean, 0.01);
  cr_assert_gt(Estimator.remaining({"r1", 0, 0}), 80);
}

// Guards against estimates that are no number, negative or beyond all that was
// ever seen, whatever was learned.
Test(workEstimator, anyHistory_estimatesAreFiniteAndBounded) {
  cr_assert(rc::check([] {
    WorkEstimator Estimator(PriorMean);
    const auto Totals =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 200'000));
    const auto Hint = *rc::gen::inRange<int64_t>(-10, 1'000'000);
    const auto Done = *rc::gen::inRange(0, 100'000);
    for (const int Total : Totals)
      Estimator.learn("r", Hint, Total);
    const WorkTraits Traits{"r", Hint, static_cast<double>(Done)};
    const double Remaining = Estimator.remaining(Traits);
    RC_ASSERT(std::isfinite(Remaining));
    RC_ASSERT(Remaining > 0);
    RC_ASSERT(Remaining <= 500'000);
    RC_ASSERT(Estimator.leastRemaining(Traits) > 0);
    RC_ASSERT(std::isfinite(Estimator.typicalRemaining("r")));
  }));
}
