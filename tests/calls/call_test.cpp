/// @file
/// Tests of the entry's side of calls that may run at most once.

#include "core/calls/call_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The agent that new intents name.
const HostId Agent{"agent-1"};

/// One entry's controller.
struct CallFixture {
  WorkIdSource Works;
  CallController Calls{CallSettings{}, this->Works};
  std::vector<CallAction> Last;
  int64_t NextOffset = 1;
  Millis Now{0};

  /// @param Event what happens.
  void give(const CallEvent &Event) {
    this->Last = this->Calls.handle(Event, this->Now);
  }

  /// @return the last actions of one kind.
  template <typename ActionT> std::vector<ActionT> found() const {
    std::vector<ActionT> Found;
    for (const CallAction &Action : this->Last)
      if (const auto *Match = std::get_if<ActionT>(&Action))
        Found.push_back(*Match);
    return Found;
  }

  /// Reads back what the last event appended.
  void readBack() {
    for (const AppendRecord &Append : this->found<AppendRecord>())
      this->give(RecordCommitted{LogOffset{this->NextOffset++}, Append.Record});
  }

  /// @param Request its handle.
  /// @param Digest its digest.
  /// @param First whether it is the key's first use.
  void call(int64_t Request, int64_t Digest = 7, bool First = true) {
    CallReceived Event;
    Event.Request = RequestHandle{Request};
    Event.Key = "k";
    Event.Digest = Digest;
    Event.FirstUse = First;
    Event.Target = CallTarget{EndpointId{"s"}, Agent, BootId{1}};
    this->give(Event);
  }

  /// @return the work number of the message sent last.
  int64_t sentWork() const {
    return this->found<SendIntent>().at(0).Message.Work;
  }

  /// Lets the call be sent.
  void send() {
    this->give(AgentPresent{Agent, BootId{1}});
    this->call(1);
    this->readBack();
  }
};

/// @param Work the work.
/// @return the agent's answer.
CallFinished finished(int64_t Work) {
  CallFinished Event;
  Event.Answer.Work = Work;
  Event.Answer.Status = 200;
  Event.Answer.Body = "done";
  return Event;
}

/// @param Work the work.
/// @return the agent's statement that it did not and will not run.
CallRefused refusedNotRun(int64_t Work) {
  CallRefused Event;
  Event.Answer.Work = Work;
  Event.Answer.Refusal.Reason = static_cast<int32_t>(RefusalReason::QueueFull);
  Event.Answer.Refusal.RunState = static_cast<int32_t>(RunState::NotRun);
  return Event;
}

} // namespace

Test(call, sent_only_after_intent_is_read_back) {
  CallFixture F;
  F.give(AgentPresent{Agent, BootId{1}});
  F.call(1);
  cr_assert(F.found<SendIntent>().empty());
  F.readBack();
  cr_assert(F.found<SendIntent>().size() == 1);
  cr_assert(F.found<SendIntent>()[0].Message.IntentOffset == 1);
}

Test(call, intent_of_other_entry_is_joined) {
  CallFixture F;
  F.give(AgentPresent{HostId{"agent-2"}, BootId{8}});
  F.call(1);
  wire::LogRecord Other = F.found<AppendRecord>()[0].Record;
  Other.Intent.AgentHost = "agent-2";
  Other.Intent.AgentBoot = 8;
  F.give(RecordCommitted{LogOffset{4}, Other});
  cr_assert(F.found<SendIntent>()[0].Agent == HostId{"agent-2"});
}

Test(call, repeat_is_answered_from_outcome) {
  CallFixture F;
  F.send();
  F.give(finished(F.sentWork()));
  cr_assert(F.found<AnswerCall>().size() == 1);
  F.readBack();
  F.call(2, 7, false);
  cr_assert(F.found<AnswerCall>().size() == 1);
  cr_assert(F.found<AnswerCall>()[0].Body == "done");
  cr_assert(F.found<SendIntent>().empty());
}

Test(call, other_digest_is_refused) {
  CallFixture F;
  F.send();
  F.call(2, 8);
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason == RefusalReason::KeyReused);
}

Test(call, restarted_agent_makes_outcome_unknown) {
  CallFixture F;
  F.send();
  F.give(AgentPresent{Agent, BootId{2}});
  cr_assert(F.found<RefuseRequest>().size() == 1);
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason ==
            RefusalReason::OutcomeUnknown);
  F.call(2, 7, false);
  cr_assert(F.found<AppendRecord>().empty());
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::Unknown);
}

Test(call, log_outage_refuses_first_use_as_not_run) {
  CallFixture F;
  F.give(LogStatus{false});
  F.call(1);
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::NotRun);
}

// Found by the model: an earlier request of the key may have been started
// through another entry, whose intent this one has not read.
Test(call, log_outage_refuses_repeat_as_unknown) {
  CallFixture F;
  F.give(LogStatus{false});
  F.call(1, 7, false);
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::Unknown);
}

Test(call, late_read_back_after_refusal_sends_nothing) {
  CallFixture F;
  F.give(AgentPresent{Agent, BootId{1}});
  F.call(1);
  const auto Append = F.found<AppendRecord>()[0];
  F.Now = F.Calls.nextDeadline();
  F.give(Tick{});
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::NotRun);
  F.give(RecordCommitted{LogOffset{3}, Append.Record});
  cr_assert(F.found<SendIntent>().empty());
}

// Found by the model: a key that were free again could run for an earlier
// request that the caller gave up, after it was told "not run".
Test(call, agents_not_run_ends_the_key) {
  CallFixture F;
  F.send();
  F.give(refusedNotRun(F.sentWork()));
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::NotRun);
  F.readBack();
  F.call(2, 7, false);
  cr_assert(F.found<AppendRecord>().empty());
  cr_assert(F.found<SendIntent>().empty());
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::NotRun);
}

Test(call, lost_link_asks_again_on_the_new_one) {
  CallFixture F;
  F.send();
  const int64_t Work = F.sentWork();
  F.give(AgentLost{Agent});
  F.give(AgentPresent{Agent, BootId{1}});
  cr_assert(F.sentWork() == Work);
}

Test(call, silent_agent_leaves_state_unknown) {
  CallFixture F;
  F.send();
  F.Now = F.Calls.nextDeadline();
  F.give(Tick{});
  cr_assert(F.found<RefuseRequest>()[0].Why.Reason == RefusalReason::PeerLost);
  cr_assert(F.found<RefuseRequest>()[0].Why.State == RunState::Unknown);
}

Test(call, forgotten_key_is_refused_not_run_again) {
  WorkIdSource Works;
  CallSettings Settings;
  Settings.MaxKeys = 1;
  CallController Calls(Settings, Works);
  for (int64_t Offset = 1; Offset <= 3; ++Offset) {
    wire::IntentRecord Intent;
    Intent.Key = std::string(1, static_cast<char>('a' + Offset));
    wire::LogRecord Record;
    Record.__set_Intent(Intent);
    Calls.handle(RecordCommitted{LogOffset{Offset}, Record}, Millis{0});
  }
  cr_assert(Calls.size() == 1);
  CallReceived Event;
  Event.Key = "b";
  const auto Actions = Calls.handle(Event, Millis{0});
  const auto *Refused = std::get_if<RefuseRequest>(&Actions.at(0));
  cr_assert(Refused && Refused->Why.State == RunState::Unknown);
}

// The agent's word on one message says nothing of the intent: another entry
// may have started it.
Test(call, message_that_the_agent_misses_is_sent_anew) {
  CallFixture F;
  F.send();
  CallRefused Missed = refusedNotRun(F.sentWork());
  Missed.Answer.Refusal.Reason = static_cast<int32_t>(RefusalReason::PeerLost);
  F.give(Missed);
  cr_assert(F.found<RefuseRequest>().empty());
  cr_assert(F.sentWork() != Missed.Answer.Work);
}

Test(call, keys_of_a_restored_fold_stand) {
  CallFixture F;
  IntentState Folded;
  Folded.Offset = LogOffset{4};
  Folded.Intent.Key = "k";
  Folded.Intent.Digest = 7;
  Folded.Outcome = wire::OutcomeRecord{};
  Folded.Outcome->Body = "done";
  F.Calls.load({{"k", Folded}});
  F.call(1);
  cr_assert(F.found<AnswerCall>().size() == 1);
  cr_assert(F.found<AnswerCall>()[0].Body == "done");
}
