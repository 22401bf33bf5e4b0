/// @file
/// Tests of the route controller.

#include "core/routing/route_controller_base.h"
#include "routing_fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// A route controller over a small table.
struct RouteFixture : RoutingFixture {
  /// The controller under test.
  RouteController Controller{RouteSettings{}, this->Table, this->WorkIds, 1};

  /// @param Number of the request.
  /// @param Repeatable whether it may run twice.
  /// @return what the controller asks for.
  std::vector<RouteAction> request(int64_t Number, bool Repeatable) {
    RouteSpec Spec;
    Spec.Request.Value = Number;
    Spec.Serves = "m";
    Spec.ExpectedTokens = 10;
    Spec.Repeatable = Repeatable;
    return this->Controller.handle(RouteRequested{Spec}, this->Now);
  }

  /// @param Work an attempt.
  /// @param Reason why it is refused.
  /// @param State whether it ran.
  /// @return what the controller asks for.
  std::vector<RouteAction> refuse(WorkId Work, RefusalReason Reason,
                                  RunState State) {
    Refusal Why;
    Why.Reason = Reason;
    Why.State = State;
    return this->Controller.handle(RouteRefused{Work, Why}, this->Now);
  }
};

/// @param Actions what a controller asked for.
/// @return the only attempt among them.
SendRequest onlySend(const std::vector<RouteAction> &Actions) {
  const auto Sends = actionsOf<SendRequest>(Actions);
  cr_assert(Sends.size() == 1);
  return Sends[0];
}

} // namespace

Test(routeController, no_endpoint_is_refused_as_not_run) {
  RouteFixture Fixture;
  const auto Refused = actionsOf<RefuseRoute>(Fixture.request(1, true));
  cr_assert(Refused.size() == 1);
  cr_assert(Refused[0].Why.Reason == RefusalReason::NoEndpoint);
  cr_assert(Refused[0].Why.State == RunState::NotRun);
}

Test(routeController, refusal_not_run_is_retried_on_another_endpoint) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, false));
  const auto Second = onlySend(
      Fixture.refuse(First.Work, RefusalReason::QueueFull, RunState::NotRun));
  cr_assert(Second.Endpoint != First.Endpoint);
}

Test(routeController, unrepeatable_request_is_not_retried_after_unknown) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, false));
  const auto Actions =
      Fixture.refuse(First.Work, RefusalReason::PeerLost, RunState::Unknown);
  cr_assert(actionsOf<SendRequest>(Actions).empty());
  const auto Refused = actionsOf<RefuseRoute>(Actions);
  cr_assert(Refused.size() == 1);
  cr_assert(Refused[0].Why.State == RunState::Unknown);
}

Test(routeController, not_run_after_an_unknown_attempt_stays_unknown) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, true));
  const auto Second = onlySend(Fixture.refuse(
      First.Work, RefusalReason::EndpointFailed, RunState::Unknown));
  const auto Refused = actionsOf<RefuseRoute>(
      Fixture.refuse(Second.Work, RefusalReason::QueueFull, RunState::NotRun));
  cr_assert(Refused.size() == 1);
  cr_assert(Refused[0].Why.State == RunState::Unknown);
}

Test(routeController, slow_repeatable_request_is_hedged_once) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto Warm = onlySend(Fixture.request(1, true));
  Fixture.Now += Millis{10};
  Fixture.Controller.handle(RouteFinished{Warm.Work}, Fixture.Now);
  const auto First = onlySend(Fixture.request(2, true));
  Fixture.Now = Fixture.Controller.nextDeadline();
  const auto Second =
      onlySend(Fixture.Controller.handle(RouteTick{}, Fixture.Now));
  cr_assert(Second.Endpoint != First.Endpoint);
  const auto Won =
      Fixture.Controller.handle(RouteFinished{Second.Work}, Fixture.Now);
  cr_assert(actionsOf<UseAnswer>(Won).size() == 1);
  cr_assert(actionsOf<StopRequest>(Won).size() == 1);
  cr_assert(Fixture.Controller.handle(RouteFinished{First.Work}, Fixture.Now)
                .empty());
}

Test(routeController, silent_endpoint_has_its_repeatable_work_sent_again) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto Repeatable = onlySend(Fixture.request(1, true));
  Fixture.Table.setReachable(Repeatable.Endpoint, false);
  const auto Again = onlySend(Fixture.Controller.handle(
      RouteEndpointSilent{Repeatable.Endpoint}, Fixture.Now));
  cr_assert(Again.Endpoint != Repeatable.Endpoint);
  const auto Late =
      Fixture.Controller.handle(RouteFinished{Repeatable.Work}, Fixture.Now);
  cr_assert(actionsOf<UseAnswer>(Late).size() == 1);
}

Test(routeController, silent_endpoint_keeps_its_unrepeatable_work) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, false));
  cr_assert(Fixture.Controller
                .handle(RouteEndpointSilent{First.Endpoint}, Fixture.Now)
                .empty());
}

Test(routeController, unrepeatable_request_is_never_hedged) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto Warm = onlySend(Fixture.request(1, true));
  Fixture.Controller.handle(RouteFinished{Warm.Work}, Fixture.Now);
  onlySend(Fixture.request(2, false));
  cr_assert(Fixture.Controller.nextDeadline() == Never);
}

Test(routeController, random_answers_end_each_request_once) {
  const bool Held = rc::check("one end for each request", [] {
    RouteFixture Fixture;
    for (const char *Name : {"a", "b", "c"})
      Fixture.addEngine(Name);
    std::vector<WorkId> Out;
    std::map<RequestRef, int> Ends;
    int64_t Requests = 0;
    const auto Take = [&](const std::vector<RouteAction> &Actions) {
      for (const auto &Each : actionsOf<SendRequest>(Actions))
        Out.push_back(Each.Work);
      for (const auto &Each : actionsOf<UseAnswer>(Actions))
        ++Ends[Each.Request];
      for (const auto &Each : actionsOf<RefuseRoute>(Actions))
        ++Ends[Each.Request];
    };
    const auto Choices = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::arbitrary<uint8_t>());
    for (const uint8_t Choice : Choices) {
      Fixture.Now += Millis{Choice % 64};
      Take(Fixture.Controller.handle(RouteTick{}, Fixture.Now));
      if (Choice % 3 == 0 || Out.empty()) {
        Take(Fixture.request(++Requests, Choice % 2 == 0));
        continue;
      }
      const WorkId Work = Out[Choice % Out.size()];
      if (Choice % 3 == 1)
        Take(Fixture.Controller.handle(RouteFinished{Work}, Fixture.Now));
      else
        Take(Fixture.refuse(Work, RefusalReason::EndpointFailed,
                            RunState::Unknown));
    }
    // Everything that is still out fails, more often than it can be retried.
    for (size_t Next = 0; Next < Out.size(); ++Next)
      Take(Fixture.refuse(Out[Next], RefusalReason::PeerLost,
                          RunState::Unknown));
    RC_ASSERT(Fixture.Controller.open() == 0U);
    RC_ASSERT(Ends.size() == static_cast<size_t>(Requests));
    for (const auto &Row : Ends)
      RC_ASSERT(Row.second == 1);
  });
  cr_assert(Held);
}

Test(routeController, begun_answer_outlives_its_endpoints_absence) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, true));
  Fixture.Controller.handle(RouteStarted{First.Work}, Fixture.Now);
  cr_assert(
      Fixture.Controller.handle(RouteEndpointGone{First.Endpoint}, Fixture.Now)
          .empty());
  const auto Refused = actionsOf<RefuseRoute>(
      Fixture.refuse(First.Work, RefusalReason::PeerLost, RunState::Unknown));
  cr_assert(Refused.size() == 1);
  cr_assert(Refused[0].Why.State == RunState::Unknown);
}

Test(routeController, answer_not_begun_moves_when_its_endpoint_is_gone) {
  RouteFixture Fixture;
  Fixture.addEngine("a");
  Fixture.addEngine("b");
  const auto First = onlySend(Fixture.request(1, true));
  const auto Second = onlySend(Fixture.Controller.handle(
      RouteEndpointGone{First.Endpoint}, Fixture.Now));
  cr_assert(Second.Endpoint != First.Endpoint);
}
