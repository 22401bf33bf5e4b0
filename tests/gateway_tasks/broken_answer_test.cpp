/// @file
/// A whole gateway before an endpoint whose answers are no valid HTTP: what
/// callers receive.

#include "base/text_func.h"
#include "tests/net/scripted_server.h"
#include "whole_gateway_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A configuration with a route of each kind of request.
constexpr const char *ConfigText = R"({"version":1,"routes":[
  {"name":"a","host":"h","path_prefix":"/a/","kind":"safe","service":"s",
   "timeout_ms":1000,"target_latency_ms":200,"attempts":1},
  {"name":"u","host":"h","path_prefix":"/u/","kind":"unsafe","service":"s",
   "timeout_ms":1000,"target_latency_ms":200,"attempts":1},
  {"name":"s","host":"h","path_prefix":"/s/","kind":"streaming","service":"s",
   "timeout_ms":1000,"target_latency_ms":200,"attempts":1}],
 "services":[{"name":"s"}],"limits":{}})";

/// Header lines that make an answer to the request of BrokenAnswer usable.
const std::string AnswerLines = "x-camphornotch-request-id: r2\r\n"
                                "x-camphornotch-response-signature: sig\r\n";

/// A gateway whose only endpoint is scripted, and one request that has reached
/// it.
struct BrokenAnswer {
  WholeGateway Net;
  ScriptedServer Endpoint;
  std::unique_ptr<PlainSocket> Caller;

  /// @param Path the request's path, which selects its kind.
  explicit BrokenAnswer(const std::string &Path) {
    this->Net.configure(ConfigText);
    this->Net.registerEndpoint("i-1", this->Endpoint.target().Port);
    cr_assert(turnUntil(this->Net.Events, [&] {
      // The gateway refuses the request until it knows the endpoint.
      if (this->Caller == nullptr || !this->Caller->received().empty()) {
        this->Caller = std::make_unique<PlainSocket>(
            this->Net.Tested->callerTarget().Port);
        this->Caller->send("GET " + Path +
                           " HTTP/1.1\r\nhost: h\r\n"
                           "x-camphornotch-request-id: r2\r\n\r\n");
      }
      return this->Endpoint.hasRequests(0, 1);
    }));
  }

  /// Sends the endpoint's answer.
  /// @param Bytes the answer.
  /// @param Ends whether the endpoint closes the connection after it.
  /// @return what the caller receives.
  std::string receivedFor(const std::string &Bytes, bool Ends) {
    this->Endpoint.send(0, Bytes);
    if (Ends)
      this->Endpoint.end(0);
    turnUntil(this->Net.Events, [this] {
      return !this->Caller->received().empty() &&
             (this->Caller->ended() ||
              this->Caller->received().find("\r\n\r\n") != std::string::npos);
    });
    return this->Caller->received();
  }
};

/// Expects that callers of all kinds get a failure of the gateway in place of
/// an answer.
/// @param StatusLine the status line without its end.
/// @param FirstLines further header lines, before the others.
/// @param LastLines further header lines, after the others.
void expectNoAnswer(const std::string &StatusLine,
                    const std::string &FirstLines = "",
                    const std::string &LastLines = "") {
  struct Framing {
    std::string Lines;
    /// Whether the connection ends after the body.
    bool Ends;
  };
  for (const char *Path : {"/a/x", "/u/x", "/s/x"})
    for (const Framing &Each :
         {Framing{"content-length: 15\r\n", false},
          Framing{"content-length: 99\r\n", false}, Framing{"", true}}) {
      BrokenAnswer Run(Path);
      const std::string Head =
          concat(StatusLine, "\r\n", FirstLines, AnswerLines, Each.Lines,
                 LastLines, "\r\n");
      const std::string Received =
          Run.receivedFor(Head + "id: 1\ndata: a\n\n", Each.Ends);
      cr_expect(Received.starts_with("HTTP/1.1 502 "), "%s %s -> %s", Path,
                Head.c_str(), Received.c_str());
    }
}

} // namespace

TestSuite(brokenAnswer, .timeout = 120);

// Guards against a status that is none: callers got it as the answer.
Test(brokenAnswer, invalidStatus_isReplacedByAFailure) {
  for (const char *Status : {"000", "099", "20", "0200", "600", "999"})
    expectNoAnswer(std::string("HTTP/1.1 ") + Status + " Trouble");
}

// Guards against an interim response that is passed on because it seems to
// have a body, and against the answer to an upgrade that was not requested.
Test(brokenAnswer, interimStatus_isNoAnswer) {
  for (const char *Status : {"100 Continue", "101 Switching Protocols",
                             "103 Early Hints", "199 Later"})
    expectNoAnswer(std::string("HTTP/1.1 ") + Status);
}

// Guards against field names with blanks or control bytes: callers got the
// line, or a body that began within the head.
Test(brokenAnswer, invalidFieldName_isReplacedByAFailure) {
  using namespace std::string_literals;
  for (const std::string &Byte :
       {" "s, "\t"s, "\0"s, "\x01"s, "\x7f"s, "\r"s, "\n"s})
    for (const std::string &Line :
         {Byte + "x-a: b\r\n", "x-" + Byte + "a: b\r\n",
          "x-a" + Byte + ": b\r\n"}) {
      expectNoAnswer("HTTP/1.1 200 OK", Line);
      expectNoAnswer("HTTP/1.1 200 OK", "", Line);
    }
}

// Guards against bodies whose coding is not known: callers got them as they
// came, and one that was cut short as complete.
Test(brokenAnswer, unknownTransferCoding_isReplacedByAFailure) {
  for (const char *Coding : {"gzip", "xchunked", "gzip, chunked", "identity"})
    expectNoAnswer("HTTP/1.1 200 OK",
                   concat("transfer-encoding: ", Coding, "\r\n"));
}
