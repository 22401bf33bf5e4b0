/// @file
/// Real gateways before engines that say in their answers that they leave.

#include "process_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A configuration with a route of each kind of request.
constexpr const char *ConfigText = R"({"version":1,"routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":3000,"target_latency_ms":200,"attempts":2},
  {"name":"u","host":"h","path_prefix":"/u/","kind":"unsafe","service":"s",
   "timeout_ms":3000,"target_latency_ms":200,"attempts":2},
  {"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","service":"s",
   "timeout_ms":3000,"target_latency_ms":200,"attempts":2},
  {"name":"r","host":"h","path_prefix":"/roll/","kind":"rollout","service":"s",
   "timeout_ms":10000,"target_latency_ms":400,"attempts":3},
  {"name":"c","host":"h","path_prefix":"/score/","kind":"safe","service":"s",
   "timeout_ms":3000,"target_latency_ms":200,"attempts":2}],
 "services":[{"name":"s"}],"limits":{}})";

/// Two gateways and two engines; the nearer one, which gets all requests, is
/// going to leave.
struct LeavingFixture {
  ProcessFixture Net{2, ConfigText};
  FakeEngine Leaver{this->Net.Events};
  FakeEngine Stayer{this->Net.Events};

  LeavingFixture() {
    this->Net.add("i-leaver", this->Leaver);
    this->Net.add("i-stayer", this->Stayer, "far");
    for (size_t At = 0; At < this->Net.Gateways.size(); ++At) {
      const size_t Before = this->Leaver.Runs.size();
      cr_assert(turnUntil(this->Net.Events, [&] {
        this->Net.ask(At, "/a/x");
        return this->Leaver.Runs.size() > Before;
      }));
    }
  }

  /// Sends requests of all kinds to all gateways.
  /// @return how many were answered by an engine.
  int askAll(int Rounds) {
    int Answered = 0;
    for (int Round = 0; Round < Rounds; ++Round)
      for (size_t At = 0; At < this->Net.Gateways.size(); ++At)
        for (const char *Path : {"/a/x", "/u/x", "/s/x"})
          Answered += this->Net.ask(At, Path).Status == 200 ? 1 : 0;
    return Answered;
  }

  /// Submits single items, so that both owners of partitions get some.
  /// @return whether all of them get a result.
  bool submitItems(const std::string &Prefix) {
    constexpr int Submissions = 12;
    bool Complete = true;
    for (int Index = 0; Index < Submissions; ++Index) {
      const std::string Id = Prefix + std::to_string(Index);
      HttpCall Call = GatewayFixture::submission(Id, 1);
      Call.Target = this->Net.Gateways[0]->front();
      Call.Host = "h";
      Complete &=
          answerTo(this->Net.Events, this->Net.Caller, Call).Status == 202;
    }
    for (int Index = 0; Index < Submissions; ++Index)
      Complete &= turnUntil(this->Net.Events, [&] {
        const HttpResponse Answer =
            this->Net.ask(0, "/-/lots/" + Prefix + std::to_string(Index));
        return Answer.Body.find("completed") != std::string::npos;
      });
    return Complete;
  }
};

} // namespace

// Guards against requests to an endpoint that has said that it leaves, while
// the directory goes on to say "ready" or is away.
Test(leavingProcess, answersSayThatItLeaves_eachGatewayStopsSendingThere) {
  for (const bool StoreIsAway : {false, true}) {
    LeavingFixture Run;
    Run.Net.Store.Silent = StoreIsAway;
    Run.Leaver.Leaving = true;
    // Each gateway learns from an answer of its own.
    Run.askAll(1);
    const size_t Before = Run.Leaver.Runs.size();
    if (!StoreIsAway)
      Run.Net.add("i-leaver", Run.Leaver);
    Run.Net.runFor(Millis{300});
    constexpr int Rounds = 10;
    cr_expect_eq(Run.askAll(Rounds), Rounds * 6);
    cr_expect_eq(Run.Leaver.Runs.size(), Before);
  }
}

Test(leavingProcess, allEndpointsLeave_callersAreRefusedAtOnce) {
  LeavingFixture Run;
  for (FakeEngine *Engine : {&Run.Leaver, &Run.Stayer})
    Engine->Leaving = true;
  Run.askAll(1);
  for (const char *Path : {"/a/x", "/u/x", "/s/x"}) {
    const HttpResponse Answer = Run.Net.ask(0, Path);
    cr_expect_eq(Answer.Status, 503);
    cr_expect(!findHeader(Answer.Headers, "retry-after").empty());
  }
}

// Guards against items and scoring calls at an engine that leaves: each owner
// of partitions learns from its own items.
Test(leavingProcess, itemsOfBothOwners_goElsewhereAfterTheFirst) {
  LeavingFixture Run;
  const size_t AtFirst = Run.Leaver.Runs.size();
  Run.Leaver.Leaving = true;
  cr_assert(Run.submitItems("first-"));
  const size_t Runs = Run.Leaver.Runs.size();
  cr_assert_gt(Runs, AtFirst);
  const int ScoringCalls = Run.Leaver.ScoringCalls;
  cr_assert(Run.submitItems("then-"));
  cr_expect_eq(Run.Leaver.Runs.size(), Runs);
  cr_expect_eq(Run.Leaver.ScoringCalls, ScoringCalls);
}
