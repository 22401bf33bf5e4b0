/// @file
/// An agent controller with one entry and a scripted endpoint.

#ifndef CAMPHORNOTCH_TESTS_AGENT_AGENT_FIXTURE_H
#define CAMPHORNOTCH_TESTS_AGENT_AGENT_FIXTURE_H

#include "core/agent/agent_base.h"

#include <string>
#include <vector>

namespace camphornotch {

/// Drives an agent controller and keeps what it asked for.
struct AgentFixture {
  /// The entry's host.
  HostId Entry{"entry-1"};
  /// The agent's boot.
  BootId Boot{77};
  /// The controller under test.
  AgentController Agent;
  /// The present.
  Millis Now{1000};
  /// All actions since the last clear.
  std::vector<AgentAction> Actions;
  /// The last work id given.
  int64_t LastWork = 0;

  /// @return settings of a small engine.
  static AgentControllerSettings settings() {
    AgentControllerSettings Settings;
    Settings.Host = HostId{"agent-1"};
    Settings.Boot = BootId{77};
    Settings.Endpoint = EndpointId{"engine-1"};
    Settings.Serves = "grind";
    Settings.Admission.Slots = 4;
    Settings.Weights.Endpoint = Settings.Endpoint;
    Settings.Weights.Model = "grind";
    Settings.Weights.Policy = SwapAllAtOnce{};
    return Settings;
  }

  /// Boots the agent beside an endpoint that has version 3.
  /// @param Settings the settings.
  explicit AgentFixture(const AgentControllerSettings &Settings = settings())
      : Agent(Settings) {
    this->handle(AgentTick{});
    this->handle(PeerUp{this->Entry, BootId{5}});
    wire::AppendReply Reply;
    Reply.Committed = true;
    Reply.Offsets = {42};
    wire::PeerMessage Message;
    Message.__set_AppendReplyMsg(Reply);
    this->say(Message);
    this->answerProbe(true, {});
    if (Settings.IsEngine)
      this->answerVersion(3);
    this->Actions.clear();
  }

  /// Hands an event in and keeps the actions.
  void handle(const AgentEvent &Event) {
    for (AgentAction &Action : this->Agent.handle(Event, this->Now))
      this->Actions.push_back(std::move(Action));
  }

  /// Hands a message of the entry in.
  void say(const wire::PeerMessage &Message) {
    this->handle(PeerSaid{this->Entry, Message});
  }

  /// Lets time pass to the next deadline.
  void tick() {
    this->Now = std::max(this->Now, this->Agent.nextDeadline());
    this->handle(AgentTick{});
  }

  /// @return the actions of one kind.
  template <typename KindT> std::vector<KindT> all() const {
    std::vector<KindT> Found;
    for (const AgentAction &Action : this->Actions) {
      if (const auto *Each = std::get_if<KindT>(&Action))
        Found.push_back(*Each);
    }
    return Found;
  }

  /// @return the refusals told to the entry.
  std::vector<wire::WorkRefused> refused() const {
    std::vector<wire::WorkRefused> Found;
    for (const TellPeer &Each : this->all<TellPeer>()) {
      if (Each.Message.__isset.WorkRefusedMsg)
        Found.push_back(Each.Message.WorkRefusedMsg);
    }
    return Found;
  }

  /// @return the answers told to the entry.
  std::vector<wire::WorkFinished> finished() const {
    std::vector<wire::WorkFinished> Found;
    for (const TellPeer &Each : this->all<TellPeer>()) {
      if (Each.Message.__isset.WorkFinishedMsg)
        Found.push_back(Each.Message.WorkFinishedMsg);
    }
    return Found;
  }

  /// @return the chunks told to the entry.
  std::vector<wire::WorkChunk> chunks() const {
    std::vector<wire::WorkChunk> Found;
    for (const TellPeer &Each : this->all<TellPeer>()) {
      if (Each.Message.__isset.WorkChunkMsg)
        Found.push_back(Each.Message.WorkChunkMsg);
    }
    return Found;
  }

  /// Answers the last probe.
  void answerProbe(bool Alive, std::vector<std::string> Streams) {
    const int64_t Probe = this->all<ProbeEndpoint>().back().Probe;
    this->handle(ProbeAnswered{Probe, Alive, std::move(Streams)});
  }

  /// Answers the last question for the version.
  void answerVersion(int64_t Version) {
    const int64_t Query = this->all<AskVersion>().back().Query;
    this->handle(WeightNews{VersionAnswered{Query, {Version}}});
  }

  /// @param Class the class.
  /// @param Digest the request's digest.
  /// @return a completion that was not sent yet.
  wire::StartWork makeWork(wire::WorkClass::type Class, int64_t Digest = 0) {
    wire::StartWork Work;
    Work.Work = ++this->LastWork;
    Work.Kind = wire::WorkKind::Completion;
    Work.Class = Class;
    Work.Caller = "trainer";
    Work.RequestId = "request";
    Work.ExpectedTokens = 100;
    Work.Digest = Digest;
    return Work;
  }

  /// Sends work.
  void start(const wire::StartWork &Work) {
    wire::PeerMessage Message;
    Message.__set_StartWorkMsg(Work);
    this->say(Message);
  }

  /// Sends a call under an intent.
  /// @param Offset the intent's offset.
  /// @return what was sent.
  wire::StartWork startIntent(int64_t Offset) {
    wire::StartWork Work = this->makeWork(wire::WorkClass::Short);
    Work.Kind = wire::WorkKind::IntentCall;
    Work.IntentOffset = Offset;
    Work.AgentBoot = this->Boot.Value;
    this->start(Work);
    return Work;
  }

  /// @return the run started last.
  StartAtEndpoint lastRun() const {
    return this->all<StartAtEndpoint>().back();
  }

  /// Lets the endpoint produce output.
  void output(RunId Run, const std::string &Data, int64_t Tokens,
              int64_t Version = 3) {
    this->handle(EndpointOutput{Run, Data, Tokens, {Version}});
  }

  /// Lets the endpoint finish.
  void finish(RunId Run) {
    this->handle(EndpointFinished{Run, 200, "text/plain", {}});
  }
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_AGENT_AGENT_FIXTURE_H
