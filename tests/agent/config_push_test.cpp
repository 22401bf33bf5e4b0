/// @file
/// Tests of configuration at the agent: changes by lines, and pulls by a
/// fresh entry.

#include "agent_fixture.h"

#include "rules/delta_func.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// The rules before and after a change.
constexpr const char *Before = "[hosts]\n* = leave_grace_ms=1 ; asked by A\n";
constexpr const char *After = "[hosts]\n* = leave_grace_ms=2 ; asked by A\n";

/// @param Push a push.
/// @return the message that carries it.
wire::PeerMessage messageOf(const wire::ConfigPush &Push) {
  wire::PeerMessage Message;
  Message.__set_ConfigPushMsg(Push);
  return Message;
}

/// @return the first rules, whole, at offset 5.
wire::PeerMessage wholePush() {
  wire::ConfigPush Push;
  Push.Offset = 5;
  Push.Hash = ruleHash(Before);
  Push.__set_Text(Before);
  return messageOf(Push);
}

/// @param Base the offset that the change is made against.
/// @param Hash the hash that the text after it is said to have.
/// @return the change to offset 6.
wire::PeerMessage changePush(int64_t Base, int64_t Hash) {
  wire::ConfigPush Push;
  Push.Offset = 6;
  Push.Hash = Hash;
  Push.__set_BaseOffset(Base);
  Push.__set_Delta(encodeDelta(Before, After));
  return messageOf(Push);
}

/// @param Fix an agent.
/// @return the offsets that it says to have in pulls.
std::vector<int64_t> pulls(const AgentFixture &Fix) {
  std::vector<int64_t> Offsets;
  for (const TellPeer &Each : Fix.all<TellPeer>())
    if (Each.Message.__isset.ConfigPullMsg)
      Offsets.push_back(Each.Message.ConfigPullMsg.HaveOffset);
  return Offsets;
}

/// @param Offset the offset of an entry's rules.
/// @return its heartbeat.
wire::PeerMessage heartbeatWith(int64_t Offset) {
  wire::PeerMessage Message;
  wire::Heartbeat Beat;
  Beat.ConfigOffset = Offset;
  Message.__set_HeartbeatMsg(Beat);
  return Message;
}

} // namespace

Test(agentReady, fresh_agent_waits_for_the_rules_that_entries_tell_of) {
  AgentFixture Fix;
  cr_assert(!Fix.Agent.ready());
  Fix.say(heartbeatWith(5));
  cr_assert(!Fix.Agent.ready());
  Fix.say(wholePush());
  cr_assert(Fix.Agent.ready());
  Fix.say(heartbeatWith(6));
  cr_assert(Fix.Agent.ready(), "newer rules that are on their way");
}

Test(agentReady, fresh_agent_waits_for_each_linked_entry) {
  AgentFixture Fix;
  const HostId Other{"entry-2"};
  Fix.handle(PeerUp{Other, BootId{6}});
  Fix.say(heartbeatWith(-1));
  cr_assert(!Fix.Agent.ready(), "the other entry may have rules");
  Fix.handle(PeerSaid{Other, heartbeatWith(5)});
  cr_assert(!Fix.Agent.ready());
  Fix.say(wholePush());
  cr_assert(Fix.Agent.ready());
}

Test(agentReady, entry_that_left_before_it_told_does_not_count) {
  AgentFixture Fix;
  Fix.handle(PeerDown{Fix.Entry});
  cr_assert(!Fix.Agent.ready());
}

Test(agentReady, no_rules_published_is_ready) {
  AgentFixture Fix;
  Fix.say(heartbeatWith(-1));
  cr_assert(Fix.Agent.ready());
}

Test(agentConfig, change_against_held_rules_is_applied) {
  AgentFixture Fix;
  Fix.say(wholePush());
  Fix.say(changePush(5, ruleHash(After)));
  cr_assert(Fix.Agent.configOffset() == LogOffset{6});
  cr_assert(Fix.Agent.configHash() == ruleHash(After));
  cr_assert(pulls(Fix).empty());
}

Test(agentConfig, change_against_other_rules_asks_for_the_whole) {
  AgentFixture Fix;
  Fix.say(wholePush());
  Fix.say(changePush(4, ruleHash(After)));
  cr_assert(Fix.Agent.configOffset() == LogOffset{5});
  cr_assert(pulls(Fix) == std::vector<int64_t>{-1});
}

Test(agentConfig, change_with_wrong_hash_asks_for_the_whole) {
  AgentFixture Fix;
  Fix.say(wholePush());
  Fix.say(changePush(5, 1));
  cr_assert(Fix.Agent.configOffset() == LogOffset{5});
  cr_assert(pulls(Fix) == std::vector<int64_t>{-1});
}

Test(agentConfig, fresh_entry_gets_the_whole_text) {
  AgentFixture Fix;
  Fix.say(wholePush());
  Fix.say(changePush(5, ruleHash(After)));
  Fix.Actions.clear();
  wire::PeerMessage Pull;
  Pull.__set_ConfigPullMsg({});
  Pull.ConfigPullMsg.HaveOffset = -1;
  Fix.say(Pull);
  const auto Answers = Fix.all<TellPeer>();
  cr_assert(Answers.size() == 1);
  cr_assert(Answers[0].Message.ConfigPushMsg.Text == After);
  cr_assert(Answers[0].Message.ConfigPushMsg.Offset == 6);
}
