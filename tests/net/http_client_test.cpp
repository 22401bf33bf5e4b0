/// @file
/// The HTTP client with invalid, late and too long responses.

#include "net_fixture.h"
#include "scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The client's default limit of a collected body.
constexpr size_t MaxBodyBytes = size_t{4} << 20;
/// Minimum size of the block that is sent repeatedly.
constexpr size_t BlockBytes = size_t{64} << 10;
/// A client that accepts this many bytes has no limit.
constexpr size_t EndlessBytes = size_t{64} << 20;
/// Limit on the bytes of one read.
constexpr size_t ReadBytes = size_t{2} << 20;

/// A client, a scripted server, and the results of the calls.
struct ClientFixture {
  Loop Events;
  HttpClient Client{this->Events};
  ScriptedServer Server;
  /// In the order of their arrival.
  std::vector<HttpResponse> Answers;
  /// In the order of their arrival.
  std::vector<HttpFailure> Failures;

  /// Starts a POST.
  /// @param Reuse whether a pooled connection may be used.
  void start(bool Reuse = true, std::string Body = "x",
             std::string Identity = "") {
    HttpCall Call;
    Call.Identity = std::move(Identity);
    Call.Target = this->Server.target();
    Call.Method = "POST";
    Call.Body = std::move(Body);
    Call.Reuse = Reuse;
    HttpCallbacks Callbacks;
    Callbacks.Finished = [this](HttpResponse Response) {
      this->Answers.push_back(std::move(Response));
    };
    Callbacks.Failed = [this](const HttpFailure &Failure) {
      this->Failures.push_back(Failure);
    };
    this->Client.start(std::move(Call), std::move(Callbacks));
  }

  /// @return whether at least Count requests arrive on a connection.
  bool requestsArrive(size_t Index, size_t Count) {
    return turnUntil(this->Events,
                     [&] { return this->Server.hasRequests(Index, Count); });
  }

  /// @return whether at least Count calls end.
  bool callsEnd(size_t Count) {
    return turnUntil(this->Events, [&] {
      return this->Answers.size() + this->Failures.size() >= Count;
    });
  }

  /// Starts a call and sends an endless response.
  /// @param Prefix the first bytes of the response.
  /// @param Piece sent repeatedly after the prefix.
  /// @return whether the call failed and its connection was closed before the
  ///         server had sent EndlessBytes.
  bool rejectsEndless(std::string_view Prefix, const std::string &Piece) {
    this->start();
    if (!this->requestsArrive(0, 1))
      return false;
    this->Server.send(0, Prefix);
    std::string Block;
    while (Block.size() < BlockBytes)
      Block += Piece;
    turnUntil(this->Events, [&] {
      return !this->Failures.empty() ||
             this->Server.sendRepeatedly(0, Block) > EndlessBytes;
    });
    return this->Failures.size() == 1 && this->Answers.empty() &&
           turnUntil(this->Events, [&] { return this->Server.closed(0); });
  }

  /// @return the response bytes that the failed call received.
  size_t receivedBytes() const { return this->Failures.at(0).Received; }

  /// Runs some turns of the loop.
  void runTurns() {
    int Turns = 0;
    turnUntil(this->Events, [&] { return ++Turns > 5; });
  }
};

/// A valid response.
constexpr std::string_view GoodAnswer =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

} // namespace

Test(httpClient, badContentLength_isAFailureOfTheCall) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n"
                     "content-length: banana\r\n\r\n");
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Failures.size(), 1U);
  cr_assert(!Net.Failures[0].NotSent);
}

Test(httpClient, badTransferEncoding_isAFailureOfTheCall) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n"
                     "transfer-encoding: chunked\r\n\r\nzz\r\n");
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, truncatedAnswer_isAFailure) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
  Net.Server.end(0);
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, answerWithoutLength_thatEnds_isMarkedUnframed) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n\r\nall of it");
  Net.Server.end(0);
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert(!Net.Answers[0].Framed);
  cr_assert(Net.Answers[0].Body == "all of it");
}

Test(httpClient, answerWithoutLength_thatIsReset_isAFailure) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n\r\npart");
  Net.runTurns();
  Net.Server.reset(0);
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, extraResponse_closesTheConnectionAndAffectsNoOtherCall) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, std::string(GoodAnswer) +
                         "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
  cr_assert(Net.callsEnd(1));
  cr_assert(Net.Answers.at(0).Body == "ok");
  Net.start();
  cr_assert(Net.requestsArrive(1, 1),
            "the second call did not open a new connection");
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.callsEnd(2));
  cr_assert(Net.Answers.at(1).Body == "ok");
}

Test(httpClient, extraResponseLate_closesTheIdleConnection) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.callsEnd(1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  Net.start();
  cr_assert(Net.requestsArrive(1, 1));
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.callsEnd(2));
  cr_assert(Net.Answers.at(1).Body == "ok");
}

Test(httpClient, secondCall_usesTheKeptConnection) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.callsEnd(1));
  Net.start();
  cr_assert(Net.requestsArrive(0, 2));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.callsEnd(2));
  cr_assert_eq(Net.Server.poll(), 1U);
}

// Guards against a late second copy of a response that passes for the response
// to the repeated request.
Test(httpClient, repeatedRequest_goesOnAnotherConnectionThanBefore) {
  ClientFixture Net;
  Net.start(true, "x", "r1");
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.callsEnd(1));
  Net.start(true, "x", "r1");
  cr_assert(Net.requestsArrive(1, 1));
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.callsEnd(2));
  Net.start(true, "x", "r2");
  cr_assert(Net.requestsArrive(1, 2));
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.callsEnd(3));
  Net.start(true, "x", "r1");
  cr_assert(Net.requestsArrive(1, 3));
  cr_assert_eq(Net.Server.poll(), 2U);
}

Test(httpClient, keepAliveTimeoutOfZero_closesTheConnection) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n"
                     "content-length: 2\r\n\r\nok");
  cr_assert(Net.callsEnd(1));
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
}

Test(httpClient, earlyAnswer_beforeTheBodyIsRead_arrivesAndIsNotKept) {
  ClientFixture Net;
  const std::string Large(size_t{32} << 20, 'b');
  Net.start(true, Large);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.poll() == 1; }));
  Net.Server.send(0, "HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno");
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Answers.at(0).Status, 413);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }),
            "the rest of the body would be read as another request");
}

Test(httpClient, interimResponse_isSkipped) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, std::string("HTTP/1.1 100 Continue\r\n\r\n") +
                         std::string(GoodAnswer));
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Answers.at(0).Status, 200);
}

Test(httpClient, trailers_areNoHeadersOfTheAnswer) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\nx-late: 1\r\nx-more: 2\r\n\r\n");
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert(Net.Answers[0].Body == "ok");
  cr_assert_eq(Net.Answers[0].Headers.size(), 1U);
}

Test(httpClient, answerInSingleBytes_isUnderstood) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  for (const char Byte : GoodAnswer) {
    Net.Server.send(0, std::string_view(&Byte, 1));
    Net.runTurns();
  }
  cr_assert(Net.callsEnd(1));
  cr_assert(Net.Answers.at(0).Body == "ok");
}

Test(httpClient, cancelWithinChunk_keepsTheCallbackAlive) {
  ClientFixture Net;
  const auto Value = std::make_shared<int>(7);
  const std::weak_ptr<int> Watch = Value;
  bool AliveAfterCancel = false;
  HttpCallId Id;
  HttpCall Call;
  Call.Target = Net.Server.target();
  HttpCallbacks Callbacks;
  {
    std::shared_ptr<int> Captured = Value;
    Callbacks.Chunk = [&, Captured = std::move(Captured)](std::string_view) {
      Net.Client.cancel(Id);
      AliveAfterCancel = Watch.use_count() >= 2;
    };
  }
  Id = Net.Client.start(std::move(Call), std::move(Callbacks));
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  cr_assert(AliveAfterCancel);
}

Test(httpClient, timeoutOnReusedConnection_closesTheOtherIdleOnes) {
  ClientFixture Net;
  Net.start();
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  cr_assert(Net.requestsArrive(1, 1));
  Net.Server.send(0, GoodAnswer);
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.callsEnd(2));
  HttpCall Call;
  Call.Target = Net.Server.target();
  Call.Timeout = Millis{50};
  bool Failed = false;
  HttpCallbacks Callbacks;
  Callbacks.Failed = [&](const HttpFailure &) { Failed = true; };
  Net.Client.start(Call, std::move(Callbacks));
  cr_assert(turnUntil(Net.Events, [&] { return Failed; }));
  Net.start();
  cr_assert(Net.requestsArrive(2, 1),
            "the next call did not open a new connection");
}

Test(httpClient, connectTimeout_failsAsNotSent) {
  ClientFixture Net;
  HttpCall Call;
  // No connection can be made: nothing listens on port 9.
  Call.Target = HttpTarget{"127.0.0.1", 9};
  Call.ConnectTimeout = Millis{50};
  bool NotSent = false;
  HttpCallbacks Callbacks;
  Callbacks.Failed = [&](const HttpFailure &Failure) {
    NotSent = Failure.NotSent;
  };
  Net.Client.start(std::move(Call), std::move(Callbacks));
  cr_assert(turnUntil(Net.Events, [&] { return NotSent; }));
}

Test(httpClient, bodyWithoutLengthThatNeverEnds_fails) {
  ClientFixture Net;
  cr_assert(Net.rejectsEndless("HTTP/1.1 200 OK\r\n\r\n", "x"));
  cr_assert_lt(Net.receivedBytes(), MaxBodyBytes + ReadBytes);
}

Test(httpClient, chunkedBodyThatNeverEnds_fails) {
  ClientFixture Net;
  cr_assert(Net.rejectsEndless("HTTP/1.1 200 OK\r\n"
                               "transfer-encoding: chunked\r\n\r\n",
                               "5\r\nhello\r\n"));
  cr_assert_lt(Net.receivedBytes(), 2 * MaxBodyBytes + ReadBytes);
}

Test(httpClient, lengthOverTheLimit_failsWithTheHead) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n"
                     "content-length: 99999999999\r\n\r\nx");
  cr_assert(Net.callsEnd(1));
  cr_assert_eq(Net.Failures.size(), 1U);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
}

Test(httpClient, bodyOfTheLimit_arrivesWhole) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.requestsArrive(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: " +
                         std::to_string(MaxBodyBytes) + "\r\n\r\n");
  const std::string Block(BlockBytes, 'x');
  size_t Remaining = MaxBodyBytes;
  cr_assert(turnUntil(Net.Events, [&] {
    Remaining -= Net.Server.sendSome(
        0,
        std::string_view(Block).substr(0, std::min(Remaining, Block.size())));
    return !Net.Answers.empty() || !Net.Failures.empty();
  }));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert_eq(Net.Answers[0].Body.size(), MaxBodyBytes);
}

Test(httpClient, bodiesOverTheCommonLimit_failButTheOthersArrive) {
  ClientFixture Net;
  constexpr size_t Calls = 12;
  for (size_t Index = 0; Index < Calls; ++Index) {
    Net.start(false);
    cr_assert(Net.requestsArrive(Index, 1));
    Net.Server.send(Index, "HTTP/1.1 200 OK\r\ncontent-length: " +
                               std::to_string(MaxBodyBytes) + "\r\n\r\n");
  }
  const std::string Body(MaxBodyBytes, 'x');
  for (size_t Index = 0; Index < Calls; ++Index) {
    size_t Sent = 0;
    turnUntil(Net.Events, [&] {
      Sent += Net.Server.sendSome(
          Index, std::string_view(Body).substr(Sent, Body.size() - 1 - Sent));
      return Sent == Body.size() - 1 || Net.Server.closed(Index);
    });
    Net.runTurns();
  }
  const size_t Cut = Net.Failures.size();
  cr_assert_geq(Cut, 4U, "12 responses of 4 MiB were collected at once");
  for (const HttpFailure &Each : Net.Failures)
    cr_assert_eq(Each.Cause.Kind, ErrorKind::TooLarge);
  for (size_t Index = 0; Index < Calls; ++Index)
    if (!Net.Server.closed(Index))
      Net.Server.send(Index, "x");
  cr_assert(Net.callsEnd(Calls));
  cr_assert_geq(Net.Answers.size(), 4U);
  cr_assert(Net.Answers[0].Body == Body);
}

Test(httpClient, headThatNeverEnds_fails) {
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  struct Case {
    std::string Prefix;
    std::string Piece;
  };
  const std::string Chunked = Good + "transfer-encoding: chunked\r\n\r\n";
  const std::vector<Case> Cases = {
      {"HTTP/1.1 200 ", "reason "},
      {Good + "a: ", "x"},
      {Good, "x"},
      {Good, "a: b\r\n"},
      {Good + "a: ", " \r\n "},
      {"", "\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n"},
      {Chunked + "5;", "x"},
      {Chunked, "0"},
      {Chunked + "0\r\n", "a: b\r\n"},
      {Chunked + "0\r\na: ", "x"},
  };
  for (const Case &Each : Cases) {
    ClientFixture Net;
    cr_expect(Net.rejectsEndless(Each.Prefix, Each.Piece), "%s ... %s",
              Each.Prefix.c_str(), Each.Piece.c_str());
    if (!Net.Failures.empty())
      cr_expect_lt(Net.receivedBytes(), ReadBytes);
  }
}
