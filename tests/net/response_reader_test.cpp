/// @file
/// The HTTP client with responses whose heads or chunks are not valid.

#include "base/text_func.h"
#include "net_fixture.h"
#include "scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// One call to a scripted server.
struct HeadFixture {
  Loop Events;
  HttpClient Client{this->Events};
  ScriptedServer Server;
  /// Status 0: the call has not finished.
  HttpResponse Answer;
  /// Statuses passed to the Head callback.
  std::vector<int> Heads;
  bool Failed = false;
  ErrorKind Cause = ErrorKind::Unavailable;

  HeadFixture() {
    this->Answer.Status = 0;
    HttpCall Call;
    Call.Target = this->Server.target();
    Call.Timeout = seconds(2);
    Call.Timeout = seconds(2);
    HttpCallbacks Callbacks;
    Callbacks.Head = [this](const HttpResponse &Head) {
      this->Heads.push_back(Head.Status);
    };
    Callbacks.Finished = [this](HttpResponse Response) {
      this->Answer = std::move(Response);
    };
    Callbacks.Failed = [this](const HttpFailure &Failure) {
      this->Failed = true;
      this->Cause = Failure.Cause.Kind;
    };
    this->Client.start(std::move(Call), std::move(Callbacks));
    cr_assert(turnUntil(this->Events,
                        [this] { return this->Server.hasRequests(0, 1); }));
  }

  /// @return whether the call ends.
  bool ends() {
    return turnUntil(this->Events, [this] {
      return this->Failed || this->Answer.Status != 0;
    });
  }

  /// Sends the response.
  /// @param Slowly whether it is sent byte by byte, each read by itself.
  void send(std::string_view Bytes, bool Slowly) {
    const size_t Step = Slowly ? 1 : Bytes.size();
    for (size_t At = 0; At < Bytes.size() && !this->Failed; At += Step) {
      this->Server.send(0, Bytes.substr(At, Step));
      this->Events.runOnce(Millis{1});
    }
  }
};

/// Expects that a response is rejected, whether it arrives at once or slowly.
void expectInvalid(const std::string &Bytes) {
  for (const bool Slowly : {false, true}) {
    HeadFixture Net;
    Net.send(Bytes, Slowly);
    cr_expect(Net.ends() && Net.Failed, "%s", Bytes.c_str());
    cr_expect_eq(Net.Cause, ErrorKind::BadInput, "%s", Bytes.c_str());
    cr_expect(Net.Heads.empty(), "%s", Bytes.c_str());
  }
}

/// Expects that a response is accepted, whether it arrives at once or slowly.
void expectStatus(const std::string &Bytes, int Status) {
  for (const bool Slowly : {false, true}) {
    HeadFixture Net;
    Net.send(Bytes, Slowly);
    cr_expect(Net.ends(), "%s", Bytes.c_str());
    cr_expect_eq(Net.Answer.Status, Status, "%s", Bytes.c_str());
    cr_expect(Net.Heads == std::vector<int>{Status}, "%s", Bytes.c_str());
    cr_expect_str_eq(Net.Answer.Body.c_str(), "ok");
  }
}

const std::string Body = "content-length: 2\r\n\r\nok";

} // namespace

Test(responseHead, invalidStatusLine_fails) {
  for (const char *Line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2 0 OK",
        "HTTP/1.1 200OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching"})
    expectInvalid(std::string(Line) + "\r\n" + Body);
}

Test(responseHead, validStatusLine_isAccepted) {
  for (const char *Line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
                           "HTTP/1.0 200 OK", "HTTP/1.1 200 a\tb: \xc3\xa4"})
    expectStatus(std::string(Line) + "\r\n" + Body, 200);
  expectStatus("HTTP/1.1 599 Odd\r\n" + Body, 599);
}

Test(responseHead, interimResponses_areSkippedAndHaveNoBody) {
  const std::string Interim = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n";
  expectStatus(Interim + Interim + "HTTP/1.1 200 OK\r\n" + Body, 200);
  expectStatus("HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\n"
               "HTTP/1.1 200 OK\r\n" +
                   Body,
               200);
  expectInvalid("HTTP/1.1 100 Continue\r\n" + Body);
  expectInvalid(Interim + "HTTP/1.1 000 OK\r\n" + Body);
}

Test(responseHead, invalidFieldLine_fails) {
  using namespace std::string_literals;
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  for (const std::string &Line :
       {" a: b"s, "\ta: b"s, "a : b"s, "a\t: b"s, "a b: c"s, "a\0b: c"s,
        "a\x01: b"s, "\x7f: b"s, ": b"s, "a"s, "a\x80: b"s, "a(: b"s, "\ra: b"s,
        "\na: b"s, "\r\r"s, "a: b\rc: d"s, "a: b\0"s, "a: b\x01"s}) {
    expectInvalid(concat(Good, Line, "\r\n", Body));
    expectInvalid(concat(Good, "content-length: 2\r\n", Line, "\r\n\r\nok"));
  }
  expectInvalid(Good + "a: b\r\n c\r\n" + Body);
}

Test(responseHead, lineEndsWithoutCarriageReturn_fails) {
  expectInvalid("HTTP/1.1 200 OK\n" + Body);
  expectInvalid("HTTP/1.1 200 OK\r\na: b\n" + Body);
  expectInvalid("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nok");
}

Test(responseHead, validFieldLines_areAccepted) {
  for (const char *Line : {"a: b", "a:", "a:b", "a:  b\t c  ", "a: \xc3\xa4",
                           "!#$%&'*+-.^_`|~09azAZ: x"})
    expectStatus(std::string("HTTP/1.1 200 OK\r\n") + Line + "\r\n" + Body,
                 200);
}

Test(responseHead, moreFieldsThanTheLimit_fails) {
  constexpr size_t MaxFields = 256;
  std::string Head = "HTTP/1.1 200 OK\r\n";
  for (size_t Count = 1; Count < MaxFields; ++Count)
    Head += "a:\r\n";
  expectStatus(Head + Body, 200);
  expectInvalid(concat(Head, "a:\r\n", Body));
}

Test(responseHead, unknownTransferCoding_fails) {
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  for (const char *Lines :
       {"transfer-encoding: gzip\r\n", "transfer-encoding: xchunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n"})
    expectInvalid(concat(Good, Lines, "\r\n2\r\nok\r\n0\r\n\r\n"));
  expectStatus(Good + "Transfer-Encoding: Chunked \r\n\r\n"
                      "2\r\nok\r\n0\r\n\r\n",
               200);
}

namespace {

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\n"
                                "transfer-encoding: chunked\r\n\r\n";

/// Expects that a call fails at a chunked body, whether it arrives at once or
/// slowly.
void expectInvalidChunks(const std::string &Chunks) {
  for (const bool Slowly : {false, true}) {
    HeadFixture Net;
    Net.send(ChunkedHead + Chunks, Slowly);
    cr_expect(Net.ends() && Net.Failed, "%s", Chunks.c_str());
    cr_expect_eq(Net.Cause, ErrorKind::BadInput, "%s", Chunks.c_str());
  }
}

} // namespace

// Guards against a body that loses bytes: those in the place of a line end were
// skipped.
Test(responseChunks, invalidLineEnd_fails) {
  for (const char *Chunks :
       {"2\r\nokXY0\r\n\r\n", "2\r\nok\rY0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
        "2\rXok\r\n0\r\n\r\n", "2;a\rXok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n",
        "2\r\nok\r\n0\r\n\rX", "2\r\nok\r\n0\r\na: b\r\n\rX"})
    expectInvalidChunks(Chunks);
}

Test(responseChunks, validChunks_areAccepted) {
  for (const char *Chunks :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        "2;a=b\r\nok\r\n0\r\n\r\n", "02\r\nok\r\n000\r\n\r\n",
        "2\r\nok\r\n0\r\na: b\r\nc: d\r\n\r\n"})
    expectStatus(ChunkedHead + Chunks, 200);
}
