/// @file
/// Items whose engine sends bytes or events without end, or an answer to
/// another request.

#include "gateway_fixture.h"
#include "tests/net/scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// An answer counts as endless once this many bytes are sent.
constexpr size_t EndlessBytes = size_t{64} << 20;

/// A gateway whose only engine is scripted by the test, until a good one is
/// added.
struct EndlessFixture {
  /// The gateway, its store and a good engine.
  GatewayFixture Net{1};
  /// The scripted engine.
  ScriptedServer Bad;

  /// Submits one item, which starts at the bad engine, then adds the good one.
  /// @param Tokens the item's token limit; 0: none given.
  /// @return whether the item was started.
  bool startItem(int64_t Tokens = 0) {
    EndpointPool &Pool = this->Net.Gateways[0]->Pool;
    const EndpointRecord Good = Pool.find(EndpointId{"i-llm"})->Record;
    EndpointRecord Bad = Good;
    Bad.ListenAddress =
        Address{this->Bad.target().Address, this->Bad.target().Port};
    Pool.put(Bad);
    HttpCall Call = GatewayFixture::submission("s", 1);
    platform::Json Body = platform::Json::parse(Call.Body);
    Body["items"][0]["tokens"] = Tokens;
    Call.Body = Body.dump();
    const bool Started = this->Net.ask(0, Call).Status == 202 &&
                         turnUntil(this->Net.Events,
                                   [&] { return this->Bad.hasRequests(0, 1); });
    EndpointRecord Spare = Good;
    Spare.Id = EndpointId{"i-spare"};
    Pool.put(Spare);
    return Started;
  }

  /// Starts the item and the bad engine's stream.
  /// @param Tokens the item's token limit; 0: none given.
  /// @return whether the item was started.
  bool start(int64_t Tokens = 0) {
    const bool Started = this->startItem(Tokens);
    this->Bad.send(0, "HTTP/1.1 200 OK\r\n"
                      "x-camphornotch-request-id: s-0\r\n"
                      "x-camphornotch-response-signature: sig\r\n"
                      "x-camphornotch-weight-versions: 3\r\n"
                      "content-type: text/event-stream\r\n"
                      "content-length: 99999999999\r\n\r\n");
    return Started;
  }

  /// @param Chunk what the bad engine sends repeatedly.
  /// @return whether the connection is closed before EndlessBytes are sent.
  bool closesOn(const std::string &Chunk) {
    bool LimitReached = false;
    turnUntil(this->Net.Events, [&] {
      LimitReached |= this->Bad.sendRepeatedly(0, Chunk) > EndlessBytes;
      return LimitReached || this->Bad.closed(0);
    });
    return !LimitReached && this->Bad.closed(0);
  }
};

/// @param First id of the first event.
/// @return a sequence of events.
std::string events(int64_t First, int64_t Count, const std::string &Data) {
  std::string Text;
  for (int64_t Event = First; Event < First + Count; ++Event) {
    Text += "id: " + std::to_string(Event) + "\ndata: ";
    Text += Data;
    Text += "\n\n";
  }
  return Text;
}

} // namespace

Test(endlessItem, eventThatNeverEnds_isAbortedAndTheItemContinuesElsewhere) {
  EndlessFixture Run;
  cr_assert(Run.start());
  Run.Bad.send(0, events(1, 1, "e1") + "id: 2\ndata: ");
  cr_assert(Run.closesOn(std::string(size_t{64} << 10, 'x')));
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Run.Net.Engine.Runs["s-0"].back(), 1);
}

Test(endlessItem, moreEventsThanTokens_areDiscardedAndTheItemRestarts) {
  EndlessFixture Run;
  cr_assert(Run.start(10));
  Run.Bad.send(0, events(1, 2'000, "bad"));
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Run.Net.Engine.Runs["s-0"].back(), 0);
  cr_assert(Run.Bad.closed(0));
}

Test(endlessItem, textOverAResultsLimit_isDiscardedAndTheItemRestarts) {
  EndlessFixture Run;
  cr_assert(Run.start());
  const std::string Bytes = events(1, 20, std::string(size_t{100} << 10, 'x'));
  size_t Sent = 0;
  turnUntil(Run.Net.Events, [&] {
    Sent += Run.Bad.sendSome(0, std::string_view(Bytes).substr(Sent));
    return Sent == Bytes.size() || Run.Bad.closed(0);
  });
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Run.Net.Engine.Runs["s-0"].back(), 0);
  cr_assert(Run.Bad.closed(0));
}

// Guards against answers to the wrong request: the item's own answer is still
// due on the connection, so no other request may be sent on it.
Test(endlessItem, refusalOfAnotherRequest_closesTheConnection) {
  EndlessFixture Run;
  cr_assert(Run.startItem());
  Run.Bad.send(0, "HTTP/1.1 503 Busy\r\nx-camphornotch-request-id: other\r\n"
                  "x-camphornotch-not-executed: 1\r\n"
                  "content-length: 0\r\n\r\n");
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert(Run.Bad.closed(0));
}
