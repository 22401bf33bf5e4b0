/// @file
/// A real gateway that gets SIGTERM while requests go on to arrive.

#include "base/text_func.h"
#include "process_fixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace camphornotch;

namespace {

/// A configuration with a route of each kind of request.
constexpr const char *ConfigText = R"({"version":1,"routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":60000,"target_latency_ms":200,"attempts":1},
  {"name":"u","host":"h","path_prefix":"/u/","kind":"unsafe","service":"s",
   "timeout_ms":60000,"target_latency_ms":200,"attempts":1},
  {"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","service":"s",
   "timeout_ms":60000,"target_latency_ms":200,"attempts":1},
  {"name":"r","host":"h","path_prefix":"/roll/","kind":"rollout","service":"s",
   "timeout_ms":60000,"target_latency_ms":400,"attempts":3}],
 "services":[{"name":"s"}],"limits":{"idle_timeout_ms":60000}})";

/// An engine that works on each request for the same time, and on items without
/// end.
struct SlowEngine {
  Loop &Events;
  Millis Work;
  std::unique_ptr<HttpServer> Server;
  /// Ids of the requests that it got.
  std::set<std::string> Got;
  std::vector<std::shared_ptr<HttpExchange>> Items;

  SlowEngine(Loop &Events, Millis Work) : Events(Events), Work(Work) {
    auto Made = HttpServer::listen(
        Events, HttpServerConfig{},
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          this->handle(Exchange);
        });
    this->Server = std::move(Made.value());
  }

private:
  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    const std::string Id(
        findHeader(Request.Headers, "x-camphornotch-request-id"));
    if (Request.Path.starts_with("/roll/")) {
      this->Items.push_back(Exchange);
      return;
    }
    this->Got.insert(Id);
    HttpResponse Answer;
    Answer.Headers = {{"X-Camphornotch-Request-Id", Id},
                      {"X-Camphornotch-Response-Signature", "sig"}};
    if (!Request.Path.starts_with("/s/")) {
      this->Events.callAfter(this->Work,
                             [Exchange, Answer] { Exchange->answer(Answer); });
      return;
    }
    Answer.ContentType = "text/event-stream";
    Exchange->start(Answer);
    Exchange->write("id: 1\ndata: a\n\n");
    this->Events.callAfter(this->Work, [Exchange] {
      Exchange->write("id: 2\ndata: b\n\n");
      Exchange->finish();
    });
  }
};

/// A request on a connection of its own.
struct SentRequest {
  std::string Id;
  /// Since the gateway was told to stop.
  Millis SentAfter;
  std::unique_ptr<PlainSocket> Connection;
  /// Bytes received before it was sent.
  size_t Before = 0;

  /// @return the answer so far.
  std::string_view answer() const {
    return std::string_view(this->Connection->received()).substr(this->Before);
  }

  bool isAnswered() const {
    const std::string_view Answer = this->answer();
    const size_t HeadEnd = Answer.find("\r\n\r\n");
    if (HeadEnd == std::string_view::npos)
      return false;
    if (Answer.find("transfer-encoding: chunked") < HeadEnd)
      return Answer.ends_with("0\r\n\r\n");
    const std::string_view Name = "Content-Length: ";
    const size_t Length = Answer.find(Name);
    return Length < HeadEnd &&
           Answer.size() - HeadEnd - 4 ==
               std::stoul(std::string(Answer.substr(Length + Name.size(), 9)));
  }
};

/// A gateway that is told to stop, and requests that arrive meanwhile.
struct StoppingFixture {
  static constexpr size_t Submissions = 8;

  ProcessFixture Net;
  SlowEngine Engine;
  /// Connections on which a request was answered before the stop.
  std::vector<std::unique_ptr<PlainSocket>> Kept;
  std::vector<SentRequest> Sent;

  StoppingFixture(int GraceSeconds, Millis Work)
      : Net(2, ConfigText, "", GraceSeconds), Engine(this->Net.Events, Work) {
    this->Net.Store.put(
        "keyed.servers", "i-1",
        concat(R"({"service":"s","slots":512,"state":"ready","zone":"dc",)",
               R"("born":1,"models":[{"name":"m","version":3}],)",
               R"("address":"127.0.0.1:)", this->Engine.Server->port(),
               R"("})"));
    cr_assert(turnUntil(this->Net.Events, [this] {
      return this->Net.ask(0, "/a/x").Status == 200;
    }));
  }

  /// Submits items that do not end, so that both gateways own some.
  void submit() {
    for (size_t Index = 0; Index < Submissions; ++Index) {
      HttpCall Call = GatewayFixture::submission(concat("open-", Index), 1);
      Call.Target = this->Net.Gateways[0]->front();
      Call.Host = "h";
      cr_assert_eq(answerTo(this->Net.Events, this->Net.Caller, Call).Status,
                   202);
    }
    cr_assert(turnUntil(this->Net.Events, [this] {
      return this->Engine.Items.size() >= Submissions;
    }));
  }

  uint16_t port() const { return this->Net.Gateways[0]->front().Port; }

  void keepConnections(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index) {
      this->Kept.push_back(std::make_unique<PlainSocket>(this->port()));
      this->Kept.back()->send("GET /none/ HTTP/1.1\r\nhost: h\r\n\r\n");
      cr_assert(turnUntil(this->Net.Events, [this] {
        return this->Kept.back()->received().ends_with("}");
      }));
    }
  }

  /// Sends a request on a connection.
  /// @param RequestLine method and path.
  void send(const std::string &RequestLine,
            std::unique_ptr<PlainSocket> Connection) {
    if (!Connection->Connected || Connection->ended())
      return;
    const std::string Id = concat("stop-", this->Sent.size());
    const size_t Before = Connection->received().size();
    Connection->send(concat(RequestLine, " HTTP/1.1\r\nhost: h\r\n",
                            "x-camphornotch-request-id: ", Id,
                            "\r\nx-camphornotch-wait-timeout: 1000\r\n\r\n"));
    this->Sent.push_back(SentRequest{Id, steadyNow() - this->StopAt,
                                     std::move(Connection), Before});
  }

  /// Tells the gateway to stop. Until it has ended, sends requests of all
  /// kinds, on new connections and on kept ones, again and again.
  void stopUnderRequests() {
    constexpr Millis Interval{100};
    // The engine writes to connections that the gateway has closed.
    std::signal(SIGPIPE, SIG_IGN);
    this->StopAt = steadyNow();
    kill(this->Net.Gateways[0]->pid(), SIGTERM);
    while (!this->Net.Gateways[0]->ended()) {
      const std::string Read =
          concat("GET /-/lots/open-", this->Sent.size() / 8 % Submissions);
      for (const std::string &Line :
           {std::string("GET /a/x"), std::string("POST /u/x"),
            std::string("GET /s/x"), Read}) {
        this->send(Line, std::make_unique<PlainSocket>(this->port()));
        if (this->Kept.empty())
          continue;
        this->send(Line, std::move(this->Kept.back()));
        this->Kept.pop_back();
      }
      this->Net.runFor(Interval);
    }
  }

  /// Checks that what reached the engine was answered by it, and that what
  /// arrived while the gateway accepted requests was answered.
  void checkAnswers() {
    constexpr Millis AcceptTime{3'000};
    size_t Reached = 0;
    for (const SentRequest &Each : this->Sent) {
      const std::string Text = concat(Each.Id, " after ", Each.SentAfter.Count,
                                      " ms: ", Each.answer());
      if (Each.SentAfter < AcceptTime)
        cr_expect(Each.isAnswered(), "%s", Text.c_str());
      if (!this->Engine.Got.contains(Each.Id))
        continue;
      ++Reached;
      cr_expect(Each.isAnswered(), "%s", Text.c_str());
      cr_expect(Each.answer().starts_with("HTTP/1.1 200 "), "%s", Text.c_str());
    }
    cr_log_info("%zu requests, %zu at the engine", this->Sent.size(), Reached);
    cr_expect_gt(Reached, 0U);
    cr_expect_lt(Reached, this->Sent.size());
  }

  Millis StopAt;
};

/// Expects that a gateway cuts off no request while it stops.
void expectNothingCut(int GraceSeconds) {
  StoppingFixture Run(GraceSeconds, Millis{1'500});
  Run.submit();
  Run.keepConnections(160);
  Run.stopUnderRequests();
  Run.checkAnswers();
}

} // namespace

TestSuite(stoppingProcess, .timeout = 60);

// Guards against requests that come late in the grace period, are passed on
// and are cut off at its end.
Test(stoppingProcess, requestsInTheGracePeriod_areAnsweredOrNotPassedOn) {
  expectNothingCut(8);
}

Test(stoppingProcess, requestsInAShortGracePeriod_areAnsweredOrNotPassedOn) {
  expectNothingCut(4);
}
