/// @file
/// Tests of weight swaps: order, failure, silence, staggering, fencing.

#include "core/agent/weight_base.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// Drives a weight controller and keeps what it asked for.
struct WeightFixture {
  /// The controller under test.
  WeightController Weights{WeightSettings{
      .Endpoint = {"engine-1"}, .Model = "grind", .Policy = SwapAllAtOnce{}}};
  /// The present.
  Millis Now{1000};
  /// Orders sent.
  std::vector<SendOrder> Orders;
  /// Questions sent.
  std::vector<AskVersion> Questions;
  /// Whether a newer agent was met.
  bool Superseded = false;

  /// Hands an event in and keeps the actions.
  void handle(const WeightEvent &Event) {
    for (const WeightAction &Action : this->Weights.handle(Event, this->Now)) {
      if (const auto *Order = std::get_if<SendOrder>(&Action))
        this->Orders.push_back(*Order);
      if (const auto *Question = std::get_if<AskVersion>(&Action))
        this->Questions.push_back(*Question);
      this->Superseded |=
          std::holds_alternative<camphornotch::Superseded>(Action);
    }
  }

  /// Lets the next deadline pass.
  void tick() {
    this->Now = std::max(this->Now, this->Weights.nextDeadline());
    this->handle(WeightTick{});
  }

  /// Answers the last question.
  void answer(int64_t Version) {
    this->handle(VersionAnswered{this->Questions.back().Query, {Version}});
  }

  /// Boots with version 1 and sends the order for version 2.
  void orderSecond() {
    this->handle(WeightTick{});
    this->answer(1);
    this->handle(OrdersAllowed{LogOffset{42}});
    this->handle(WeightsAnnounced{{2}, "store/2"});
  }
};

/// @param Count how many.
/// @return the names of as many engines.
std::vector<EndpointId> makeEngines(int64_t Count) {
  std::vector<EndpointId> Ids;
  Ids.reserve(Count);
  for (int64_t Index = 0; Index < Count; ++Index)
    Ids.push_back(EndpointId{"engine-" + std::to_string(Index)});
  return Ids;
}

} // namespace

Test(weights, boot_unknown_version_asks_before_ordering) {
  WeightFixture Fix;
  Fix.handle(OrdersAllowed{LogOffset{42}});
  Fix.handle(WeightsAnnounced{{2}, "store/2"});
  cr_assert(Fix.Orders.empty() && Fix.Questions.size() == 1);
  cr_assert(!Fix.Weights.confirmed() && Fix.Weights.inDoubt());
  Fix.answer(1);
  cr_assert(Fix.Orders.size() == 1);
  cr_assert(Fix.Orders.front().Fence == LogOffset{42});
  cr_assert(!Fix.Weights.inDoubt());
}

Test(weights, boot_record_not_committed_sends_no_order) {
  WeightFixture Fix;
  Fix.handle(WeightTick{});
  Fix.answer(1);
  Fix.handle(WeightsAnnounced{{2}, "store/2"});
  cr_assert(Fix.Orders.empty());
}

Test(weights, order_done_confirms_version) {
  WeightFixture Fix;
  Fix.orderSecond();
  cr_assert(Fix.Weights.swapping());
  cr_assert(Fix.Weights.confirmed() == WeightVersion{1});
  Fix.handle(OrderDone{Fix.Orders.back().Order, {2}});
  cr_assert(Fix.Weights.confirmed() == WeightVersion{2});
  cr_assert(Fix.Weights.nextDeadline() == Never);
}

Test(weights, failed_swap_asks_then_retries_with_backoff) {
  WeightFixture Fix;
  Fix.orderSecond();
  Millis LastGap{0};
  for (int Failure = 0; Failure < 6; ++Failure) {
    const Millis FailedAt = Fix.Now;
    Fix.handle(OrderFailed{Fix.Orders.back().Order});
    cr_assert(Fix.Weights.inDoubt());
    Fix.answer(1);
    cr_assert(!Fix.Weights.inDoubt());
    Fix.tick();
    cr_assert(Fix.Now - FailedAt >= LastGap);
    LastGap = Fix.Now - FailedAt;
  }
  cr_assert(Fix.Orders.size() == 7);
  cr_assert(LastGap <= seconds(1));
}

Test(weights, unanswered_swap_leaves_label_in_doubt_until_confirmed) {
  WeightFixture Fix;
  Fix.orderSecond();
  Fix.tick();
  cr_assert(Fix.Weights.inDoubt() && Fix.Questions.size() == 2);
  Fix.answer(1);
  cr_assert(Fix.Weights.inDoubt(), "the order may still take effect");
  Fix.tick();
  cr_assert(Fix.Orders.size() == 2);
  Fix.handle(OrderDone{Fix.Orders.back().Order, {2}});
  cr_assert(!Fix.Weights.inDoubt());
  cr_assert(Fix.Weights.confirmed() == WeightVersion{2});
}

Test(weights, unanswered_swap_took_effect_is_not_repeated) {
  WeightFixture Fix;
  Fix.orderSecond();
  Fix.tick();
  Fix.answer(2);
  cr_assert(!Fix.Weights.inDoubt() && Fix.Orders.size() == 1);
}

Test(weights, late_answer_to_given_up_order_is_not_believed) {
  WeightFixture Fix;
  Fix.orderSecond();
  const int64_t Lost = Fix.Orders.back().Order;
  Fix.tick();
  Fix.answer(1);
  Fix.handle(OrderDone{Lost, {2}});
  cr_assert(Fix.Weights.confirmed() != WeightVersion{2});
  Fix.answer(2);
  cr_assert(Fix.Weights.confirmed() == WeightVersion{2});
}

Test(weights, stale_fence_stops_orders) {
  WeightFixture Fix;
  Fix.orderSecond();
  Fix.handle(OrderFailed{Fix.Orders.back().Order, true});
  Fix.answer(1);
  Fix.tick();
  cr_assert(Fix.Superseded && Fix.Orders.size() == 1);
}

Test(weights, paused_agent_sends_no_order_until_allowed_again) {
  WeightFixture Fix;
  Fix.handle(WeightTick{});
  Fix.answer(1);
  Fix.handle(OrdersAllowed{LogOffset{42}});
  Fix.handle(OrdersForbidden{});
  Fix.handle(WeightsAnnounced{{2}, "store/2"});
  cr_assert(Fix.Orders.empty());
  Fix.handle(OrdersAllowed{LogOffset{42}});
  cr_assert(Fix.Orders.size() == 1);
}

Test(weights, endpoint_restarted_asks_again) {
  WeightFixture Fix;
  Fix.orderSecond();
  Fix.handle(EndpointRestarted{});
  cr_assert(Fix.Weights.inDoubt() && !Fix.Weights.swapping());
  Fix.answer(2);
  cr_assert(Fix.Weights.confirmed() == WeightVersion{2});
}

Test(weights, endpoint_ahead_of_announcement_is_left_alone) {
  WeightFixture Fix;
  Fix.handle(WeightTick{});
  Fix.answer(5);
  Fix.handle(OrdersAllowed{LogOffset{42}});
  Fix.handle(WeightsAnnounced{{2}, "store/2"});
  cr_assert(Fix.Orders.empty() && Fix.Weights.nextDeadline() == Never);
}

Test(weights, older_announcement_is_ignored) {
  WeightFixture Fix;
  Fix.orderSecond();
  Fix.handle(WeightsAnnounced{{1}, "store/1"});
  cr_assert(Fix.Weights.wanted() == WeightVersion{2});
}

Test(weights, all_engines_swap_within_spread_and_share) {
  constexpr int64_t Engines = 5000;
  const SwapStaggered Policy;
  const std::vector<EndpointId> Ids = makeEngines(Engines);
  std::map<Millis, int64_t> Begun;
  for (int Rank = 0; Rank < Engines; ++Rank) {
    const WeightsAnnounced Announced{
        {3}, "store/3", static_cast<int>(Engines), Rank};
    const Millis Delay = swapDelay(Policy, Ids[Rank], Announced);
    cr_assert(Delay + Policy.ExpectedSwap <= seconds(14));
    ++Begun[Delay];
  }
  for (const auto &[Delay, Count] : Begun)
    cr_assert(Count * 100 <= Engines * Policy.MaxSwappingPercent);
}

Test(weights, ranks_are_a_permutation_that_changes_with_the_version) {
  cr_assert(rc::check("ranks", [] {
    const int Count = *rc::gen::inRange(1, 40);
    const WeightVersion Version{*rc::gen::inRange<int64_t>(1, 1000)};
    const std::vector<EndpointId> Ids = makeEngines(Count);
    std::vector<bool> Taken(Ids.size());
    for (const EndpointId &Id : Ids) {
      const int Rank = swapRank(Ids, Id, Version);
      RC_ASSERT(Rank >= 0 && Rank < Count);
      RC_ASSERT(!Taken[Rank]);
      Taken[Rank] = true;
    }
    RC_ASSERT(swapRank(Ids, EndpointId{"other"}, Version) == -1);
  }));
}
