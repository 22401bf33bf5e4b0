/// @file
/// Random courses of an agent beside a model engine, for properties.

#ifndef CAMPHORNOTCH_TESTS_AGENT_AGENT_COURSE_H
#define CAMPHORNOTCH_TESTS_AGENT_AGENT_COURSE_H

#include "agent_fixture.h"

#include <array>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace camphornotch {

/// An agent, one entry and an engine that fails in every way it may. Between
/// an order whose answer was lost and the next answer of the engine, what the
/// engine reports of its version may be wrong.
class AgentCourse {
public:
  /// Lets one random thing happen.
  void step() {
    this->Fix.Now += Millis{*rc::gen::inRange(0, 300)};
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2:
      this->startWork();
      break;
    case 3:
    case 4:
      this->produce();
      break;
    case 5:
      this->finishOne();
      break;
    case 6:
      this->breakOne();
      break;
    case 7:
      this->announce();
      break;
    case 8:
      this->endOrder();
      break;
    case 9:
      this->flapLink();
      break;
    case 10:
      this->pause();
      break;
    default:
      this->Fix.tick();
    }
    this->takeActions();
    if (*rc::gen::arbitrary<bool>())
      this->answerQuestions();
  }

  /// Lets all that is open come to its end.
  void drain() {
    for (int Turn = 0; Turn < MaxDrainTurns; ++Turn) {
      this->takeActions();
      this->endOrder();
      this->answerQuestions();
      if (!this->Runs.empty())
        this->finishOne();
      else if (this->Ends.size() == this->Sent.size())
        return;
      else
        this->Fix.tick();
    }
  }

  /// Everything sent, by work id.
  std::set<int64_t> Sent;
  /// How often each work started at the engine.
  std::map<int64_t, int> Started;
  /// All ends told, by work id.
  std::map<int64_t, std::vector<WorkEnd>> Ends;
  /// The versions that truly made each finished work's tokens.
  std::map<int64_t, std::vector<int64_t>> Truth;

private:
  /// Turns of drain() at most.
  static constexpr int MaxDrainTurns = 2000;

  /// Work at the engine.
  struct ModelRun {
    /// Its work id.
    int64_t Work = 0;
    /// Its request id.
    std::string StreamId;
    /// The version of each token.
    std::vector<int64_t> Versions;
  };

  /// Sends work of a random class.
  void startWork() {
    constexpr std::array Classes{wire::WorkClass::Short,
                                 wire::WorkClass::Rollout};
    wire::StartWork Work =
        this->Fix.makeWork(Classes.at(*rc::gen::inRange<size_t>(0, 2)));
    Work.MinVersion = *rc::gen::inRange<int64_t>(0, this->Version + 1);
    this->Sent.insert(Work.Work);
    this->Fix.start(Work);
  }

  /// @return a random run at the engine; the end if there is none.
  std::map<RunId, ModelRun>::iterator anyRun() {
    auto Chosen = this->Runs.begin();
    if (!this->Runs.empty())
      std::advance(Chosen, *rc::gen::inRange<size_t>(0, this->Runs.size()));
    return Chosen;
  }

  /// Lets a run produce tokens.
  void produce() {
    const auto Run = this->anyRun();
    if (Run == this->Runs.end())
      return;
    const int Tokens = *rc::gen::inRange(1, 9);
    for (int Index = 0; Index < Tokens; ++Index)
      Run->second.Versions.push_back(this->Version);
    this->Fix.output(Run->first, "x", Tokens, this->Reported);
  }

  /// Lets a run finish, or stop if it was told to.
  void finishOne() {
    const auto Run = this->anyRun();
    if (Run == this->Runs.end())
      return;
    const RunId Id = Run->first;
    this->Truth[Run->second.Work] = Run->second.Versions;
    this->Runs.erase(Run);
    if (this->Stopping.erase(Id) > 0 && *rc::gen::arbitrary<bool>())
      this->Fix.handle(EndpointStopped{Id});
    else
      this->Fix.finish(Id);
    // Late answers of an attempt that has ended must change nothing.
    this->Fix.output(Id, "late", 1, this->Reported);
    this->Fix.finish(Id);
  }

  /// Breaks the connection of a run.
  void breakOne() {
    const auto Run = this->anyRun();
    if (Run == this->Runs.end())
      return;
    const RunId Id = Run->first;
    this->Runs.erase(Run);
    this->Fix.handle(EndpointBroke{Id});
  }

  /// Announces the next version.
  void announce() {
    wire::WeightsAnnounce News;
    News.Model = "grind";
    News.Version = ++this->Newest;
    wire::PeerMessage Message;
    Message.__set_WeightsAnnounceMsg(News);
    this->Fix.say(Message);
  }

  /// Ends the order under way in a random way.
  void endOrder() {
    if (this->Late && *rc::gen::arbitrary<bool>()) {
      this->Version = std::max(this->Version, *this->Late);
      this->Late.reset();
    }
    if (!this->Order)
      return;
    const SendOrder Ended = *this->Order;
    this->Order.reset();
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      this->Fix.handle(WeightNews{OrderFailed{Ended.Order}});
      break;
    case 1:
      this->Version = Ended.Version.Value;
      this->Fix.handle(WeightNews{OrderLost{Ended.Order}});
      break;
    case 2:
      this->Late = Ended.Version.Value;
      this->Fix.handle(WeightNews{OrderLost{Ended.Order}});
      break;
    default:
      this->Version = Ended.Version.Value;
      this->Reported = this->Version;
      this->Late.reset();
      this->Fix.handle(WeightNews{OrderDone{Ended.Order, Ended.Version}});
    }
  }

  /// Loses the link and asks for all work on a new one.
  void flapLink() {
    this->Fix.handle(PeerDown{this->Fix.Entry});
    this->Fix.handle(PeerUp{this->Fix.Entry, BootId{5}});
    wire::QueryWork Query;
    for (const int64_t Work : this->Sent) {
      Query.Works.push_back(Work);
      Query.HaveBytes.push_back(0);
    }
    wire::PeerMessage Message;
    Message.__set_QueryWorkMsg(Query);
    this->Fix.say(Message);
  }

  /// Pauses the agent; its boot stands still.
  void pause() {
    this->Fix.handle(ClockJumped{seconds(60)});
    wire::StandingReply Reply;
    Reply.Boot = this->Fix.Boot.Value;
    for (const TellPeer &Each : this->Fix.all<TellPeer>()) {
      if (Each.Message.__isset.StandingQueryMsg)
        Reply.Id = Each.Message.StandingQueryMsg.Id;
    }
    wire::PeerMessage Message;
    Message.__set_StandingReplyMsg(Reply);
    this->Fix.say(Message);
  }

  /// Answers the last probe and the last question for the version.
  void answerQuestions() {
    if (this->Probe) {
      std::vector<std::string> Streams;
      for (const auto &[Id, Run] : this->Runs)
        Streams.push_back(Run.StreamId);
      const int64_t Number = std::exchange(this->Probe, std::nullopt)->Probe;
      this->Fix.handle(ProbeAnswered{Number, true, Streams});
    }
    if (this->Question) {
      const int64_t Number = std::exchange(this->Question, std::nullopt)->Query;
      this->Reported = this->Version;
      this->Fix.handle(WeightNews{VersionAnswered{Number, {this->Version}}});
    }
    this->takeActions();
  }

  /// Carries out what the agent asked for.
  void takeActions() {
    const std::vector<AgentAction> Actions = std::move(this->Fix.Actions);
    this->Fix.Actions.clear();
    for (const AgentAction &Action : Actions)
      std::visit([this](const auto &Each) { this->take(Each); }, Action);
  }

  /// @name Actions of the agent, carried out.
  /// @{
  void take(const StartAtEndpoint &Action) {
    ++this->Started[Action.Work.Work];
    this->Runs.emplace(Action.Run,
                       ModelRun{Action.Work.Work, Action.StreamId, {}});
  }
  void take(const StopAtEndpoint &Action) { this->Stopping.insert(Action.Run); }
  void take(const AbandonRun &Action) { this->Runs.erase(Action.Run); }
  void take(const ProbeEndpoint &Action) { this->Probe = Action; }
  void take(const AskVersion &Action) { this->Question = Action; }
  void take(const SendOrder &Action) { this->Order = Action; }
  void take(const TellPeer &Action) {
    const wire::PeerMessage &Message = Action.Message;
    if (Message.__isset.WorkFinishedMsg)
      this->Ends[Message.WorkFinishedMsg.Work].emplace_back(
          Message.WorkFinishedMsg);
    if (Message.__isset.WorkRefusedMsg)
      this->Ends[Message.WorkRefusedMsg.Work].emplace_back(
          Message.WorkRefusedMsg);
  }
  template <typename ActionT> void take(const ActionT & /*Action*/) {}
  /// @}

  /// The agent.
  AgentFixture Fix;
  /// The version that truly makes tokens.
  int64_t Version = 3;
  /// The version that the engine reports.
  int64_t Reported = 3;
  /// The newest version announced.
  int64_t Newest = 3;
  /// The version of a lost order that takes effect later.
  std::optional<int64_t> Late;
  /// The order under way.
  std::optional<SendOrder> Order;
  /// The probe not answered.
  std::optional<ProbeEndpoint> Probe;
  /// The question not answered.
  std::optional<AskVersion> Question;
  /// Work at the engine.
  std::map<RunId, ModelRun> Runs;
  /// Runs told to stop.
  std::set<RunId> Stopping;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_TESTS_AGENT_AGENT_COURSE_H
