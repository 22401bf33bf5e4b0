/// @file
/// Work at an agent whose link breaks: what is kept, resumed and refused.

#include "../net/net_fixture.h"
#include "base/refusal_type.h"
#include "daemon/work_links_base.h"

#include <criterion/criterion.h>
#include <string>
#include <variant>
#include <vector>

using namespace camphornotch;

namespace {

/// The stream of the tests.
constexpr int64_t Stream = 7;

/// @param Host the host's name.
/// @return the Hello of its first boot.
wire::Hello helloOf(const std::string &Host) {
  wire::Hello Hello;
  Hello.Host = Host;
  Hello.Boot = 1;
  return Hello;
}

/// An entry's work at an agent, over a link.
struct WorkFixture {
  /// The agent's host.
  HostId AgentHost{"agent"};
  /// The loop.
  Loop Events;
  /// What the agent was asked for.
  std::vector<wire::QueryWork> Queries;
  /// Output that the owner got.
  std::string Output;
  /// Refusals that the owner got.
  std::vector<wire::WorkRefused> Refused;
  /// The agent's link.
  LinkHub Agent{this->Events, LinkSettings{}, helloOf("agent"),
                [this](const LinkEvent &Event) { this->atAgent(Event); }};
  /// The entry's link.
  LinkHub Entry{this->Events, LinkSettings{}, helloOf("entry"),
                [this](const LinkEvent &Event) { this->atEntry(Event); }};
  /// The entry's metrics.
  Metrics Counters;
  /// What is tested.
  WorkLinks Works;

  /// Links both.
  /// @param LossAfter how long begun answers wait.
  explicit WorkFixture(Millis LossAfter = AnswerLossAfter)
      : Works(this->Events, this->Entry, this->Counters, LossAfter) {
    this->Works.onAnswer([this](const HostId &, const WorkEvent &Event) {
      if (const auto *Chunk = std::get_if<wire::WorkChunk>(&Event.Answer))
        this->Output += Chunk->Data;
      if (const auto *Why = std::get_if<wire::WorkRefused>(&Event.Answer))
        this->Refused.push_back(*Why);
    });
    const auto Port = this->Agent.listen(HttpTarget{"127.0.0.1", 0});
    this->Entry.connect(HttpTarget{"127.0.0.1", Port.value()});
    cr_assert(turnUntil(this->Events, [this] {
      return this->Entry.isUp(this->AgentHost) &&
             this->Agent.isUp(HostId{"entry"});
    }));
  }

  /// @param Event an event of the agent's link.
  void atAgent(const LinkEvent &Event) {
    const auto *Message = std::get_if<LinkMessage>(&Event);
    if (Message != nullptr && Message->Message.__isset.QueryWorkMsg)
      this->Queries.push_back(Message->Message.QueryWorkMsg);
  }

  /// @param Event an event of the entry's link.
  void atEntry(const LinkEvent &Event) {
    if (const auto *Message = std::get_if<LinkMessage>(&Event))
      this->Works.take(Message->Peer, Message->Message);
    if (const auto *Up = std::get_if<LinkUp>(&Event))
      this->Works.linkUp(*Up);
  }

  /// Starts the stream.
  void start() {
    wire::StartWork Work;
    Work.Work = Stream;
    Work.Stream = true;
    cr_assert(this->Works.start(this->AgentHost, Work, WorkOwner::Route));
  }

  /// The agent sends a part, which the owner gets.
  /// @param Offset where it begins.
  /// @param Data the part.
  /// @param Whole all output until now.
  void send(int64_t Offset, const std::string &Data, const std::string &Whole) {
    wire::WorkChunk Chunk;
    Chunk.Work = Stream;
    Chunk.Offset = Offset;
    Chunk.Data = Data;
    wire::PeerMessage Message;
    Message.__set_WorkChunkMsg(Chunk);
    cr_assert(this->Agent.send(HostId{"entry"}, Message));
    cr_assert(turnUntil(this->Events, [&] { return this->Output == Whole; }));
  }

  /// The link is up again after it was down.
  /// @param Boot the agent's boot.
  void comeBack(int64_t Boot) {
    LinkUp Up{this->AgentHost, helloOf("agent"), false};
    Up.Hello.Boot = Boot;
    this->Works.linkUp(Up);
  }
};

} // namespace

Test(workLinks, begunStream_afterAbsence_goesOnWhereItWas) {
  WorkFixture Fixture;
  Fixture.start();
  Fixture.send(0, "abc", "abc");
  Fixture.Works.linkDown(Fixture.AgentHost);
  cr_assert_eq(Fixture.Works.open(), 1U);
  Fixture.comeBack(1);
  cr_assert(
      turnUntil(Fixture.Events, [&] { return !Fixture.Queries.empty(); }));
  cr_assert(Fixture.Queries[0].Works == std::vector<int64_t>{Stream});
  cr_assert(Fixture.Queries[0].HaveBytes == std::vector<int64_t>{3});
  Fixture.send(3, "def", "abcdef");
  cr_assert(Fixture.Refused.empty());
}

Test(workLinks, begunStream_ofAnEarlierBoot_isRefused) {
  WorkFixture Fixture;
  Fixture.start();
  Fixture.send(0, "abc", "abc");
  Fixture.Works.linkDown(Fixture.AgentHost);
  Fixture.comeBack(2);
  cr_assert_eq(Fixture.Refused.size(), 1U);
  cr_assert_eq(Fixture.Refused[0].Refusal.Reason,
               static_cast<int32_t>(RefusalReason::PeerLost));
  cr_assert_eq(Fixture.Refused[0].Refusal.RunState,
               static_cast<int32_t>(RunState::Unknown));
  cr_assert_eq(Fixture.Works.open(), 0U);
}

Test(workLinks, begunStream_whoseAgentStaysAway_isRefused) {
  WorkFixture Fixture(Millis{1});
  Fixture.start();
  Fixture.send(0, "abc", "abc");
  Fixture.Works.linkDown(Fixture.AgentHost);
  cr_assert(
      turnUntil(Fixture.Events, [&] { return Fixture.Refused.size() == 1; }));
  cr_assert_eq(Fixture.Works.open(), 0U);
}

Test(workLinks, streamNotBegun_isForgottenAtOnce) {
  WorkFixture Fixture;
  Fixture.start();
  Fixture.Works.linkDown(Fixture.AgentHost);
  cr_assert_eq(Fixture.Works.open(), 0U);
  cr_assert(Fixture.Refused.empty());
}
