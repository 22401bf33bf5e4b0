/// @file
/// Tests of the rollout scheduler.

#include "core/routing/rollout_scheduler_base.h"
#include "routing_fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// A scheduler over a small table.
struct SchedulerFixture : RoutingFixture {
  /// The scheduler under test.
  RolloutScheduler Scheduler{noLookahead(), this->Table, this->WorkIds, 1};

  /// @return settings under which nothing waits at the agents.
  static RolloutSettings noLookahead() {
    RolloutSettings Settings;
    Settings.Dispatch = LateDispatch{0};
    return Settings;
  }
  /// Patterns of the endpoints that new slots may use; empty: all.
  std::vector<std::string> Engines;

  /// @param Slot a slot number.
  /// @param Group its group.
  /// @return what the scheduler sends.
  std::vector<SendAttempt> need(int64_t Slot, const std::string &Group = "g") {
    RolloutSpec Spec;
    Spec.Slot.Value = Slot;
    Spec.Trainer.Value = "t";
    Spec.Model = "m";
    Spec.Group = Group;
    Spec.MaxTokens = 1000;
    Spec.Engines = this->Engines;
    return actionsOf<SendAttempt>(
        this->Scheduler.handle(SlotNeeded{Spec}, this->Now));
  }

  /// Advances the time and ticks.
  /// @param Span how far.
  /// @return what the scheduler asks for.
  std::vector<RolloutAction> tickAfter(Millis Span) {
    this->Now += Span;
    return this->Scheduler.handle(RolloutTick{}, this->Now);
  }
};

} // namespace

Test(rolloutScheduler, full_endpoints_leave_slots_waiting) {
  SchedulerFixture Fixture;
  Fixture.addEngine("a", "dc1", 10000, 2);
  size_t Sent = 0;
  for (int64_t Slot = 0; Slot < 5; ++Slot)
    Sent += Fixture.need(Slot).size();
  cr_assert(Sent == 2);
  cr_assert(Fixture.Scheduler.pending() == 3);
}

Test(rolloutScheduler, finished_attempt_makes_room_for_the_next_slot) {
  SchedulerFixture Fixture;
  Fixture.addEngine("a", "dc1", 10000, 1);
  const auto First = Fixture.need(1);
  cr_assert(Fixture.need(2).empty());
  Fixture.report(First[0].Endpoint, 10000, 1);
  const auto Next = actionsOf<SendAttempt>(Fixture.Scheduler.handle(
      AttemptFinished{First[0].Work, 100}, Fixture.Now));
  cr_assert(Next.size() == 1);
  cr_assert(Next[0].Slot.Value == 2);
}

Test(rolloutScheduler, slots_go_only_to_engines_that_are_allowed) {
  SchedulerFixture Fixture;
  const EndpointIndex A = Fixture.addEngine("grind-1", "dc1", 1000, 1);
  const EndpointIndex B = Fixture.addEngine("review-1", "dc1", 90000, 1);
  Fixture.Engines = {"review-*", "grind-9"};
  const auto First = Fixture.need(1);
  cr_assert(First.size() == 1);
  cr_assert(First[0].Endpoint == B);
  cr_assert(Fixture.need(2).empty());
  Fixture.report(A, 1000, 1);
  cr_assert(Fixture.Scheduler.handle(EndpointReported{A}, Fixture.Now).empty());
  Fixture.Engines = {};
  const auto Anywhere = Fixture.need(3);
  cr_assert(Anywhere.size() == 1);
  cr_assert(Anywhere[0].Endpoint == A);
  Fixture.report(B, 90000, 1);
  const auto Next = actionsOf<SendAttempt>(Fixture.Scheduler.handle(
      AttemptFinished{First[0].Work, 100}, Fixture.Now));
  cr_assert(Next.size() == 1);
  cr_assert(Next[0].Slot.Value == 2);
}

Test(rolloutScheduler, late_attempt_on_slowed_endpoint_moves_with_its_tokens) {
  SchedulerFixture Fixture;
  const EndpointIndex Slow = Fixture.addEngine("a", "dc1", 10000, 1);
  const auto First = Fixture.need(1);
  cr_assert(First[0].Endpoint == Slow);
  const EndpointIndex Fast = Fixture.addEngine("b", "dc1", 10000, 1);
  wire::LoadFigure Busy;
  Busy.Slots = 1;
  Busy.Running = 1;
  Busy.TokenMicros = 50000;
  Fixture.Table.noteLoad(Slow, Busy, Fixture.Now);
  const auto Stops = actionsOf<StopAttempt>(Fixture.tickAfter(seconds(1)));
  cr_assert(Stops.size() == 1);
  cr_assert(Stops[0].KeepTokens);
  AttemptRefused Stopped{First[0].Work, RefusalReason::Cancelled, {}, {}};
  Stopped.Kept.Tokens = 40;
  Stopped.Kept.Text = "so far";
  const auto Again =
      actionsOf<SendAttempt>(Fixture.Scheduler.handle(Stopped, Fixture.Now));
  cr_assert(Again.size() == 1);
  cr_assert(Again[0].Endpoint == Fast);
  cr_assert(Again[0].Kept.Tokens == 40);
}

Test(rolloutScheduler, unanswered_stop_is_hedged_elsewhere) {
  SchedulerFixture Fixture;
  const EndpointIndex Silent = Fixture.addEngine("a", "dc1", 10000, 1);
  Fixture.need(1);
  Fixture.addEngine("b", "dc1", 10000, 1);
  Fixture.Table.setReachable(Silent, false);
  const auto Actions = Fixture.tickAfter(seconds(1));
  cr_assert(actionsOf<SendAttempt>(Actions).size() == 1);
  cr_assert(actionsOf<CountRetry>(Actions)[0].Reason == RetryReason::Hedge);
}

Test(rolloutScheduler, winner_stops_the_other_attempt) {
  SchedulerFixture Fixture;
  const EndpointIndex Silent = Fixture.addEngine("a", "dc1", 10000, 1);
  const auto First = Fixture.need(1);
  Fixture.addEngine("b", "dc1", 10000, 1);
  Fixture.Table.setReachable(Silent, false);
  const auto Second = actionsOf<SendAttempt>(Fixture.tickAfter(seconds(1)));
  const auto Stops = actionsOf<StopAttempt>(Fixture.Scheduler.handle(
      AttemptFinished{Second[0].Work, 10}, Fixture.Now));
  cr_assert(Stops.size() == 1);
  cr_assert(Stops[0].Work == First[0].Work);
  cr_assert(Fixture.Scheduler.outstanding() == 0);
}

Test(rolloutScheduler, random_events_lose_no_slot) {
  const bool Held = rc::check("every needed slot is waiting or out", [] {
    SchedulerFixture Fixture;
    for (const char *Name : {"a", "b", "c"})
      Fixture.addEngine(Name);
    std::map<WorkId, SlotRef> Out;
    std::set<SlotRef> Open;
    const auto Take = [&](const std::vector<RolloutAction> &Actions) {
      for (const auto &Each : actionsOf<SendAttempt>(Actions))
        Out[Each.Work] = Each.Slot;
      for (const auto &Each : actionsOf<StopAttempt>(Actions))
        if (!Each.KeepTokens)
          Out.erase(Each.Work);
    };
    const auto Choices = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::arbitrary<uint8_t>());
    int64_t Next = 0;
    for (const uint8_t Choice : Choices) {
      Fixture.Now += Millis{Choice};
      if (Choice % 4 == 0 || Out.empty()) {
        RolloutSpec Spec;
        Spec.Slot.Value = Next++;
        Spec.Trainer.Value = "t";
        Spec.Model = "m";
        Spec.MaxTokens = 100;
        Open.insert(Spec.Slot);
        Take(Fixture.Scheduler.handle(SlotNeeded{Spec}, Fixture.Now));
        continue;
      }
      const auto [Work, Slot] = *Out.begin();
      Out.erase(Out.begin());
      if (Choice % 4 == 1) {
        Open.erase(Slot);
        Take(Fixture.Scheduler.handle(AttemptFinished{Work, 50}, Fixture.Now));
      } else {
        Take(Fixture.Scheduler.handle(
            AttemptRefused{Work, RefusalReason::QueueFull, {}, {}},
            Fixture.Now));
      }
      Take(Fixture.tickAfter(Millis{250}));
      RC_ASSERT(Fixture.Scheduler.outstanding() == Out.size());
      std::set<SlotRef> Running;
      for (const auto &Row : Out)
        Running.insert(Row.second);
      RC_ASSERT(Running.size() + Fixture.Scheduler.pending() == Open.size());
    }
  });
  cr_assert(Held);
}

Test(rolloutScheduler, slot_goes_on_within_age_bound_if_no_engine_gets_newer) {
  SchedulerFixture Fixture;
  Fixture.addEngine("a", "dc1", 10000, 1);
  RolloutSpec Spec;
  Spec.Slot.Value = 1;
  Spec.Trainer.Value = "t";
  Spec.Model = "m";
  Spec.MaxTokens = 100;
  Spec.MinVersion.Value = 5;
  Spec.OldestVersion.Value = 4;
  auto Actions = Fixture.Scheduler.handle(SlotNeeded{Spec}, Fixture.Now);
  int Refused = 0;
  // The weight store is out: the engine stays at version 4.
  while (Refused < 100) {
    const auto Sent = actionsOf<SendAttempt>(Actions);
    if (Sent.empty()) {
      Actions = Fixture.tickAfter(Millis{200});
      continue;
    }
    if (Sent[0].MinVersion.Value <= 4)
      break;
    ++Refused;
    const AttemptRefused TooOld{
        Sent[0].Work, RefusalReason::TooOld, Millis{500}, {}};
    Actions = Fixture.Scheduler.handle(TooOld, Fixture.Now);
    Fixture.report(Sent[0].Endpoint, 10000, 1);
  }
  // Newer weights are waited for at first: they spare a second run.
  cr_assert(Refused == 4);
  cr_assert(Fixture.Now < Millis{1000} + seconds(10));
}
