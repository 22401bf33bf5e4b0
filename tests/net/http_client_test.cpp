/// @file
/// The HTTP client with invalid, late and too long responses.

#include "net_fixture.h"
#include "scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The client's default limit of a collected body.
constexpr size_t MostBodyBytes = size_t{4} << 20;
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
  void start(bool Reuse = true, std::string Body = "x") {
    HttpCall Call;
    Call.Target = this->Server.target();
    Call.Method = "POST";
    Call.Body = std::move(Body);
    Call.Reuse = Reuse;
    HttpCallbacks Tell;
    Tell.Finished = [this](HttpResponse Response) {
      this->Answers.push_back(std::move(Response));
    };
    Tell.Failed = [this](const HttpFailure &Failure) {
      this->Failures.push_back(Failure);
    };
    this->Client.start(std::move(Call), std::move(Tell));
  }

  /// @return whether at least Count requests arrive on a connection.
  bool arrives(size_t Index, size_t Count) {
    return turnUntil(this->Events,
                     [&] { return this->Server.hasRequests(Index, Count); });
  }

  /// @return whether at least Count calls end.
  bool ends(size_t Count) {
    return turnUntil(this->Events, [&] {
      return this->Answers.size() + this->Failures.size() >= Count;
    });
  }

  /// Starts a call and sends an endless response.
  /// @param Prefix the first bytes of the response.
  /// @param Piece sent repeatedly after the prefix.
  /// @return whether the call failed and its connection was closed before the
  ///         server had sent EndlessBytes.
  bool closesOn(std::string_view Prefix, const std::string &Piece) {
    this->start();
    if (!this->arrives(0, 1))
      return false;
    this->Server.send(0, Prefix);
    std::string Block;
    while (Block.size() < BlockBytes)
      Block += Piece;
    turnUntil(this->Events, [&] {
      return !this->Failures.empty() ||
             this->Server.sendOn(0, Block) > EndlessBytes;
    });
    return this->Failures.size() == 1 && this->Answers.empty() &&
           turnUntil(this->Events, [&] { return this->Server.closed(0); });
  }

  /// @return the response bytes that the failed call received.
  size_t taken() const { return this->Failures.at(0).Received; }

  /// Runs some turns of the loop.
  void settle() {
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
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n"
                     "content-length: banana\r\n\r\n");
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Failures.size(), 1U);
  cr_assert(!Net.Failures[0].NotSent);
}

Test(httpClient, badTransferEncoding_isAFailureOfTheCall) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n"
                     "transfer-encoding: chunked\r\n\r\nzz\r\n");
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, truncatedAnswer_isAFailure) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf");
  Net.Server.end(0);
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, answerWithoutLength_thatEnds_isMarkedUnframed) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n\r\nall of it");
  Net.Server.end(0);
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert(!Net.Answers[0].Framed);
  cr_assert(Net.Answers[0].Body == "all of it");
}

Test(httpClient, answerWithoutLength_thatIsReset_isAFailure) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n\r\npart");
  Net.settle();
  Net.Server.reset(0);
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Failures.size(), 1U);
}

Test(httpClient, extraAnswer_closesTheConnectionAndHurtsNoOther) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, std::string(GoodAnswer) +
                         "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
  cr_assert(Net.ends(1));
  cr_assert(Net.Answers.at(0).Body == "ok");
  Net.start();
  cr_assert(Net.arrives(1, 1), "the second call did not open a new connection");
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.ends(2));
  cr_assert(Net.Answers.at(1).Body == "ok");
}

Test(httpClient, extraAnswerLate_closesTheIdleConnection) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.ends(1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  Net.start();
  cr_assert(Net.arrives(1, 1));
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.ends(2));
  cr_assert(Net.Answers.at(1).Body == "ok");
}

Test(httpClient, secondCall_usesTheKeptConnection) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.ends(1));
  Net.start();
  cr_assert(Net.arrives(0, 2));
  Net.Server.send(0, GoodAnswer);
  cr_assert(Net.ends(2));
  cr_assert_eq(Net.Server.poll(), 1U);
}

Test(httpClient, keepAliveOfOneSecond_isNotUsedForLong) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n"
                     "content-length: 2\r\n\r\nok");
  cr_assert(Net.ends(1));
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
}

Test(httpClient, earlyAnswer_beforeTheBodyIsRead_arrivesAndIsNotKept) {
  ClientFixture Net;
  const std::string Large(size_t{32} << 20, 'b');
  Net.start(true, Large);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.poll() == 1; }));
  Net.Server.send(0, "HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno");
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Answers.at(0).Status, 413);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }),
            "the rest of the body would be read as another request");
}

Test(httpClient, interimAnswer_isPassedOver) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, std::string("HTTP/1.1 100 Continue\r\n\r\n") +
                         std::string(GoodAnswer));
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Answers.at(0).Status, 200);
}

Test(httpClient, trailers_areNoHeadersOfTheAnswer) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\nx-late: 1\r\nx-more: 2\r\n\r\n");
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert(Net.Answers[0].Body == "ok");
  cr_assert_eq(Net.Answers[0].Headers.size(), 1U);
}

Test(httpClient, answerInSingleBytes_isUnderstood) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  for (const char Byte : GoodAnswer) {
    Net.Server.send(0, std::string_view(&Byte, 1));
    Net.settle();
  }
  cr_assert(Net.ends(1));
  cr_assert(Net.Answers.at(0).Body == "ok");
}

Test(httpClient, cancelWithinChunk_keepsWhatTheChunkUses) {
  ClientFixture Net;
  const auto Held = std::make_shared<int>(7);
  const std::weak_ptr<int> Watch = Held;
  bool AliveAfterCancel = false;
  HttpCallId Id;
  HttpCall Call;
  Call.Target = Net.Server.target();
  HttpCallbacks Tell;
  {
    std::shared_ptr<int> Captured = Held;
    Tell.Chunk = [&, Captured = std::move(Captured)](std::string_view) {
      Net.Client.cancel(Id);
      AliveAfterCancel = Watch.use_count() >= 2;
    };
  }
  Id = Net.Client.start(std::move(Call), std::move(Tell));
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
  cr_assert(AliveAfterCancel);
}

Test(httpClient, keptConnectionGoesSilent_theOtherKeptOnesAreNotUsed) {
  ClientFixture Net;
  Net.start();
  Net.start();
  cr_assert(Net.arrives(0, 1));
  cr_assert(Net.arrives(1, 1));
  Net.Server.send(0, GoodAnswer);
  Net.Server.send(1, GoodAnswer);
  cr_assert(Net.ends(2));
  HttpCall Call;
  Call.Target = Net.Server.target();
  Call.Timeout = Millis{50};
  bool Failed = false;
  HttpCallbacks Tell;
  Tell.Failed = [&](const HttpFailure &) { Failed = true; };
  Net.Client.start(Call, std::move(Tell));
  cr_assert(turnUntil(Net.Events, [&] { return Failed; }));
  Net.start();
  cr_assert(Net.arrives(2, 1), "the next call did not open a new connection");
}

Test(httpClient, connectTimeout_failsAsNotSent) {
  ClientFixture Net;
  HttpCall Call;
  // No connection can be made: nothing listens on port 9.
  Call.Target = HttpTarget{"127.0.0.1", 9};
  Call.ConnectTimeout = Millis{50};
  bool NotSent = false;
  HttpCallbacks Tell;
  Tell.Failed = [&](const HttpFailure &Failure) { NotSent = Failure.NotSent; };
  Net.Client.start(std::move(Call), std::move(Tell));
  cr_assert(turnUntil(Net.Events, [&] { return NotSent; }));
}

Test(httpClient, bodyWithoutLengthThatNeverEnds_isCut) {
  ClientFixture Net;
  cr_assert(Net.closesOn("HTTP/1.1 200 OK\r\n\r\n", "x"));
  cr_assert_lt(Net.taken(), MostBodyBytes + ReadBytes);
}

Test(httpClient, chunkedBodyThatNeverEnds_isCut) {
  ClientFixture Net;
  cr_assert(Net.closesOn("HTTP/1.1 200 OK\r\n"
                         "transfer-encoding: chunked\r\n\r\n",
                         "5\r\nhello\r\n"));
  cr_assert_lt(Net.taken(), 2 * MostBodyBytes + ReadBytes);
}

Test(httpClient, lengthOverTheLimit_failsWithTheHead) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\n"
                     "content-length: 99999999999\r\n\r\nx");
  cr_assert(Net.ends(1));
  cr_assert_eq(Net.Failures.size(), 1U);
  cr_assert(turnUntil(Net.Events, [&] { return Net.Server.closed(0); }));
}

Test(httpClient, bodyOfTheLimit_arrivesWhole) {
  ClientFixture Net;
  Net.start();
  cr_assert(Net.arrives(0, 1));
  Net.Server.send(0, "HTTP/1.1 200 OK\r\ncontent-length: " +
                         std::to_string(MostBodyBytes) + "\r\n\r\n");
  const std::string Block(BlockBytes, 'x');
  size_t Left = MostBodyBytes;
  cr_assert(turnUntil(Net.Events, [&] {
    Left -= Net.Server.sendSome(
        0, std::string_view(Block).substr(0, std::min(Left, Block.size())));
    return !Net.Answers.empty() || !Net.Failures.empty();
  }));
  cr_assert_eq(Net.Answers.size(), 1U);
  cr_assert_eq(Net.Answers[0].Body.size(), MostBodyBytes);
}

Test(httpClient, answersThatTogetherHoldTooMuch_areCutButTheOthersArrive) {
  ClientFixture Net;
  constexpr size_t Calls = 12;
  for (size_t Index = 0; Index < Calls; ++Index) {
    Net.start(false);
    cr_assert(Net.arrives(Index, 1));
    Net.Server.send(Index, "HTTP/1.1 200 OK\r\ncontent-length: " +
                               std::to_string(MostBodyBytes) + "\r\n\r\n");
  }
  const std::string Body(MostBodyBytes, 'x');
  for (size_t Index = 0; Index < Calls; ++Index) {
    size_t Sent = 0;
    turnUntil(Net.Events, [&] {
      Sent += Net.Server.sendSome(
          Index, std::string_view(Body).substr(Sent, Body.size() - 1 - Sent));
      return Sent == Body.size() - 1 || Net.Server.closed(Index);
    });
    Net.settle();
  }
  const size_t Cut = Net.Failures.size();
  cr_assert_geq(Cut, 4U, "12 responses of 4 MiB were collected at once");
  for (const HttpFailure &Each : Net.Failures)
    cr_assert_eq(Each.Cause.Kind, ErrorKind::TooLarge);
  for (size_t Index = 0; Index < Calls; ++Index)
    if (!Net.Server.closed(Index))
      Net.Server.send(Index, "x");
  cr_assert(Net.ends(Calls));
  cr_assert_geq(Net.Answers.size(), 4U);
  cr_assert(Net.Answers[0].Body == Body);
}

Test(httpClient, headThatNeverEnds_isCut) {
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  struct Shape {
    std::string Prefix;
    std::string Piece;
  };
  const std::string Chunked = Good + "transfer-encoding: chunked\r\n\r\n";
  const std::vector<Shape> Shapes = {
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
  for (const Shape &Each : Shapes) {
    ClientFixture Net;
    cr_expect(Net.closesOn(Each.Prefix, Each.Piece), "%s ... %s",
              Each.Prefix.c_str(), Each.Piece.c_str());
    if (!Net.Failures.empty())
      cr_expect_lt(Net.taken(), ReadBytes);
  }
}
