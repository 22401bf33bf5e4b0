/// @file
/// The agent's client of its endpoint against answers without end.

#include "../net/net_fixture.h"
#include "../net/scripted_server.h"
#include "daemon/agent_endpoint_base.h"

#include <criterion/criterion.h>
#include <variant>
#include <vector>

using namespace camphornotch;

namespace {

/// A completion at an engine that the test writes.
struct EngineFixture {
  /// The loop.
  Loop Events;
  /// Sends the call.
  HttpClient Http{this->Events};
  /// The engine.
  ScriptedServer Engine;
  /// What the client told.
  std::vector<AgentEvent> Told;
  /// The client.
  EndpointClient Tested{
      this->Events, this->Http, EndpointConfig{this->Engine.target()},
      [this](AgentEvent Event) { this->Told.push_back(std::move(Event)); }};

  /// Starts a completion.
  /// @return whether it arrived at the engine.
  bool begin() {
    StartAtEndpoint Action;
    Action.Run = RunId{1};
    Action.Work.Kind = wire::WorkKind::Completion;
    Action.Work.Path = "/v1/completions";
    Action.Work.Body = "{}";
    this->Tested.start(Action);
    return turnUntil(this->Events,
                     [this] { return this->Engine.hasRequests(0, 1); });
  }

  /// @param Head what the engine answers first.
  /// @return whether the connection is closed, and the work told as broken,
  ///   before what the engine sends has no end.
  bool closesOn(std::string_view Head) {
    constexpr size_t EndlessBytes = size_t{64} << 20;
    const std::string Piece(size_t{64} << 10, 'x');
    this->Engine.send(0, Head);
    bool Flooded = false;
    turnUntil(this->Events, [&] {
      Flooded |= this->Engine.sendRepeatedly(0, Piece) > EndlessBytes;
      return Flooded || this->Engine.closed(0);
    });
    return !Flooded && this->Told.size() == 1 &&
           std::holds_alternative<EndpointBroke>(this->Told[0]);
  }
};

} // namespace

Test(endpointClient, eventThatNeverEnds_breaksTheWork) {
  EngineFixture Net;
  cr_assert(Net.begin());
  cr_assert(Net.closesOn("HTTP/1.1 200 OK\r\n\r\ndata: "));
}

Test(endpointClient, failureThatNeverEnds_breaksTheWork) {
  EngineFixture Net;
  cr_assert(Net.begin());
  cr_assert(Net.closesOn("HTTP/1.1 500 Oops\r\n\r\n"));
}
