/// @file
/// Tests of the attempts of one request.

#include "core/gateway/forward_plan_base.h"

#include <criterion/criterion.h>
#include <optional>
#include <set>
#include <string>

using namespace camphornotch;

namespace {

/// Endpoints "a" and "b", and a plan for one request.
struct PlanFixture {
  EndpointPool Pool{Geography{"dc", {}}};
  Millis Now = seconds(10);
  ForwardParams Params;

  /// Registers the endpoints.
  PlanFixture() {
    this->add("a");
    this->add("b");
    this->Params.MatchedRoute.Kind = RouteKind::Idempotent;
    this->Params.MatchedRoute.Attempts = 2;
    this->Params.MatchedRoute.Objective = Millis{200};
    this->Params.Service = "s";
    this->Params.ArrivedAt = this->Now;
    this->Params.Deadline = this->Now + Millis{1000};
  }

  void add(const std::string &Name, const std::string &Software = "") {
    EndpointRecord Record;
    Record.Id = EndpointId{Name};
    Record.Software = Software;
    Record.Service = "s";
    Record.DataCentre = "dc";
    Record.Slots = 4;
    this->Pool.put(std::move(Record));
  }

  /// Starts an attempt if the plan asks for one.
  /// @return the endpoint; empty: no attempt.
  std::string send(ForwardPlan &Plan) {
    const ForwardStep Step = Plan.next(this->Pool, this->Now);
    const auto *Send = std::get_if<SendAttempt>(&Step);
    if (Send == nullptr)
      return "";
    Plan.attemptStarted(Send->Endpoint, this->Now);
    this->Pool.workStarted(Send->Endpoint);
    return Send->Endpoint.Value;
  }

  /// @return the status with which the request ends; 0: it does not end now.
  int status(ForwardPlan &Plan) {
    const ForwardStep Step = Plan.next(this->Pool, this->Now);
    const auto *End = std::get_if<EndRequest>(&Step);
    return End == nullptr ? 0 : End->Status;
  }
};

} // namespace

Test(forwardPlan, refusedNotRun_goesToAnotherEndpoint) {
  PlanFixture Each;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Refused);
  const std::string Second = Each.send(Plan);
  cr_assert(!Second.empty());
  cr_assert(First != Second);
  cr_assert(!Plan.mayHaveRun());
}

Test(forwardPlan, allRefuse_endsWith503InTimeToRetry) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::AtMostOnce;
  ForwardPlan Plan(Each.Params);
  int Status = 0;
  for (int Round = 0; Round < 40 && Status == 0; ++Round) {
    const std::string At = Each.send(Plan);
    if (!At.empty())
      Plan.attemptEnded(EndpointId{At}, AttemptOutcome::Refused);
    Status = Each.status(Plan);
    Each.Now += Millis{10};
  }
  cr_assert_eq(Status, 503);
  cr_assert(Each.Now <= Each.Params.ArrivedAt + Millis{100});
}

Test(forwardPlan, atMostOnce_mayHaveRun_isNeverSentAgainNorRefused) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::AtMostOnce;
  Each.Params.MatchedRoute.Attempts = 4;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Failed);
  cr_assert_eq(Each.status(Plan), 502);
}

Test(forwardPlan, atMostOnce_silent_endsWith504AtItsDeadline) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::AtMostOnce;
  ForwardPlan Plan(Each.Params);
  cr_assert(!Each.send(Plan).empty());
  Each.Now += Millis{900};
  cr_assert(Each.send(Plan).empty());
  cr_assert_eq(Each.status(Plan), 0);
  Each.Now = Each.Params.Deadline;
  cr_assert_eq(Each.status(Plan), 504);
}

Test(forwardPlan, idempotentAndSilent_secondEndpointAfterHalfTheObjective) {
  PlanFixture Each;
  Each.add("c");
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Each.Now += Millis{50};
  cr_assert(Each.send(Plan).empty());
  Each.Now += Millis{60};
  const std::string Second = Each.send(Plan);
  cr_assert(!Second.empty());
  cr_assert(First != Second);
  Each.Now += Millis{500};
  cr_assert(Each.send(Plan).empty(), "no more endpoints than attempts");
}

Test(forwardPlan, attemptsThatMayHaveRun_areNeverMoreThanAllowed) {
  PlanFixture Each;
  Each.add("c");
  ForwardPlan Plan(Each.Params);
  for (int Times = 0; Times < 2; ++Times) {
    const std::string At = Each.send(Plan);
    cr_assert(!At.empty());
    Plan.attemptEnded(EndpointId{At}, AttemptOutcome::Failed);
  }
  cr_assert_eq(Each.status(Plan), 502);
}

Test(forwardPlan, connectionNotMade_doesNotCountAsAnAttempt) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::AtMostOnce;
  Each.Params.MatchedRoute.Attempts = 1;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::NotSent);
  cr_assert(!Each.send(Plan).empty());
}

Test(forwardPlan, noEndpoint_isRefusedAtOnceWithRetryAfter) {
  PlanFixture Each;
  Each.Params.Service = "unknown";
  ForwardPlan Plan(Each.Params);
  const ForwardStep Step = Plan.next(Each.Pool, Each.Now);
  const auto *End = std::get_if<EndRequest>(&Step);
  cr_assert(End != nullptr);
  cr_assert_eq(End->Status, 503);
  cr_assert(End->RetryAfter > Millis{0});
}

Test(forwardPlan, endpointError_isRelayedWhenNothingBetterCame) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Attempts = 1;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Errored);
  const ForwardStep Step = Plan.next(Each.Pool, Each.Now);
  cr_assert(std::holds_alternative<PassFailure>(Step));
}

Test(forwardPlan, nonResumableStream_getsNoSecondEndpoint) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::Stream;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Each.Now += Millis{400};
  cr_assert(Each.send(Plan).empty());
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Failed);
  cr_assert_eq(Each.status(Plan), 502);
}

Test(forwardPlan, resumableStream_continuesElsewhereAfterABreak) {
  PlanFixture Each;
  Each.Params.MatchedRoute.Kind = RouteKind::Stream;
  Each.Params.MatchedRoute.Resumable = true;
  ForwardPlan Plan(Each.Params);
  const std::string First = Each.send(Plan);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Failed);
  const std::string Second = Each.send(Plan);
  cr_assert(!Second.empty());
  cr_assert(First != Second);
}

// Guards against streams that go on at an endpoint of another software.
Test(forwardPlan, streamThatBroke_goesOnAtTheSameSoftwareOnly) {
  PlanFixture Net;
  Net.add("a", "v1");
  Net.add("b", "v2");
  Net.add("c", "v1");
  Net.Params.MatchedRoute.Kind = RouteKind::Stream;
  Net.Params.MatchedRoute.Resumable = true;
  Net.Params.MatchedRoute.Attempts = 3;
  Net.Params.Software = "v1";
  ForwardPlan Plan(Net.Params);
  std::set<std::string> Sent;
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    const std::string Endpoint = Net.send(Plan);
    Sent.insert(Endpoint);
    Plan.attemptEnded(EndpointId{Endpoint}, AttemptOutcome::Failed);
  }
  cr_expect(Sent == (std::set<std::string>{"a", "c"}));
  Net.Now = Net.Params.Deadline - Millis{10};
  cr_expect(Net.send(Plan).empty());
}

Test(forwardPlan, streamOfUnknownSoftware_goesOnNowhere) {
  PlanFixture Net;
  Net.Params.MatchedRoute.Kind = RouteKind::Stream;
  Net.Params.MatchedRoute.Resumable = true;
  ForwardPlan Plan(Net.Params);
  const std::string First = Net.send(Plan);
  Plan.streamBegan(std::nullopt);
  Plan.attemptEnded(EndpointId{First}, AttemptOutcome::Failed);
  const ForwardStep Step = Plan.next(Net.Pool, Net.Now);
  cr_assert(std::holds_alternative<EndRequest>(Step));
  cr_expect_eq(std::get<EndRequest>(Step).Status, 502);
}
