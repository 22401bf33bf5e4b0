/// @file
/// Tests of the refusal of requests that no endpoint can end in time.

#include "core/gateway/forward_plan_base.h"

#include <criterion/criterion.h>
#include <set>

using namespace camphornotch;

namespace {

/// Two engines with four slots and a long queue, and a request for them.
struct LateFixture {
  EndpointPool Pool;
  Millis Now = seconds(10);
  ForwardParams Params;

  explicit LateFixture(EndpointChoice Choice = RemainingWorkChoice{})
      : Pool(Geography{"dc", {}}, Choice) {
    for (const char *Name : {"a", "b"}) {
      EndpointRecord Record;
      Record.Id = EndpointId{Name};
      Record.Service = "s";
      Record.DataCentre = "dc";
      Record.Slots = 4;
      Record.ListenAddress = Address{Name, 80};
      this->Pool.put(std::move(Record));
      this->report(Name, 200);
    }
    this->Params.MatchedRoute.Kind = RouteKind::Idempotent;
    this->Params.MatchedRoute.Attempts = 2;
    this->Params.Service = "s";
    this->Params.ArrivedAt = this->Now;
    this->Params.Deadline = this->Now + Millis{1'000};
    this->Params.Work = ExpectedWork{WorkUnit::Events, 10, 3, 10, 0, 1};
  }

  void report(const std::string &Name, int64_t Waiting) {
    EngineLoad Load;
    Load.Running = 4;
    Load.Waiting = Waiting;
    Load.PaceMs = 40;
    this->Pool.loadReported(Address{Name, 80}, Load, this->Now);
  }

  /// @return the refusal; status 0: the plan does something else.
  EndRequest refusal() {
    ForwardPlan Plan(this->Params);
    const ForwardStep Step = Plan.next(this->Pool, this->Now);
    const auto *End = std::get_if<EndRequest>(&Step);
    return End == nullptr ? EndRequest{} : *End;
  }
};

} // namespace

// Guards against requests that wait for an answer that cannot come in time.
Test(lateRefusal, allQueuesTooLong_isRefusedAtOnceWithRetryAfter) {
  LateFixture Each;
  const EndRequest End = Each.refusal();
  cr_assert_eq(End.Status, 503);
  cr_assert_eq(End.Reason, ForecastReason);
  cr_assert_geq(End.RetryAfter, Millis{120});
  cr_assert_leq(End.RetryAfter, Millis{10'000});
}

// Guards against a refusal while one endpoint could end the request.
Test(lateRefusal, oneShortQueue_isSent) {
  LateFixture Each;
  Each.report("b", 1);
  cr_assert_eq(Each.refusal().Status, 0);
}

// Guards against refusing for ever by times that are learned from requests that
// are sent only.
Test(lateRefusal, noQueueButLongWork_isSent) {
  LateFixture Each;
  for (const char *Name : {"a", "b"}) {
    EngineLoad Load;
    Load.Running = 1;
    Load.PaceMs = 40;
    Each.Pool.loadReported(Address{Name, 80}, Load, Each.Now);
  }
  Each.Params.Work.Least = 500;
  cr_assert_eq(Each.refusal().Status, 0);
}

// Guards against callers that all come back at the same time.
Test(lateRefusal, differentDraws_spreadTheRetries) {
  LateFixture Each;
  std::set<Millis> Times;
  for (uint64_t Draw = 0; Draw < 20; ++Draw) {
    Each.Params.Work.Draw = Draw << 59;
    Times.insert(Each.refusal().RetryAfter);
  }
  cr_assert_gt(Times.size(), 10);
}

// Guards against refusals by guesses: no report and no measurement, or work of
// which nothing is known.
Test(lateRefusal, nothingKnown_isSent) {
  LateFixture Each;
  Each.Params.Work.Least = 0;
  cr_assert_eq(Each.refusal().Status, 0);
  LateFixture Old;
  Old.Now += seconds(5);
  Old.Params.Deadline = Old.Now + Millis{50};
  cr_assert_eq(Old.refusal().Status, 0);
}

// Guards against the status "not run" for a request that was sent.
Test(lateRefusal, requestThatWasSent_isNotRefusedByTheForecast) {
  LateFixture Each;
  Each.report("a", 0);
  Each.report("b", 0);
  ForwardPlan Plan(Each.Params);
  const ForwardStep First = Plan.next(Each.Pool, Each.Now);
  const auto *Send = std::get_if<SendAttempt>(&First);
  cr_assert(Send != nullptr);
  cr_assert(Send->Forecast.has_value());
  Plan.attemptStarted(Send->Endpoint, Each.Now);
  Each.report("a", 200);
  Each.report("b", 200);
  Plan.attemptEnded(Send->Endpoint, AttemptOutcome::Failed);
  const ForwardStep Second = Plan.next(Each.Pool, Each.Now);
  cr_assert(std::holds_alternative<SendAttempt>(Second));
}

// Guards against a refusal under the policies that do not forecast.
Test(lateRefusal, otherPolicies_sendAsBefore) {
  LateFixture Each(ExpectedTimeChoice{});
  cr_assert_eq(Each.refusal().Status, 0);
}
