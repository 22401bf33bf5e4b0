/// @file
/// Items whose engines send bytes or events without end.

#include "gateway_fixture.h"
#include "tests/net/scripted_server.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// Bytes after which an answer counts as endless.
constexpr size_t EndlessBytes = size_t{64} << 20;

/// A gateway whose only engine is written by the test, until another comes.
struct EndlessFixture {
  /// The gateway, its store and the good engine.
  GatewayFixture Net{1};
  /// The engine that the test writes.
  ScriptedServer Bad;

  /// Submits one item, which begins at the bad engine, and adds the good one.
  /// @param Tokens the item's tokens; 0: not told.
  /// @return whether the item began.
  bool begin(int64_t Tokens = 0) {
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
    const bool Begun = this->Net.ask(0, Call).Status == 202 &&
                       turnUntil(this->Net.Events,
                                 [&] { return this->Bad.hasRequests(0, 1); });
    EndpointRecord Spare = Good;
    Spare.Id = EndpointId{"i-spare"};
    Pool.put(Spare);
    this->Bad.send(0, "HTTP/1.1 200 OK\r\n"
                      "x-camphornotch-request-id: s-0\r\n"
                      "x-camphornotch-response-signature: sig\r\n"
                      "x-camphornotch-weight-versions: 3\r\n"
                      "content-type: text/event-stream\r\n"
                      "content-length: 99999999999\r\n\r\n");
    return Begun;
  }

  /// @param Piece what the bad engine sends over and over.
  /// @return whether its connection is closed before that has no end.
  bool closesOn(const std::string &Piece) {
    bool Flooded = false;
    turnUntil(this->Net.Events, [&] {
      Flooded |= this->Bad.sendOn(0, Piece) > EndlessBytes;
      return Flooded || this->Bad.closed(0);
    });
    return !Flooded && this->Bad.closed(0);
  }
};

/// @param First the first one's number.
/// @param Count how many.
/// @param Data the data of each.
/// @return events that follow one another.
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

Test(endlessItem, eventThatNeverEnds_isCutAndTheItemGoesOnElsewhere) {
  EndlessFixture Run;
  cr_assert(Run.begin());
  Run.Bad.send(0, events(1, 1, "e1") + "id: 2\ndata: ");
  cr_assert(Run.closesOn(std::string(size_t{64} << 10, 'x')));
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Run.Net.Engine.Runs["s-0"].back(), 1);
}

Test(endlessItem, moreEventsThanTokens_areForgottenAndTheItemBeginsAnew) {
  EndlessFixture Run;
  cr_assert(Run.begin(10));
  Run.Bad.send(0, events(1, 2'000, "bad"));
  const platform::Json Read = Run.Net.results(0, "s", 1);
  cr_assert_eq(Read.size(), 1U);
  cr_assert(Read[0]["text"] == "e1\ne2\ne3\ne4");
  cr_assert_eq(Run.Net.Engine.Runs["s-0"].back(), 0);
  cr_assert(Run.Bad.closed(0));
}

Test(endlessItem, textOverAResultsLimit_isForgottenAndTheItemBeginsAnew) {
  EndlessFixture Run;
  cr_assert(Run.begin());
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
