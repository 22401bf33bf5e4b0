/// @file
/// The HTTP server and client under the limits of a process.

#include "base/clock_func.h"
#include "net/client_limits_base.h"
#include "net_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

constexpr size_t MB = 1'000'000;

/// A server and a client that share a budget.
struct LimitedFixture {
  Loop Events;
  std::shared_ptr<ClientLimits> Limits;
  HttpHandler Handler = [](const std::shared_ptr<HttpExchange> &Exchange) {
    HttpResponse Echo;
    Echo.Body = Exchange->request().Body;
    Exchange->answer(Echo);
  };
  std::unique_ptr<HttpServer> Server;
  HttpClient Client{this->Events};

  explicit LimitedFixture(const LimitRules &Rules)
      : Limits(std::make_shared<ClientLimits>(this->Events, Rules)) {
    HttpServerConfig Config;
    Config.MaxBodyBytes = 40 * MB;
    Config.Limits = this->Limits;
    Config.IncompleteRefusal.Status = 503;
    Config.IncompleteRefusal.Headers = {{"retry-after", "1"}};
    Config.SlowRefusal.Status = 408;
    auto Made = HttpServer::listen(
        this->Events, Config,
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->Handler(Exchange);
        });
    this->Server = std::move(Made.value());
  }

  HttpResponse ask(const std::string &Body) {
    HttpCall Call;
    Call.Target = HttpTarget{"127.0.0.1", this->Server->port()};
    Call.Method = "POST";
    Call.Body = Body;
    Call.MaxBodyBytes = 40 * MB;
    return answerTo(this->Events, this->Client, std::move(Call));
  }

  bool waitFor(PlainSocket &Socket, const std::string &Text) {
    return turnUntil(this->Events, [&] {
      return Socket.received().find(Text) != std::string::npos;
    });
  }
};

std::string post(const std::string &Headers) {
  return "POST / HTTP/1.1\r\nhost: h\r\n" + Headers + "\r\n\r\n";
}

} // namespace

// Guards against bytes lost or zeroed when a body leaves the library's buffer,
// and when a large answer is sent in parts.
Test(clientLimits, largeBodyBothWays_staysTheSame) {
  LimitedFixture Net(LimitRules{.HeldBytes = 100 * MB});
  std::string Body(5 * MB + 17, '\0');
  for (size_t At = 0; At < Body.size(); ++At)
    Body[At] = static_cast<char>('a' + At * 7 % 26);
  for (int Times = 0; Times < 2; ++Times) {
    const HttpResponse Answer = Net.ask(Body);
    cr_assert_eq(Answer.Status, 200);
    cr_assert(Answer.Body == Body);
  }
}

// Guards against counted bytes that are never released.
Test(clientLimits, afterAllRequests_nothingButConnectionsIsHeld) {
  LimitedFixture Net(LimitRules{.HeldBytes = 100 * MB});
  const int64_t Before = Net.Limits->controller().held();
  for (const size_t Size : {size_t{0}, size_t{10}, MB, 3 * MB})
    cr_assert_eq(Net.ask(std::string(Size, 'x')).Body.size(), Size);
  Net.Client.closeIdle(HttpTarget{"127.0.0.1", Net.Server->port()});
  cr_assert(turnUntil(
      Net.Events, [&] { return Net.Limits->controller().held() == Before; }));
}

// Guards against requests that are lost because reads are taken over: pipelined
// ones, and one whose client waits for the interim response.
Test(clientLimits, pipelinedAndExpectingClients_areAnswered) {
  LimitedFixture Net(LimitRules{.HeldBytes = 100 * MB});
  PlainSocket Pipelined(Net.Server->port());
  Pipelined.send(post("content-length: 5") + "first" +
                 post("content-length: 6") + "second" +
                 post("content-length: 5") + "th");
  cr_assert(Net.waitFor(Pipelined, "second"));
  Pipelined.send("ird");
  cr_assert(Net.waitFor(Pipelined, "third"));
  PlainSocket Expecting(Net.Server->port());
  Expecting.send(post("content-length: 4\r\nexpect: 100-continue"));
  cr_assert(Net.waitFor(Expecting, " 100 "));
  Expecting.send("body");
  cr_assert(Net.waitFor(Expecting, "body"));
}

// Guards against an incomplete request that runs although it was refused, and
// against a refusal that does not reach its client.
Test(clientLimits, bodyThatStallsUnderPressure_isRefusedAndNeverRuns) {
  LimitedFixture Net(LimitRules{.HeldBytes = 2 * MB});
  PlainSocket Stalled(Net.Server->port());
  Stalled.send(post("content-length: 200000") + std::string(199'999, 'x'));
  turnUntil(Net.Events,
            [&] { return Net.Limits->controller().held() > 200'000; });
  const auto Refused = [&] {
    return Net.Limits->controller().count(LimitReason::Incomplete) > 0;
  };
  int Runs = 0;
  const HttpHandler Echo = Net.Handler;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &Exchange) {
    ++Runs;
    Echo(Exchange);
  };
  Net.Limits->hold(2 * MB);
  cr_assert(Net.Limits->reserve(0));
  cr_assert(Refused());
  Stalled.send("x");
  cr_assert(turnUntil(Net.Events, [&] { return Stalled.ended(); }));
  cr_assert_neq(Stalled.received().find(" 503 "), std::string::npos);
  cr_assert_neq(Stalled.received().find("retry-after: 1"), std::string::npos);
  Net.Limits->hold(-static_cast<int64_t>(2 * MB));
  cr_assert_eq(Net.ask("small").Body, "small");
  cr_assert_eq(Runs, 1);
}

// Guards against bodies that arrive byte by byte for ever.
Test(clientLimits, bodyBelowTheRate_gets408) {
  LimitedFixture Net(LimitRules{.HeldBytes = 2 * MB,
                                .MinRequestRate = 1'000'000,
                                .RateGrace = Millis{50}});
  PlainSocket Slow(Net.Server->port());
  Slow.send(post("content-length: 1000"));
  cr_assert(turnUntil(Net.Events, [&] {
    Slow.send("x");
    return Slow.ended();
  }));
  cr_assert_neq(Slow.received().find(" 408 "), std::string::npos);
}

// Guards against answers that are collected although they do not fit, and
// against calls that wait for ever once they do.
Test(clientLimits, answerThatDoesNotFit_waitsUntilItDoes) {
  LimitedFixture Net(LimitRules{.HeldBytes = 4 * MB});
  HttpClient Waiting(Net.Events);
  auto Short = std::make_shared<ClientLimits>(
      Net.Events, LimitRules{.HeldBytes = static_cast<int64_t>(MB)});
  Waiting.setLimits(Short);
  Short->hold(900'000);
  Net.Handler = [](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->answer(
        HttpResponse{200, "text/plain", {}, std::string(800'000, 'x')});
  };
  HttpCall Call;
  Call.Target = HttpTarget{"127.0.0.1", Net.Server->port()};
  size_t Received = 0;
  HttpCallbacks Callbacks;
  Callbacks.Finished = [&](const HttpResponse &Answer) {
    Received = Answer.Body.size();
  };
  Callbacks.Failed = [](const HttpFailure &) {};
  Waiting.start(Call, Callbacks);
  const Millis End = steadyNow() + Millis{300};
  turnUntil(Net.Events, [&] { return steadyNow() >= End; });
  cr_assert_eq(Received, 0);
  Short->hold(-900'000);
  cr_assert(turnUntil(Net.Events, [&] { return Received == 800'000; }));
}

// Guards against idle connections that keep a new client out.
Test(clientLimits, allConnectionsIdle_aNewOneIsServed) {
  LimitedFixture Net(LimitRules{.Connections = {2, 0, 0}});
  PlainSocket First(Net.Server->port());
  PlainSocket Second(Net.Server->port());
  turnUntil(Net.Events, [&] {
    return Net.Limits->controller().connections(ClientPort::Callers) == 2;
  });
  cr_assert_eq(Net.ask("x").Status, 200);
  cr_assert(turnUntil(Net.Events, [&] { return First.ended(); }));
  cr_assert_not(Second.ended());
}
