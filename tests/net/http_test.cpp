/// @file
/// HTTP server and client: whole and streamed responses, bad input, shutdown.

#include "base/clock_func.h"
#include "net_fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace camphornotch;

namespace {

/// Larger than the kernel's socket buffers.
constexpr size_t LargeBytes = size_t{32} << 20;

/// Responds with method, path, query and body of the request.
void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  HttpResponse Answer;
  Answer.Headers = {{"X-Method", Request.Method}, {"X-Query", Request.Query}};
  Answer.Body = Request.Path + "|" + Request.Body;
  Exchange->answer(Answer);
}

HttpCall callOf(std::string Method, std::string Path, std::string Body) {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Path = std::move(Path);
  Call.Body = std::move(Body);
  return Call;
}

} // namespace

Test(http, request_withBodyAndQuery_isEchoed) {
  HttpFixture Net;
  Net.Handler = echo;
  const HttpResponse Answer =
      Net.ask(callOf("POST", "/a/b?c=d%20e", "the body"));
  cr_assert_eq(Answer.Status, 200);
  cr_assert_eq(Answer.Body, "/a/b|the body");
  cr_assert(findHeader(Answer.Headers, "x-method") == "POST");
  cr_assert_eq(queryParameter(findHeader(Answer.Headers, "X-QUERY"), "c"),
               "d e");
}

// Guards against a value of a query that ends the query, or the request line.
Test(percentEncode, anyBytes_areOneValueOfAQuery) {
  const bool Holds = rc::check([](const std::string &Bytes) {
    const std::string Query = "a=1&b=" + percentEncode(Bytes) + "&c=2";
    RC_ASSERT(Query.find_first_of(" \r\n#+?") == std::string::npos);
    RC_ASSERT(queryParameter(Query, "b") == Bytes);
    RC_ASSERT(queryParameter(Query, "c") == "2");
  });
  cr_assert(Holds);
}

Test(http, manyRequests_overKeptConnections_allAnswered) {
  HttpFixture Net;
  Net.Handler = echo;
  for (int Index = 0; Index < 50; ++Index) {
    const std::string Body = std::to_string(Index);
    cr_assert_eq(Net.ask(callOf("POST", "/x", Body)).Body, "/x|" + Body);
  }
}

Test(http, body_overTheLimit_gets413) {
  HttpFixture Net(1000);
  Net.Handler = echo;
  cr_assert_eq(Net.ask(callOf("POST", "/", std::string(1001, 'x'))).Status,
               413);
  cr_assert_eq(Net.ask(callOf("POST", "/", std::string(1000, 'x'))).Status,
               200);
}

Test(http, brokenRequestLine_gets400) {
  HttpFixture Net;
  Net.Handler = echo;
  PlainSocket Client(Net.Server->port());
  Client.send("NOT \x01 HTTP\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Client.ended(); }));
  cr_assert_neq(Client.received().find(" 400 "), std::string::npos);
}

Test(http, endlessHeader_isRefused) {
  HttpFixture Net;
  bool Handled = false;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &Exchange) {
    Handled = true;
    echo(Exchange);
  };
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\nx: ");
  cr_assert(turnUntil(Net.Events, [&] {
    Client.send(std::string(1000, 'y'));
    return Client.ended() || !Client.received().empty();
  }));
  cr_assert_not(Handled);
}

Test(http, headThatNeverEnds_isClosedAtItsOwnLimit) {
  HttpFixture Net;
  bool Handled = false;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &) { Handled = true; };
  Net.Server->setTimeouts(Millis{200}, seconds(600));
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n");
  cr_assert(turnUntil(Net.Events, [&] {
    Client.send("x: y\r\n");
    return Client.ended();
  }));
  cr_assert_not(Handled);
}

Test(http, slowBodyAndSlowAnswer_areNotBoundByTheLimitOfHeads) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Waiting;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Waiting = std::move(Exchange);
  };
  constexpr Millis Limit{150};
  const auto PassLimit = [&] {
    const Millis End = steadyNow() + Limit + Limit + Limit;
    turnUntil(Net.Events, [&] { return steadyNow() >= End; });
  };
  Net.Server->setTimeouts(Limit, seconds(600));
  PlainSocket Client(Net.Server->port());
  Client.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nab");
  PassLimit();
  Client.send("cd");
  cr_assert(turnUntil(Net.Events, [&] { return Waiting != nullptr; }));
  PassLimit();
  cr_assert_not(Client.ended());
  echo(Waiting);
  Waiting.reset();
  cr_assert(turnUntil(Net.Events, [&] { return !Client.received().empty(); }));
  cr_assert_neq(Client.received().find("/|abcd"), std::string::npos);
  PassLimit();
  cr_assert_not(Client.ended(),
                "the head timeout applied to an idle connection");
}

Test(http, idleConnection_isClosedAtItsLimit) {
  HttpFixture Net;
  Net.Handler = echo;
  Net.Server->setTimeouts(Millis{0}, Millis{200});
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Client.ended(); }));
  cr_assert_neq(Client.received().find(" 200 "), std::string::npos);
}

Test(http, requestInSingleBytes_isUnderstood) {
  HttpFixture Net;
  Net.Handler = echo;
  PlainSocket Client(Net.Server->port());
  const std::string Request =
      "POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
  for (const char Byte : Request) {
    Client.send(std::string(1, Byte));
    Net.Events.runOnce(Millis{0});
  }
  cr_assert(turnUntil(Net.Events, [&] {
    return Client.received().find("/p|abc") != std::string::npos;
  }));
}

Test(http, http2WithPriorKnowledge_isAnswered) {
  HttpFixture Net;
  Net.Handler = echo;
  PlainSocket Client(Net.Server->port());
  Client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
  Client.send(std::string("\0\0\0\4\0\0\0\0\0", 9)); // SETTINGS
  // HEADERS: GET http / with authority "a"; END_STREAM, END_HEADERS.
  Client.send(std::string("\0\0\6\1\5\0\0\0\1\x82\x86\x84\x41\1a", 15));
  cr_assert(turnUntil(Net.Events, [&] {
    return Client.received().find("/|") != std::string::npos;
  }));
}

Test(http, stream_inParts_arrivesInOrder) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(HttpResponse{200, "text/event-stream", {}, "a"});
    Pending = std::move(Exchange);
  };
  std::string Received;
  bool Finished = false;
  HttpCallbacks Callbacks;
  Callbacks.Chunk = [&](std::string_view Part) { Received += Part; };
  Callbacks.Finished = [&](const HttpResponse &) { Finished = true; };
  HttpCall Call;
  Call.Target = Net.target();
  Net.Client.start(Call, Callbacks);
  cr_assert(turnUntil(Net.Events, [&] { return Received == "a"; }));
  Pending->write("b");
  Pending->write("c");
  cr_assert(turnUntil(Net.Events, [&] { return Received == "abc"; }));
  cr_assert_not(Finished);
  Pending->write("d");
  Pending->finish();
  Pending.reset();
  cr_assert(turnUntil(Net.Events, [&] { return Finished; }));
  cr_assert_eq(Received, "abcd");
}

Test(http, abortedStream_failsTheCall) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(HttpResponse{200, "text/plain", {}, "part"});
    Pending = std::move(Exchange);
  };
  bool Finished = false;
  bool Failed = false;
  HttpCallbacks Callbacks;
  Callbacks.Chunk = [&](std::string_view) { Pending->abort(); };
  Callbacks.Finished = [&](const HttpResponse &) { Finished = true; };
  Callbacks.Failed = [&](const HttpFailure &) { Failed = true; };
  HttpCall Call;
  Call.Target = Net.target();
  Net.Client.start(Call, Callbacks);
  cr_assert(turnUntil(Net.Events, [&] { return Failed || Finished; }));
  cr_assert(Failed);
}

Test(http, readerThatStops_appliesBackPressure) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  bool Drained = false;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(HttpResponse{200, "text/plain", {}, ""});
    Exchange->write(std::string(LargeBytes, 'z'));
    Pending = std::move(Exchange);
  };
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  turnUntil(Net.Events, [&] { return Pending != nullptr; });
  for (int Turn = 0; Turn < 50; ++Turn)
    Net.Events.runOnce(Millis{0});
  cr_assert_gt(Pending->unsentBytes(), 0U);
  Pending->onDrained([&] { Drained = true; });
  cr_assert(turnUntil(Net.Events, [&] {
    Client.received();
    return Drained;
  }));
  cr_assert_eq(Pending->unsentBytes(), 0U);
}

Test(http, clientThatDisconnects_isReported) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  bool ClientGone = false;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->onGone([&] { ClientGone = true; });
    Pending = std::move(Exchange);
  };
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Pending != nullptr; }));
  Client.close();
  cr_assert(turnUntil(Net.Events, [&] { return ClientGone; }));
  cr_assert(Pending->gone());
  Pending->answer(HttpResponse{});
  Pending.reset();
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server->inFlight() == 0; }));
}

Test(http, exchangeDroppedUnanswered_gets500) {
  HttpFixture Net;
  Net.Handler = [](const std::shared_ptr<HttpExchange> &) {};
  cr_assert_eq(Net.ask(callOf("GET", "/", "")).Status, 500);
}

Test(http, stopWithRequestInFlight_finishesItFirst) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Pending = std::move(Exchange);
  };
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Pending != nullptr; }));
  bool Stopped = false;
  Net.Server->beginStop([&] { Stopped = true; });
  for (int Turn = 0; Turn < 20; ++Turn)
    Net.Events.runOnce(Millis{0});
  cr_assert_not(Stopped);
  cr_assert_not(PlainSocket(Net.Server->port()).Connected);
  Pending->answer(HttpResponse{200, "text/plain", {}, "whole"});
  Pending.reset();
  cr_assert(turnUntil(Net.Events, [&] { return Stopped && Client.ended(); }));
  cr_assert_neq(Client.received().find("whole"), std::string::npos);
}

Test(http, drain_goesOnAccepting_andAsksClientsToClose) {
  HttpFixture Net;
  Net.Handler = echo;
  PlainSocket Kept(Net.Server->port());
  Kept.send("GET /a HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return !Kept.received().empty(); }));
  cr_assert_eq(Kept.received().find("Connection: close"), std::string::npos);
  Net.Server->beginDrain();
  Kept.send("GET /b HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Kept.ended(); }));
  cr_assert_neq(Kept.received().find("Connection: close"), std::string::npos);
  cr_assert_neq(Kept.received().find("/b|"), std::string::npos);
  PlainSocket Late(Net.Server->port());
  Late.send("GET /c HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Late.ended(); }));
  cr_assert_neq(Late.received().find("/c|"), std::string::npos);
}

Test(http, stopAfterDrain_finishesLaterRequests) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Pending = std::move(Exchange);
  };
  Net.Server->beginDrain();
  PlainSocket Client(Net.Server->port());
  Client.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Pending != nullptr; }));
  bool Stopped = false;
  Net.Server->beginStop([&] { Stopped = true; });
  for (int Turn = 0; Turn < 20; ++Turn)
    Net.Events.runOnce(Millis{0});
  cr_assert_not(Stopped);
  Pending->answer(HttpResponse{200, "text/plain", {}, "whole"});
  Pending.reset();
  cr_assert(turnUntil(Net.Events, [&] { return Stopped && Client.ended(); }));
  cr_assert_neq(Client.received().find("whole"), std::string::npos);
}

// Guards against requests that are cut off: a stopping server read new ones
// on connections that clients had kept.
Test(http, stop_closesIdleConnectionsAndThoseThatBecomeIdle) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    if (Exchange->request().Method == "POST")
      Pending = std::move(Exchange);
    else
      echo(Exchange);
  };
  PlainSocket Kept(Net.Server->port());
  Kept.send("GET /a HTTP/1.1\r\nhost: a\r\n\r\n");
  PlainSocket Streaming(Net.Server->port());
  Streaming.send(
      "POST /s HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody");
  PlainSocket Arriving(Net.Server->port());
  Arriving.send("GET /b HTTP/1.1\r\nhost: a\r\n");
  cr_assert(turnUntil(Net.Events, [&] {
    return !Kept.received().empty() && Pending != nullptr;
  }));
  Pending->start(HttpResponse{200, "text/plain", {}, "first"});
  cr_assert(
      turnUntil(Net.Events, [&] { return !Streaming.received().empty(); }));
  Net.Server->beginStop([] {});
  cr_assert(turnUntil(Net.Events, [&] { return Kept.ended(); }));
  cr_assert_not(Streaming.ended());
  cr_assert_not(Arriving.ended());
  Arriving.send("\r\n");
  cr_assert(turnUntil(Net.Events, [&] { return Arriving.ended(); }));
  cr_assert_neq(Arriving.received().find("/b|"), std::string::npos);
  Pending->write("last");
  Pending->finish();
  Pending.reset();
  cr_assert(turnUntil(Net.Events, [&] { return Streaming.ended(); }));
  cr_assert(Streaming.received().ends_with("0\r\n\r\n"));
}

Test(http, portInUse_isRefused) {
  HttpFixture Net;
  HttpServerConfig Config;
  Config.Port = Net.Server->port();
  cr_assert_not(HttpServer::listen(Net.Events, Config, echo).has_value());
}

Test(httpClient, cancel_midStream_runsNoFurtherCallback) {
  HttpFixture Net;
  std::shared_ptr<HttpExchange> Pending;
  bool ClientGone = false;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(HttpResponse{200, "text/plain", {}, "x"});
    Exchange->onGone([&] { ClientGone = true; });
    Pending = std::move(Exchange);
  };
  int Count = 0;
  HttpCallId Id;
  HttpCallbacks Callbacks;
  Callbacks.Chunk = [&](std::string_view) {
    ++Count;
    Net.Client.cancel(Id);
  };
  Callbacks.Finished = [&](const HttpResponse &) { ++Count; };
  Callbacks.Failed = [&](const HttpFailure &) { ++Count; };
  HttpCall Call;
  Call.Target = Net.target();
  Id = Net.Client.start(Call, Callbacks);
  cr_assert(turnUntil(Net.Events, [&] { return ClientGone; }));
  cr_assert_eq(Count, 1);
}

Test(httpClient, timeout_withoutAnswer_fails) {
  HttpFixture Net;
  std::vector<std::shared_ptr<HttpExchange>> Pending;
  Net.Handler = [&](std::shared_ptr<HttpExchange> Exchange) {
    Pending.push_back(std::move(Exchange));
  };
  HttpCall Call = callOf("GET", "/", "");
  Call.Timeout = Millis{20};
  cr_assert_eq(Net.ask(Call).Status, 0);
}

Test(httpClient, refusedConnection_failsAsNotSent) {
  Loop Events;
  HttpClient Client(Events);
  bool NotSent = false;
  HttpCallbacks Callbacks;
  Callbacks.Failed = [&](const HttpFailure &Failure) {
    NotSent = Failure.NotSent;
  };
  HttpCall Call;
  Call.Target = HttpTarget{"127.0.0.1", 1};
  Client.start(Call, Callbacks);
  cr_assert(turnUntil(Events, [&] { return NotSent; }));
}

Test(httpClient, headerWithLineEnd_isNeverSent) {
  HttpFixture Net;
  bool Handled = false;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &Exchange) {
    Handled = true;
    echo(Exchange);
  };
  HttpCall Call = callOf("GET", "/", "");
  Call.Headers = {{"x-key", "a\r\nx-injected: b"}};
  cr_assert_eq(Net.ask(Call).Status, 0);
  cr_assert_eq(Net.ask(callOf("GET", "/a HTTP/1.1\r\nx: y", "")).Status, 0);
  cr_assert_not(Handled);
}

Test(target, badAddresses_areRefused) {
  cr_assert(parseTarget("127.0.0.1:80").has_value());
  cr_assert_not(parseTarget("localhost:80").has_value());
  cr_assert_not(parseTarget("127.0.0.1").has_value());
  cr_assert_not(parseTarget("127.0.0.1:").has_value());
  cr_assert_not(parseTarget("127.0.0.1:70000").has_value());
  cr_assert_not(parseTarget("127.0.0.1:8x").has_value());
}
