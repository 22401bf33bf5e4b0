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
