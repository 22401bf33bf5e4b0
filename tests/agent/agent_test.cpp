/// @file
/// Tests of the agent controller: links, endpoint, crashes, boot, leaving.

#include "agent_fixture.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

constexpr auto Short = wire::WorkClass::Short;
constexpr auto Rollout = wire::WorkClass::Rollout;

/// @param Refused a refusal.
/// @return its reason.
RefusalReason reasonOf(const wire::WorkRefused &Refused) {
  return static_cast<RefusalReason>(Refused.Refusal.Reason);
}

/// @param Refused a refusal.
/// @return whether it says that the work did not run.
bool saysNotRun(const wire::WorkRefused &Refused) {
  return Refused.Refusal.RunState == static_cast<int32_t>(RunState::NotRun);
}

/// @param Leave whether to leave.
/// @return an operator's order.
wire::PeerMessage leaveOrder(bool Leave) {
  wire::LeaveOrder Order;
  Order.Leave = Leave;
  wire::PeerMessage Message;
  Message.__set_LeaveOrderMsg(Order);
  return Message;
}

/// @param Offset the offset of the rules.
/// @param Text the rules.
/// @return the push of them.
wire::PeerMessage rules(int64_t Offset, const std::string &Text) {
  wire::ConfigPush Push;
  Push.Offset = Offset;
  Push.__set_Text(Text);
  wire::PeerMessage Message;
  Message.__set_ConfigPushMsg(Push);
  return Message;
}

/// @param Works works to ask for.
/// @param Have bytes of the first that arrived.
/// @return the question.
wire::PeerMessage query(std::vector<int64_t> Works, int64_t Have) {
  wire::QueryWork Query;
  Query.Works = std::move(Works);
  Query.HaveBytes = {Have};
  wire::PeerMessage Message;
  Message.__set_QueryWorkMsg(Query);
  return Message;
}

} // namespace

Test(agent, completion_finishes_with_true_label) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout));
  const RunId Run = Fix.lastRun().Run;
  Fix.output(Run, "abc", 3, 3);
  Fix.output(Run, "de", 2, 4);
  Fix.finish(Run);
  const wire::WorkFinished End = Fix.finished().back();
  cr_assert(End.Body == "abcde" && End.Tokens == 5 && End.TotalBytes == 5);
  cr_assert(End.LabelKnown && End.Segments.size() == 2);
  cr_assert(End.Segments[1].FirstToken == 3 && End.Segments[1].Version == 4);
  cr_assert(End.Load.Running == 0 && End.Load.Slots == 4);
}

Test(agent, streamed_output_is_sent_as_it_arrives) {
  AgentFixture Fix;
  wire::StartWork Work = Fix.makeWork(Short);
  Work.Stream = true;
  Fix.start(Work);
  const RunId Run = Fix.lastRun().Run;
  Fix.output(Run, "abc", 3);
  Fix.output(Run, "de", 2);
  Fix.finish(Run);
  cr_assert(Fix.chunks().size() == 2 && Fix.chunks()[1].Offset == 3);
  cr_assert(Fix.finished().back().Body.empty());
  cr_assert(Fix.finished().back().TotalBytes == 5);
}

Test(agent, new_link_asks_gets_missing_output_and_end) {
  AgentFixture Fix;
  wire::StartWork Work = Fix.makeWork(Short);
  Work.Stream = true;
  Fix.start(Work);
  const RunId Run = Fix.lastRun().Run;
  Fix.output(Run, "abcdef", 3);
  Fix.handle(PeerDown{Fix.Entry});
  Fix.finish(Run);
  Fix.handle(PeerUp{Fix.Entry, BootId{5}});
  Fix.Actions.clear();
  Fix.say(query({Work.Work}, 2));
  cr_assert(Fix.chunks().size() == 1 && Fix.chunks()[0].Data == "cdef");
  cr_assert(Fix.finished().size() == 1);
}

Test(agent, start_repeated_runs_once_and_repeats_answer) {
  AgentFixture Fix;
  const wire::StartWork Work = Fix.makeWork(Rollout);
  Fix.start(Work);
  Fix.start(Work);
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  Fix.finish(Fix.lastRun().Run);
  Fix.start(Work);
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  cr_assert(Fix.finished().size() == 2);
}

Test(agent, unknown_work_asked_for_never_runs_afterwards) {
  AgentFixture Fix;
  wire::StartWork Work = Fix.makeWork(Rollout);
  Fix.say(query({Work.Work}, 0));
  cr_assert(Fix.refused().size() == 1 && saysNotRun(Fix.refused()[0]));
  Fix.start(Work);
  cr_assert(Fix.all<StartAtEndpoint>().empty(), "it was refused as not run");
}

Test(agent, late_output_of_ended_attempt_is_dropped) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout));
  const RunId Old = Fix.lastRun().Run;
  Fix.handle(EndpointBroke{Old});
  Fix.tick();
  Fix.answerProbe(true, {});
  Fix.answerVersion(3);
  Fix.start(Fix.makeWork(Rollout));
  const RunId New = Fix.lastRun().Run;
  cr_assert(New != Old);
  Fix.output(Old, "stale", 5);
  Fix.finish(Old);
  Fix.output(New, "fresh", 5);
  Fix.finish(New);
  cr_assert(Fix.finished().size() == 1);
  cr_assert(Fix.finished()[0].Body == "fresh");
  cr_assert(Fix.Agent.counts().LateAnswers == 2);
}

Test(agent, preempted_rollout_hands_back_kept_output) {
  AgentFixture Fix;
  wire::StartWork Resumed = Fix.makeWork(Rollout);
  Resumed.KeptText = "old";
  Resumed.KeptTokens = 3;
  wire::LabelSegment Segment;
  Segment.Version = 2;
  Resumed.KeptSegments = {Segment};
  Resumed.ExpectedTokens = 900;
  Fix.start(Resumed);
  const RunId Victim = Fix.lastRun().Run;
  Fix.start(Fix.makeWork(Rollout));
  Fix.output(Victim, "new", 3);
  for (int Index = 0; Index < 3; ++Index)
    Fix.start(Fix.makeWork(Short));
  cr_assert(Fix.all<StopAtEndpoint>().size() == 1);
  cr_assert(Fix.all<StopAtEndpoint>()[0].Run == Victim);
  Fix.handle(EndpointStopped{Victim});
  const wire::WorkRefused End = Fix.refused().back();
  cr_assert(reasonOf(End) == RefusalReason::Preempted && !saysNotRun(End));
  cr_assert(End.KeptText == "oldnew" && End.KeptTokens == 6);
  cr_assert(End.KeptSegments.size() == 2 && End.KeptSegments[1].Version == 3);
}

Test(agent, output_while_swap_unanswered_is_not_labelled) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout));
  const RunId Run = Fix.lastRun().Run;
  wire::WeightsAnnounce News;
  News.Model = "grind";
  News.Version = 4;
  wire::PeerMessage Message;
  Message.__set_WeightsAnnounceMsg(News);
  Fix.say(Message);
  const SendOrder Order = Fix.all<SendOrder>().back();
  cr_assert(Order.Fence == LogOffset{42});
  Fix.handle(WeightNews{OrderLost{Order.Order}});
  Fix.output(Run, "x", 1, 3);
  Fix.finish(Run);
  cr_assert(!Fix.finished().back().LabelKnown);
  cr_assert(Fix.finished().back().Load.Version == -1);
}

Test(agent, older_weights_than_asked_for_refuse_as_not_run) {
  AgentFixture Fix;
  wire::StartWork Work = Fix.makeWork(Rollout);
  Work.MinVersion = 4;
  Fix.start(Work);
  cr_assert(Fix.all<StartAtEndpoint>().empty());
  cr_assert(reasonOf(Fix.refused().back()) == RefusalReason::TooOld);
  cr_assert(saysNotRun(Fix.refused().back()));
}

Test(agent, all_runs_break_reports_crash_with_digests) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout, 11));
  Fix.start(Fix.makeWork(Rollout, 12));
  for (const StartAtEndpoint &Each : Fix.all<StartAtEndpoint>())
    Fix.handle(EndpointBroke{Each.Run});
  Fix.tick();
  Fix.answerProbe(false, {});
  wire::CrashReport Report;
  for (const TellPeer &Each : Fix.all<TellPeer>()) {
    if (Each.Message.__isset.CrashReportMsg)
      Report = Each.Message.CrashReportMsg;
  }
  cr_assert(Report.Digests == (std::vector<int64_t>{11, 12}));
  cr_assert(Report.Endpoint == "engine-1" && !Report.Alone);
  cr_assert(!saysNotRun(Fix.refused().back()));
  Fix.start(Fix.makeWork(Rollout));
  cr_assert(reasonOf(Fix.refused().back()) == RefusalReason::EndpointFailed);
  cr_assert(saysNotRun(Fix.refused().back()));
  Fix.tick();
  Fix.answerProbe(true, {});
  Fix.answerVersion(2);
  Fix.start(Fix.makeWork(Rollout));
  Fix.output(Fix.lastRun().Run, "x", 1, 2);
  Fix.finish(Fix.lastRun().Run);
  cr_assert(Fix.finished().back().LabelKnown);
}

Test(agent, one_connection_breaks_while_others_go_on_is_no_crash) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout, 11));
  const RunId Broken = Fix.lastRun().Run;
  Fix.start(Fix.makeWork(Rollout, 12));
  const std::string GoesOn = Fix.lastRun().StreamId;
  Fix.handle(EndpointBroke{Broken});
  Fix.tick();
  Fix.answerProbe(true, {GoesOn});
  cr_assert(Fix.Agent.counts().Crashes == 0);
}

Test(agent, suspect_runs_alone_and_quarantined_is_refused) {
  AgentFixture Fix;
  wire::QuarantinePush Push;
  Push.Offset = 50;
  Push.Digests = {13};
  Push.__set_Suspects({12});
  wire::PeerMessage Message;
  Message.__set_QuarantinePushMsg(Push);
  Fix.say(Message);
  Fix.start(Fix.makeWork(Rollout, 13));
  cr_assert(reasonOf(Fix.refused().back()) == RefusalReason::Quarantined);
  cr_assert(saysNotRun(Fix.refused().back()));
  Fix.start(Fix.makeWork(Rollout, 11));
  Fix.start(Fix.makeWork(Rollout, 12));
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  Fix.finish(Fix.lastRun().Run);
  cr_assert(Fix.all<StartAtEndpoint>().size() == 2);
}

Test(agent, streams_of_an_earlier_boot_are_cancelled) {
  AgentFixture Fix;
  Fix.tick();
  Fix.answerProbe(true, {"other/1", "other/2"});
  cr_assert(Fix.all<CancelStray>().size() == 2);
}

Test(agent, no_link_is_not_ready_and_sends_no_order) {
  AgentController Agent{AgentFixture::settings()};
  const auto Actions = Agent.handle(AgentTick{}, Millis{1000});
  cr_assert(!Agent.ready());
  for (const AgentAction &Action : Actions)
    cr_assert(!std::holds_alternative<SendOrder>(Action));
}

Test(agent, paused_agent_asks_for_its_standing_before_orders) {
  AgentFixture Fix;
  Fix.handle(ClockJumped{seconds(60)});
  wire::WeightsAnnounce News;
  News.Model = "grind";
  News.Version = 4;
  wire::PeerMessage Message;
  Message.__set_WeightsAnnounceMsg(News);
  Fix.say(Message);
  cr_assert(Fix.all<SendOrder>().empty() && !Fix.Agent.ready());
  wire::StandingReply Reply;
  for (const TellPeer &Each : Fix.all<TellPeer>()) {
    if (Each.Message.__isset.StandingQueryMsg)
      Reply.Id = Each.Message.StandingQueryMsg.Id;
  }
  Reply.Boot = Fix.Boot.Value;
  wire::PeerMessage Answer;
  Answer.__set_StandingReplyMsg(Reply);
  Fix.say(Answer);
  cr_assert(Fix.all<SendOrder>().size() == 1);
}

Test(agent, replaced_boot_leaves_without_orders) {
  AgentFixture Fix;
  Fix.handle(ClockJumped{seconds(60)});
  wire::StandingReply Reply;
  for (const TellPeer &Each : Fix.all<TellPeer>()) {
    if (Each.Message.__isset.StandingQueryMsg)
      Reply.Id = Each.Message.StandingQueryMsg.Id;
  }
  Reply.Boot = 78;
  Reply.FencingNumber = 43;
  wire::PeerMessage Answer;
  Answer.__set_StandingReplyMsg(Reply);
  Fix.say(Answer);
  cr_assert(Fix.Agent.load(Fix.Now).Leaving);
  cr_assert(Fix.all<ExitAgent>().size() == 1);
}

Test(agent, leaving_under_load_refuses_new_and_finishes_running) {
  AgentFixture Fix;
  for (int Index = 0; Index < 6; ++Index)
    Fix.start(Fix.makeWork(Rollout));
  const size_t Running = Fix.all<StartAtEndpoint>().size();
  Fix.say(leaveOrder(true));
  cr_assert(!Fix.all<BeatAll>().empty(), "the entries are told at once");
  cr_assert(Fix.refused().size() == 6 - Running);
  Fix.start(Fix.makeWork(Short));
  for (const wire::WorkRefused &Each : Fix.refused()) {
    cr_assert(reasonOf(Each) == RefusalReason::Leaving && saysNotRun(Each));
    cr_assert(Each.Load.Leaving);
  }
  Fix.finish(Fix.lastRun().Run);
  cr_assert(Fix.finished().size() == 1 && Fix.finished()[0].Load.Leaving);
  Fix.Now += seconds(30);
  Fix.handle(AgentTick{});
  cr_assert(Fix.all<StopAtEndpoint>().size() == Running - 1);
  Fix.Actions.clear();
  Fix.say(leaveOrder(false));
  Fix.start(Fix.makeWork(Short));
  cr_assert(Fix.refused().empty());
}

Test(agent, dead_entry_loses_its_work_after_a_while) {
  AgentFixture Fix;
  Fix.start(Fix.makeWork(Rollout));
  Fix.handle(PeerDown{Fix.Entry});
  Fix.Now += seconds(19);
  Fix.handle(AgentTick{});
  cr_assert(Fix.all<StopAtEndpoint>().empty());
  Fix.Now += seconds(1);
  Fix.handle(AgentTick{});
  cr_assert(Fix.all<StopAtEndpoint>().size() == 1);
}

Test(agent, same_work_id_of_two_entries_gets_own_answers) {
  AgentFixture Fix;
  const wire::StartWork Work = Fix.makeWork(Rollout);
  Fix.start(Work);
  const RunId First = Fix.lastRun().Run;
  const HostId Other{"entry-2"};
  Fix.handle(PeerUp{Other, BootId{6}});
  wire::PeerMessage Message;
  Message.__set_StartWorkMsg(Work);
  Fix.handle(PeerSaid{Other, Message});
  const RunId Second = Fix.lastRun().Run;
  Fix.output(Second, "two", 1);
  Fix.output(First, "one", 1);
  Fix.Actions.clear();
  Fix.finish(Second);
  Fix.finish(First);
  std::vector<std::pair<HostId, std::string>> Answers;
  for (const TellPeer &Each : Fix.all<TellPeer>()) {
    if (Each.Message.__isset.WorkFinishedMsg)
      Answers.emplace_back(Each.Peer, Each.Message.WorkFinishedMsg.Body);
  }
  cr_assert(Answers.size() == 2);
  cr_assert(Answers[0].first == Other && Answers[0].second == "two");
  cr_assert(Answers[1].first == Fix.Entry && Answers[1].second == "one");
}

Test(agent, rule_in_order_of_arrival_takes_force_and_never_reverts) {
  AgentFixture Fix;
  Fix.say(
      rules(100, "[admission]\ngrind = by_class=no ; asked by desk: trial\n"));
  cr_assert(Fix.Agent.configOffset() == LogOffset{100});
  for (int Index = 0; Index < 5; ++Index)
    Fix.start(Fix.makeWork(Rollout));
  Fix.start(Fix.makeWork(Short));
  cr_assert(Fix.all<StartAtEndpoint>().size() == 4);
  cr_assert(Fix.all<StopAtEndpoint>().empty());
  Fix.say(rules(99, "[admission]\n"));
  cr_assert(Fix.Agent.configOffset() == LogOffset{100});
  Fix.say(rules(101, "no rule"));
  cr_assert(Fix.Agent.configOffset() == LogOffset{100});
}

Test(agent, intent_repeated_by_another_entry_joins_the_run) {
  AgentControllerSettings Settings = AgentFixture::settings();
  Settings.IsEngine = false;
  AgentFixture Fix{Settings};
  wire::StartWork Work = Fix.startIntent(60);
  const HostId Other{"entry-2"};
  Fix.handle(PeerUp{Other, BootId{6}});
  Work.Work = 900;
  wire::PeerMessage Message;
  Message.__set_StartWorkMsg(Work);
  Fix.handle(PeerSaid{Other, Message});
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  const RunId Run = Fix.lastRun().Run;
  Fix.handle(EndpointFinished{Run, 200, "application/json", "{}"});
  cr_assert(Fix.finished().size() == 2);
  Fix.startIntent(60);
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  cr_assert(Fix.finished().size() == 3 && Fix.finished()[2].Body == "{}");
}

Test(agent, intent_of_other_boot_is_refused) {
  AgentControllerSettings Settings = AgentFixture::settings();
  Settings.IsEngine = false;
  AgentFixture Fix{Settings};
  wire::StartWork Work = Fix.makeWork(Short);
  Work.Kind = wire::WorkKind::IntentCall;
  Work.IntentOffset = 60;
  Work.AgentBoot = 76;
  Fix.start(Work);
  cr_assert(Fix.all<StartAtEndpoint>().empty() && Fix.refused().size() == 1);
}

Test(agent, broken_intent_is_unknown_and_never_runs_again) {
  AgentControllerSettings Settings = AgentFixture::settings();
  Settings.IsEngine = false;
  AgentFixture Fix{Settings};
  Fix.startIntent(60);
  Fix.handle(EndpointBroke{Fix.lastRun().Run});
  cr_assert(Fix.refused().size() == 1 && !saysNotRun(Fix.refused()[0]));
  Fix.tick();
  Fix.answerProbe(true, {});
  Fix.startIntent(60);
  cr_assert(Fix.all<StartAtEndpoint>().size() == 1);
  cr_assert(!saysNotRun(Fix.refused().back()));
}
