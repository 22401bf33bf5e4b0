/// @file
/// Forwarding of single requests: what callers receive for valid and faulty
/// answers of endpoints.

#include "base/clock_func.h"
#include "base/text_func.h"
#include "gateway/forward_task_base.h"
#include "tests/net/net_fixture.h"
#include "tests/net/scripted_server.h"

#include <criterion/criterion.h>
#include <optional>

using namespace camphornotch;

namespace {

/// One scripted endpoint and one request to it.
struct ForwardFixture {
  Loop Events;
  HttpClient Http{this->Events};
  EndpointPool Pool{Geography{"dc", {}}};
  Metrics Counts;
  ScriptedServer Server;
  ForwardTask Forward{this->Events, this->Http, this->Pool, this->Counts};
  /// The answer passed to the caller; status 0: none.
  HttpResponse Answer;
  /// The refusal; status 0: none.
  EndRequest Refused;
  /// The stream received so far.
  std::string Stream;
  /// How the stream ended: 'w' complete, 'b' cut off; 0: it has not ended.
  char StreamEnd = 0;
  /// How often a broken connection was reported for the request.
  int BrokenReports = 0;
  ForwardId Id;

  /// @param Kind the kind of the route.
  /// @param Attempts the limit of endpoints to try.
  /// @param Software the version that began the stream; absent: it begins anew.
  explicit ForwardFixture(RouteKind Kind, int64_t Attempts = 1,
                          std::optional<std::string> Software = {}) {
    this->Answer.Status = 0;
    this->addEndpoint("i-1", this->Server);
    ForwardJob Job;
    Job.Params.MatchedRoute.Kind = Kind;
    Job.Params.MatchedRoute.Attempts = Attempts;
    Job.Params.MatchedRoute.Resumable = true;
    Job.Params.MatchedRoute.Objective = Millis{200};
    Job.Params.Service = "s";
    Job.Params.Software = std::move(Software);
    Job.Params.ArrivedAt = steadyNow();
    Job.Params.Deadline = steadyNow() + Millis{1'500};
    Job.Request.Path = "/a/b?c=d";
    Job.Request.Host = "h.example";
    Job.Request.Body = "body";
    Job.Request.RequestId = "r1";
    ForwardCallbacks Callbacks;
    Callbacks.OnAnswer = [this](HttpResponse Response) {
      this->Answer = std::move(Response);
    };
    Callbacks.OnRefusal = [this](const EndRequest &End) {
      this->Refused = End;
    };
    Callbacks.OnConnectionBroken = [this](const BrokenAttempt &) {
      ++this->BrokenReports;
    };
    Callbacks.OnStreamStart = [](const HttpResponse &) {};
    Callbacks.OnStreamEvents = [this](std::string_view Part) {
      this->Stream += Part;
    };
    Callbacks.OnStreamEnd = [this](bool Complete) {
      this->StreamEnd = Complete ? 'w' : 'b';
    };
    this->Id = this->Forward.start(std::move(Job), std::move(Callbacks));
  }

  /// Registers an endpoint for the request's service.
  void addEndpoint(const std::string &Id, const ScriptedServer &Endpoint,
                   int64_t StartedAtMs = 1, const std::string &Software = "") {
    EndpointRecord Record;
    Record.Software = Software;
    Record.Id = EndpointId{Id};
    Record.StartedAtMs = StartedAtMs;
    Record.Service = "s";
    Record.DataCentre = "dc";
    Record.Slots = 4;
    Record.ListenAddress =
        Address{Endpoint.target().Address, Endpoint.target().Port};
    this->Pool.put(std::move(Record));
  }

  /// @return whether a request arrived on that connection.
  bool arrives(size_t Index = 0) {
    return turnUntil(this->Events,
                     [&] { return this->Server.hasRequests(Index, 1); });
  }

  /// @return whether the request ended.
  bool ends() {
    return turnUntil(this->Events, [&] {
      return this->Answer.Status != 0 || this->Refused.Status != 0 ||
             this->StreamEnd != 0;
    });
  }

  /// Begins a stream and breaks it off after its first event.
  /// @return whether the request is sent to an endpoint again.
  bool breaksWithinStream() {
    if (!this->arrives())
      return false;
    this->Server.send(0, "HTTP/1.1 200 OK\r\nx-camphornotch-request-id: r1\r\n"
                         "x-camphornotch-response-signature: sig\r\n"
                         "content-length: 999\r\n\r\nid: 1\ndata: a\n\n");
    if (!turnUntil(this->Events, [&] { return !this->Stream.empty(); }))
      return false;
    this->Server.reset(0);
    return this->arrives(1);
  }

  /// @param Chunk what the endpoint sends repeatedly.
  /// @return whether the connection is closed before EndlessBytes are sent.
  bool closesOn(const std::string &Chunk) {
    constexpr size_t EndlessBytes = size_t{64} << 20;
    bool LimitReached = false;
    turnUntil(this->Events, [&] {
      LimitReached |= this->Server.sendRepeatedly(0, Chunk) > EndlessBytes;
      return LimitReached || this->Server.closed(0);
    });
    return !LimitReached && this->Server.closed(0);
  }

  /// @param Status the status code and reason of the status line.
  /// @param ExtraHeaders additional header lines.
  /// @return an answer with request id, receipt and a body of two bytes.
  static std::string answer(const std::string &Status,
                            const std::string &ExtraHeaders = "") {
    return "HTTP/1.1 " + Status +
           "\r\nx-camphornotch-request-id: r1\r\n"
           "x-camphornotch-response-signature: sig\r\n" +
           ExtraHeaders + "content-length: 2\r\n\r\nok";
  }
};

/// Header line with the request's id.
constexpr std::string_view IdLine = "x-camphornotch-request-id: r1\r\n";
/// Header line with a receipt.
constexpr std::string_view ReceiptLine =
    "x-camphornotch-response-signature: sig\r\n";
/// Header line with the length of a body.
constexpr std::string_view LengthLine = "content-length: 9\r\n";

} // namespace

Test(forward, goodAnswer_isPassedOnWithItsReceipt) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  const std::string &Sent = Net.Server.input(0);
  cr_assert(Sent.starts_with("POST /a/b?c=d HTTP/1.1\r\nhost: h.example\r\n"));
  cr_assert(Sent.find("x-camphornotch-expected-instance: i-1") !=
            std::string::npos);
  cr_assert(Sent.find("x-camphornotch-request-deadline: ") !=
            std::string::npos);
  Net.Server.send(0, ForwardFixture::answer("200 OK"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Answer.Status, 200);
  cr_assert(Net.Answer.Body == "ok");
  cr_assert(findHeader(Net.Answer.Headers,
                       "x-camphornotch-response-signature") == "sig");
}

Test(forward, answerToAnotherRequest_isNotPassedOn) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  std::string Bytes = ForwardFixture::answer("200 OK");
  Bytes.replace(Bytes.find("r1"), 2, "r2");
  Net.Server.send(0, Bytes);
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

// Guards against a second run: a late copy of an earlier refusal says nothing
// about the request that was sent after it.
Test(forward, refusalOfAnotherRequest_isNotTakenForItsOwn) {
  for (const std::string Status :
       {"503 Busy", "421 Misdirected", "429 Too Many"}) {
    ForwardFixture Net(RouteKind::AtMostOnce, 2);
    ScriptedServer Spare;
    cr_assert(Net.arrives());
    Net.addEndpoint("i-2", Spare);
    std::string Bytes =
        ForwardFixture::answer(Status, "x-camphornotch-not-executed: 1\r\n");
    Bytes.replace(Bytes.find("r1"), 2, "r0");
    Net.Server.send(0, Bytes);
    cr_assert(Net.ends());
    cr_expect_eq(Net.Refused.Status, 502, "%s", Status.c_str());
    cr_expect_not(Spare.hasRequests(0, 1), "%s", Status.c_str());
    cr_expect(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  }
}

// Guards against a second run: a late copy of a refusal passes for the answer
// to the same request, sent to the same endpoint again.
Test(forward, retryAfterARefusal_doesNotReadALateCopyOfIt) {
  ForwardFixture Net(RouteKind::AtMostOnce, 2);
  const std::string Refusal =
      ForwardFixture::answer("503 Busy", "x-camphornotch-not-executed: 1\r\n");
  cr_assert(Net.arrives());
  Net.Server.send(0, Refusal);
  cr_assert(Net.arrives(1), "the retry is on the connection of the refusal");
  Net.Server.send(0, Refusal);
  Net.Server.send(1, ForwardFixture::answer("200 OK"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Answer.Status, 200);
}

Test(forward, encodedAnswer_isNotPassedOn) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(
      0, ForwardFixture::answer("200 OK", "content-encoding: gzip\r\n"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

Test(forward, successWithoutReceipt_isNotPassedOn) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nx-camphornotch-request-id: r1\r\n"
                     "content-length: 2\r\n\r\nok");
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

Test(forward, truncatedOrResetAnswer_isNeverReportedAsNotRun) {
  for (const bool Reset : {false, true}) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    const std::string Bytes = ForwardFixture::answer("200 OK");
    Net.Server.send(0, std::string_view(Bytes).substr(0, Bytes.size() - 1));
    int Turns = 0;
    turnUntil(Net.Events, [&] { return ++Turns > 5; });
    if (Reset)
      Net.Server.reset(0);
    else
      Net.Server.end(0);
    cr_assert(Net.ends());
    cr_assert_eq(Net.Refused.Status, 502);
  }
}

Test(forward, answerWithoutLength_isNotPassedOn) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nx-camphornotch-request-id: r1\r\n"
                     "x-camphornotch-response-signature: sig\r\n\r\nok");
  Net.Server.end(0);
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

Test(forward, answerWithFaultyHead_isAbortedBeforeItsEnd) {
  for (const std::string &Head : {concat("200 OK\r\n", IdLine, ReceiptLine),
                                  concat("200 OK\r\n", IdLine, LengthLine),
                                  concat("200 OK\r\n", ReceiptLine, LengthLine),
                                  concat("503 Busy\r\n", IdLine, LengthLine)}) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    Net.Server.send(0, "HTTP/1.1 " + Head + "\r\npart");
    cr_assert(Net.ends());
    cr_expect_eq(Net.Refused.Status, 502, "%s", Head.c_str());
    cr_expect(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  }
}

Test(forward, bodyThatNeverEnds_isReplacedByAnotherEndpointsAnswer) {
  for (const std::string Frame : {"", "transfer-encoding: chunked\r\n"}) {
    ForwardFixture Net(RouteKind::Idempotent, 2);
    ScriptedServer Spare;
    cr_assert(Net.arrives());
    Net.addEndpoint("i-2", Spare);
    Net.Server.send(0, "HTTP/1.1 200 OK\r\nx-camphornotch-request-id: r1\r\n"
                       "x-camphornotch-response-signature: sig\r\n" +
                           Frame + "\r\n");
    const std::string Endless =
        "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    cr_assert(Net.closesOn(Endless));
    cr_assert(turnUntil(Net.Events, [&] { return Spare.hasRequests(0, 1); }));
    Spare.send(0, ForwardFixture::answer("200 OK"));
    cr_assert(Net.ends());
    cr_assert_eq(Net.Answer.Status, 200);
    cr_assert(Net.Answer.Body == "ok");
  }
}

Test(forward, bytesThatAreNoAnswer_areNotReportedForTheRequest) {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string &Bytes : {std::string("garbage"), Interim}) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    cr_assert(Net.closesOn(Bytes));
    cr_assert(Net.ends());
    cr_expect_eq(Net.Refused.Status, 502);
    cr_expect_eq(Net.BrokenReports, 0);
  }
}

Test(forward, connectionBrokenBeforeTheAnswer_isReportedForTheRequest) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.reset(0);
  cr_assert(Net.ends());
  cr_assert_eq(Net.BrokenReports, 1);
}

// Guards against a request that crashes endpoints for ever: the head of a
// stream comes with its first event, so that its crashes were not counted.
Test(forward, streamBrokenAfterItsFirstEvent_isReportedForTheRequest) {
  for (const bool Reset : {false, true}) {
    ForwardFixture Net(RouteKind::Stream);
    cr_assert(Net.arrives());
    Net.Server.send(0, concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                              "content-length: 999\r\n\r\nid: 1\ndata: a\n\n"));
    cr_assert(turnUntil(Net.Events, [&] { return !Net.Stream.empty(); }));
    if (Reset)
      Net.Server.reset(0);
    else
      Net.Server.end(0);
    cr_assert(Net.ends());
    cr_expect_eq(Net.StreamEnd, 'b');
    cr_expect_eq(Net.BrokenReports, 1);
  }
}

// Sound requests are not blamed for an endpoint that shortens its answers.
Test(forward, answerCutWithinItsBody_isNotReportedForTheRequest) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  const std::string Bytes = ForwardFixture::answer("200 OK");
  Net.Server.send(0, std::string_view(Bytes).substr(0, Bytes.size() - 1));
  Net.Server.end(0);
  cr_assert(Net.ends());
  cr_expect_eq(Net.Refused.Status, 502);
  cr_expect_eq(Net.BrokenReports, 0);
}

namespace {

/// An answer that an endpoint begins.
struct BegunAnswer {
  /// The header line that says where the body ends; empty: none.
  std::string Framing;
  /// What is sent of the body.
  std::string Body;
};

/// Answers that break off at different moments, by each framing.
const std::vector<BegunAnswer> BegunAnswers{
    {"content-length: 9\r\n", ""},
    {"content-length: 9\r\n", "12345678"},
    {"transfer-encoding: chunked\r\n", ""},
    {"transfer-encoding: chunked\r\n", "4\r\nab"},
    {"transfer-encoding: chunked\r\n", "2\r\nab\r\n"},
    {"transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n"},
    {"", ""},
    {"", "ab"}};

/// Begins an answer to the fixture's request and waits until it has arrived.
void begin(ForwardFixture &Net, const BegunAnswer &Answer) {
  cr_assert(Net.arrives());
  Net.Server.send(0, concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                            Answer.Framing, "\r\n", Answer.Body));
  int Turns = 0;
  turnUntil(Net.Events, [&] { return ++Turns > 5; });
}

} // namespace

// Guards against a request that crashes endpoints for ever because the head of
// an answer was out before (review/10).
Test(forward, endpointThatCrashesWithinItsAnswer_isReportedForTheRequest) {
  for (const RouteKind Kind :
       {RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream})
    for (const BegunAnswer &Answer : BegunAnswers)
      for (const bool Reset : {false, true}) {
        ForwardFixture Net(Kind);
        begin(Net, Answer);
        Net.Server.stopListening();
        if (Reset)
          Net.Server.reset(0);
        else
          Net.Server.end(0);
        cr_assert(Net.ends());
        cr_assert(turnUntil(Net.Events, [&] { return Net.BrokenReports > 0; }),
                  "%d %s%s", static_cast<int>(Kind), Answer.Framing.c_str(),
                  Answer.Body.c_str());
        cr_expect_eq(Net.BrokenReports, 1);
      }
}

// Guards against sound requests that are blamed for an endpoint which breaks
// off its answers and goes on.
Test(forward, endpointThatBreaksOffItsAnswerAndGoesOn_isNotReported) {
  for (const RouteKind Kind : {RouteKind::Idempotent, RouteKind::AtMostOnce})
    for (const BegunAnswer &Answer : BegunAnswers) {
      ForwardFixture Net(Kind);
      begin(Net, Answer);
      Net.Server.end(0);
      cr_assert(Net.ends());
      // The connection of the check comes and goes.
      cr_assert(turnUntil(Net.Events, [&] {
        return Net.Server.poll() == 2 && Net.Server.closed(1);
      }));
      cr_expect_eq(Net.BrokenReports, 0);
    }
}

// Guards against an endpoint that is back before it is checked.
Test(forward, endpointBackInANewLifetime_isReportedForTheRequest) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  begin(Net, BegunAnswers[1]);
  Net.Server.end(0);
  cr_assert(Net.ends());
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Server.poll() == 2 && Net.Server.closed(1);
  }));
  Net.Forward.poolChanged();
  cr_assert_eq(Net.BrokenReports, 0);
  Net.addEndpoint("i-1", Net.Server, 2);
  Net.Forward.poolChanged();
  cr_assert_eq(Net.BrokenReports, 1);
}

Test(forward, eventThatNeverEnds_isAbortedAndTheStreamResumed) {
  ForwardFixture Net(RouteKind::Stream, 3);
  cr_assert(Net.arrives());
  const std::string Head =
      concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine, "content-length: ");
  Net.Server.send(0, Head + "99999999999\r\n\r\nid: 1\ndata: a\n\nid: 2\n");
  cr_assert(Net.closesOn(std::string(size_t{64} << 10, 'x')));
  cr_assert(Net.arrives(1));
  cr_assert(Net.Server.input(1).find("last-event-id: 1") != std::string::npos);
  const std::string Rest = "id: 2\ndata: b\n\n";
  Net.Server.send(1, concat(Head, Rest.size(), "\r\n\r\n", Rest));
  cr_assert(Net.ends());
  cr_assert_eq(Net.StreamEnd, 'w');
  cr_assert(Net.Stream == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

Test(forward, failureOfAStreamThatNeverEnds_isAborted) {
  ForwardFixture Net(RouteKind::Stream);
  cr_assert(Net.arrives());
  Net.Server.send(0, concat("HTTP/1.1 500 Oops\r\n", IdLine,
                            "content-length: 99999999999\r\n\r\n"));
  cr_assert(Net.closesOn(std::string(size_t{64} << 10, 'x')));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

Test(forward, refusalWithoutNotExecutedHeader_isNotPassedOn) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(0, ForwardFixture::answer("503 Busy"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 502);
}

Test(forward, refusalWithNotExecutedHeader_endsAsNotRun) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  for (int Times = 0; Times < 40 && Net.Refused.Status == 0; ++Times) {
    const size_t Count = Net.Server.poll();
    for (size_t Index = 0; Index < Count; ++Index)
      if (Net.Server.hasRequests(Index, 1) && !Net.Server.closed(Index))
        Net.Server.send(Index,
                        ForwardFixture::answer(
                            "503 Busy", "x-camphornotch-not-executed: 1\r\n"));
    Net.Events.runOnce(Millis{10});
  }
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 503);
  cr_assert(Net.Refused.RetryAfter > Millis{0});
}

Test(forward, misdirected_isNotRun) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(
      0, ForwardFixture::answer("421 Misdirected", "connection: close\r\n"));
  cr_assert(turnUntil(Net.Events, [&] {
    return Net.Pool.find(EndpointId{"i-1"})->AvoidUntil > Millis{0};
  }));
  cr_assert_eq(Net.Answer.Status, 0);
}

Test(forward, endpointsOwnFailure_isPassedOnAsItIs) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.Server.send(0, ForwardFixture::answer("500 Oops"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Answer.Status, 500);
  cr_assert(Net.Answer.Body == "ok");
}

Test(forward, callerLeaves_closesTheConnectionToTheEndpoint) {
  ForwardFixture Net(RouteKind::Idempotent);
  cr_assert(Net.arrives());
  Net.Forward.cancel(Net.Id);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  cr_assert_eq(Net.Forward.running(), 0U);
}

Test(forward, stream_passesWholeEventsAndResumesAfterTheLast) {
  ForwardFixture Net(RouteKind::Stream, 3);
  cr_assert(Net.arrives());
  const std::string Head = "HTTP/1.1 200 OK\r\n"
                           "x-camphornotch-request-id: r1\r\n"
                           "x-camphornotch-response-signature: sig\r\n"
                           "content-type: text/event-stream\r\n"
                           "connection: close\r\ncontent-length: ";
  const std::string First = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
  Net.Server.send(0, Head + "99\r\n\r\n" + First);
  cr_assert(turnUntil(Net.Events, [&] { return !Net.Stream.empty(); }));
  cr_assert(Net.Stream == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Net.Server.reset(0);
  cr_assert(Net.arrives(1));
  cr_assert(Net.Server.input(1).find("last-event-id: 2") != std::string::npos);
  const std::string Rest = "id: 3\ndata: c\n\n";
  Net.Server.send(1, Head + std::to_string(Rest.size()) + "\r\n\r\n" + Rest);
  cr_assert(Net.ends());
  cr_assert_eq(Net.StreamEnd, 'w');
  cr_assert(Net.Stream.ends_with("data: b\n\nid: 3\ndata: c\n\n"));
}

// Guards against a stream that ends as if it were complete, or with the text
// of an error, once the endpoint that should go on with it answers otherwise.
Test(forward, streamResumedAtAnEndpointThatFails_endsAsIncomplete) {
  for (const std::string Status :
       {"400 Bad", "404 Not Found", "413 Large", "500 Oops", "504 Late"}) {
    ForwardFixture Net(RouteKind::Stream, 2);
    cr_assert(Net.breaksWithinStream());
    Net.Server.send(1, ForwardFixture::answer(Status));
    cr_assert(Net.ends());
    cr_expect_eq(Net.StreamEnd, 'b', "%s", Status.c_str());
    cr_expect_str_eq(Net.Stream.c_str(), "id: 1\ndata: a\n\n");
  }
}

// Guards against events that come twice or are missing.
Test(forward, streamResumedAtAnotherEvent_endsAsIncomplete) {
  for (const std::string First : {"id: 1", "id: 3", "x: 2"}) {
    ForwardFixture Net(RouteKind::Stream, 2);
    cr_assert(Net.breaksWithinStream());
    const std::string Rest = First + "\ndata: b\n\n";
    Net.Server.send(1,
                    concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                           "content-length: ", Rest.size(), "\r\n\r\n", Rest));
    cr_assert(Net.ends());
    cr_expect_eq(Net.StreamEnd, 'b', "%s", First.c_str());
    cr_expect_str_eq(Net.Stream.c_str(), "id: 1\ndata: a\n\n");
  }
}

// Guards against events of another software version in a stream that a caller
// took up.
Test(forward, streamTakenUpAtAnEndpointThatChanged_getsNoEvent) {
  ForwardFixture Net(RouteKind::Stream, 2, "");
  cr_assert(Net.arrives());
  Net.addEndpoint("i-1", Net.Server, 2, "v2");
  Net.Server.send(0, concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                            "content-length: 999\r\n\r\nid: 1\ndata: a\n\n"));
  cr_assert(Net.ends());
  cr_expect_eq(Net.StreamEnd, 'b');
  cr_expect_str_eq(Net.Stream.c_str(), "");
}

// Guards against a success with an empty or short body: the endpoint closed
// the connection within the head of its answer.
Test(forward, answerCutWithinItsHead_isNeverPassedOn) {
  const std::string Whole = ForwardFixture::answer("200 OK");
  for (size_t Length = 0; Length < Whole.size(); Length += 3) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    Net.Server.send(0, std::string_view(Whole).substr(0, Length));
    Net.Server.end(0);
    cr_assert(Net.ends());
    cr_expect_eq(Net.Answer.Status, 0, "cut after %zu bytes", Length);
    cr_expect_eq(Net.Refused.Status, 502, "cut after %zu bytes", Length);
  }
}

Test(forward, streamCutWithinItsHead_startsNothing) {
  const std::string Head = concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                                  "transfer-encoding: chunked\r\n\r\n");
  for (size_t Length = 0; Length < Head.size(); Length += 3) {
    ForwardFixture Net(RouteKind::Stream);
    cr_assert(Net.arrives());
    Net.Server.send(0, std::string_view(Head).substr(0, Length));
    Net.Server.end(0);
    cr_assert(Net.ends());
    cr_expect_eq(Net.StreamEnd, 0, "cut after %zu bytes", Length);
    cr_expect_eq(Net.Refused.Status, 502, "cut after %zu bytes", Length);
  }
}

/// Header line of an endpoint that leaves.
constexpr const char *LeavingLine = "server-leaving: 1\r\n";

// Guards against requests to an endpoint that has said that it leaves.
Test(forward, answerOfAnEndpointThatLeaves_marksItWhateverTheStatus) {
  for (const std::string Status : {"200 OK", "404 Not Found", "500 Oops"}) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    Net.Server.send(0, ForwardFixture::answer(Status, LeavingLine));
    cr_assert(Net.ends());
    cr_expect(Net.Pool.find(EndpointId{"i-1"})->Leaving, "%s", Status.c_str());
    cr_expect(findHeader(Net.Answer.Headers, "server-leaving") == "1");
  }
}

Test(forward, streamOfAnEndpointThatLeaves_marksItWhileItIsOpen) {
  ForwardFixture Net(RouteKind::Stream);
  cr_assert(Net.arrives());
  Net.Server.send(0, concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                            LeavingLine, "content-length: 999\r\n\r\n"));
  cr_assert(turnUntil(
      Net.Events, [&] { return Net.Pool.find(EndpointId{"i-1"})->Leaving; }));
  cr_assert_eq(Net.StreamEnd, 0);
}

Test(forward, refusalOfAnEndpointThatLeaves_isNotRepeatedThere) {
  ForwardFixture Net(RouteKind::AtMostOnce, 2);
  cr_assert(Net.arrives());
  Net.Server.send(
      0, ForwardFixture::answer(
             "503 Busy",
             concat("x-camphornotch-not-executed: 1\r\n", LeavingLine)));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Refused.Status, 503);
  cr_assert(Net.Refused.RetryAfter > Millis{0});
  cr_assert_not(Net.Server.hasRequests(0, 2));
  cr_assert_not(Net.Server.hasRequests(1, 1));
}

Test(forward, refusalOfAnEndpointThatLeaves_sendsTheRequestElsewhere) {
  ForwardFixture Net(RouteKind::AtMostOnce, 2);
  ScriptedServer Spare;
  cr_assert(Net.arrives());
  Net.addEndpoint("i-2", Spare);
  Net.Server.send(
      0, ForwardFixture::answer(
             "503 Busy",
             concat("x-camphornotch-not-executed: 1\r\n", LeavingLine)));
  cr_assert(turnUntil(Net.Events, [&] { return Spare.hasRequests(0, 1); }));
  Spare.send(0, ForwardFixture::answer("200 OK"));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Answer.Status, 200);
}

Test(forward, leavingHeaderThatSaysNothingOfTheEndpoint_marksNobody) {
  std::string OfAnother = ForwardFixture::answer("200 OK", LeavingLine);
  OfAnother.replace(OfAnother.find("r1"), 2, "r0");
  for (const std::string &Bytes :
       {ForwardFixture::answer("200 OK", "server-leaving: yes\r\n"),
        ForwardFixture::answer("421 Misdirected", LeavingLine), OfAnother}) {
    ForwardFixture Net(RouteKind::AtMostOnce);
    cr_assert(Net.arrives());
    Net.Server.send(0, Bytes);
    cr_assert(Net.ends());
    cr_expect_not(Net.Pool.find(EndpointId{"i-1"})->Leaving);
    cr_expect_eq(Net.Pool.leavingMarks(), 0U);
  }
}

Test(forward, lifetimeThatBeganMeanwhile_isNotMarked) {
  ForwardFixture Net(RouteKind::AtMostOnce);
  cr_assert(Net.arrives());
  Net.addEndpoint("i-1", Net.Server, 2);
  Net.Server.send(0, ForwardFixture::answer("200 OK", LeavingLine));
  cr_assert(Net.ends());
  cr_assert_eq(Net.Pool.leavingMarks(), 1U);
  cr_assert_not(Net.Pool.find(EndpointId{"i-1"})->Leaving);
}

// Guards against a failure of our own that says nothing about whether the
// request ran, when the process ends beside a silent endpoint.
Test(forward, processEnds_requestsAreToldWhetherTheyMayHaveRun) {
  ForwardFixture Sent(RouteKind::AtMostOnce);
  cr_assert(Sent.arrives());
  Sent.Forward.endAll();
  cr_assert_eq(Sent.Refused.Status, 502);
  cr_assert_eq(Sent.Forward.running(), 0U);
  cr_assert(turnUntil(Sent.Events, [&] { return Sent.Server.closed(0); }));

  ForwardFixture Open(RouteKind::Stream);
  cr_assert(Open.arrives());
  Open.Server.send(0, concat("HTTP/1.1 200 OK\r\n", IdLine, ReceiptLine,
                             "content-length: 999\r\n\r\nid: 1\ndata: a\n\n"));
  cr_assert(turnUntil(Open.Events, [&] { return !Open.Stream.empty(); }));
  Open.Forward.endAll();
  cr_assert_eq(Open.StreamEnd, 'b');

  ForwardFixture Waiting(RouteKind::AtMostOnce, 2);
  cr_assert(Waiting.arrives());
  Waiting.Server.send(0, ForwardFixture::answer(
                             "503 Busy", "x-camphornotch-not-executed: 1\r\n"));
  cr_assert(turnUntil(Waiting.Events, [&] {
    return Waiting.Pool.find(EndpointId{"i-1"})->Outstanding == 0;
  }));
  Waiting.Forward.endAll();
  cr_assert_eq(Waiting.Refused.Status, 503);
}
