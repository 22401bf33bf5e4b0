/// @file
/// Tests of the distribution of configuration.

#include "core/config/config_base.h"
#include "rules/parse_func.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// @param Offset also written into the text.
AcceptedConfig config(int64_t Offset) {
  AcceptedConfig Config;
  Config.Offset = LogOffset{Offset};
  Config.Text = "[hosts]\n; asked by Morag\n* = leave_grace_ms=" +
                std::to_string(Offset) + "\n[limits]\n; asked by Iona\n" +
                "desk* = rate_per_second=10 max_wait_ms=2000\n";
  Config.Hash = ruleHash(Config.Text);
  Config.Rules =
      std::make_shared<const RuleSet>(parseRules("rules", Config.Text).value());
  return Config;
}

/// @param ReadsLog whether the process is an entry.
ConfigSettings settings(const std::string &Name, bool ReadsLog) {
  ConfigSettings Settings;
  Settings.Self = HostId{Name};
  Settings.DataCentre = DataCentreId{"dc1"};
  Settings.ReadsLog = ReadsLog;
  return Settings;
}

/// @param Offset the peer's configuration.
ConfigPeerUp peerUp(const std::string &Name, bool IsAgent, int64_t Offset) {
  return ConfigPeerUp{HostId{Name}, IsAgent, DataCentreId{"dc1"},
                      LogOffset{Offset}};
}

/// Returns the first action of a type; null if there is none.
template <typename ActionT>
const ActionT *firstOf(const std::vector<ConfigAction> &Actions) {
  for (const ConfigAction &Action : Actions)
    if (const auto *Found = std::get_if<ActionT>(&Action))
      return Found;
  return nullptr;
}

} // namespace

Test(configDistribution, responsible_entry_pushes_the_change_at_once) {
  ConfigController Entry(settings("entry", true));
  Entry.handle(ConfigFolded{config(5)}, Millis{0});
  Entry.handle(peerUp("agent", true, 5), Millis{0});
  const auto Actions = Entry.handle(ConfigFolded{config(6)}, Millis{1});
  const auto *Push = firstOf<SendConfigPush>(Actions);
  cr_assert(Push != nullptr && Push->Push.__isset.Delta);
  cr_assert(Push->Push.BaseOffset == 5);
  cr_assert(Push->Push.Delta.size() < config(6).Text.size());
}

Test(configDistribution, other_entry_pushes_when_the_first_does_not) {
  const HostId Agent{"agent"};
  ConfigController First(settings("entry-1", true));
  ConfigController Second(settings("entry-2", true));
  int AtOnce = 0;
  int Later = 0;
  for (ConfigController *Entry : {&First, &Second}) {
    Entry->handle(ConfigEntries{{HostId{"entry-1"}, HostId{"entry-2"}}},
                  Millis{0});
    Entry->handle(peerUp("agent", true, -1), Millis{0});
    AtOnce += firstOf<SendConfigPush>(
                  Entry->handle(ConfigFolded{config(6)}, Millis{1})) != nullptr;
    Later += firstOf<SendConfigPush>(
                 Entry->handle(ConfigTick{}, Millis{2000})) != nullptr;
  }
  cr_assert(AtOnce == 1);
  cr_assert(Later == 2);
}

Test(configDistribution, older_configuration_is_never_applied) {
  ConfigController Entry(settings("entry", true));
  Entry.handle(ConfigFolded{config(6)}, Millis{0});
  cr_assert(Entry.handle(ConfigFolded{config(5)}, Millis{1}).empty());
  wire::ConfigPush Push;
  Push.Offset = 5;
  Push.__set_Text(config(5).Text);
  Push.Hash = config(5).Hash;
  cr_assert(firstOf<ApplyConfig>(Entry.handle(ConfigPushed{HostId{"p"}, Push},
                                              Millis{2})) == nullptr);
  cr_assert(Entry.activeConfig().Offset == LogOffset{6});
}

Test(configDistribution, process_behind_pulls_after_the_delay) {
  ConfigController Agent(settings("agent", false));
  Agent.handle(peerUp("entry", false, 6), Millis{0});
  cr_assert(Agent.nextDeadline() == Millis{300});
  const auto Actions = Agent.handle(ConfigTick{}, Millis{300});
  cr_assert(firstOf<SendConfigPull>(Actions) != nullptr);
}

Test(configDistribution, delta_with_another_base_requests_the_full_text) {
  ConfigController Agent(settings("agent", false));
  Agent.handle(peerUp("entry", false, 6), Millis{0});
  wire::ConfigPush Push;
  Push.Offset = 6;
  Push.__set_BaseOffset(5);
  Push.__set_Delta("=1\n");
  const auto Actions =
      Agent.handle(ConfigPushed{HostId{"entry"}, Push}, Millis{1});
  cr_assert(firstOf<PeerConfigRejected>(Actions) != nullptr);
  cr_assert(firstOf<SendConfigPull>(Actions)->Pull.HaveOffset == -1);
}

Test(configDistribution, text_with_another_hash_is_rejected) {
  ConfigController Agent(settings("agent", false));
  wire::ConfigPush Push;
  Push.Offset = 6;
  Push.__set_Text(config(6).Text);
  Push.Hash = 1;
  const auto Actions =
      Agent.handle(ConfigPushed{HostId{"entry"}, Push}, Millis{1});
  cr_assert(firstOf<ApplyConfig>(Actions) == nullptr);
}

Test(configReady, new_entry_in_a_log_outage_uses_the_agents_configuration) {
  ConfigController Entry(settings("entry", true));
  Entry.handle(ConfigLogState{false, false}, Millis{0});
  cr_assert(!Entry.ready(Millis{100000}));
  Entry.handle(peerUp("agent", true, 9), Millis{0});
  cr_assert(!Entry.ready(Millis{100000}));
  const auto Pull = Entry.handle(ConfigTick{}, Millis{300});
  cr_assert(firstOf<SendConfigPull>(Pull)->Peer == HostId{"agent"});
  ConfigController Agent(settings("agent", false));
  wire::ConfigPush AgentPush;
  AgentPush.Offset = 9;
  AgentPush.Hash = config(9).Hash;
  AgentPush.__set_Text(config(9).Text);
  Agent.handle(ConfigPushed{HostId{"old"}, AgentPush}, Millis{0});
  Agent.handle(peerUp("entry", false, -1), Millis{0});
  const auto Answer = Agent.handle(
      ConfigPulled{HostId{"entry"}, firstOf<SendConfigPull>(Pull)->Pull},
      Millis{301});
  const auto Applied = Entry.handle(
      ConfigPushed{HostId{"agent"}, firstOf<SendConfigPush>(Answer)->Push},
      Millis{302});
  cr_assert(firstOf<ApplyConfig>(Applied) != nullptr);
  cr_assert(!Entry.ready(Millis{2999}));
  cr_assert(Entry.ready(Millis{3000}));
}

Test(configReady, entry_waits_for_the_end_of_the_log) {
  ConfigController Entry(settings("entry", true));
  Entry.handle(ConfigLogState{true, false}, Millis{0});
  cr_assert(!Entry.ready(Millis{100000}));
  Entry.handle(ConfigLogState{true, true}, Millis{1});
  cr_assert(Entry.ready(Millis{1}));
}

namespace {

/// A message that is not delivered yet.
struct InFlight {
  HostId From;
  HostId To;
  std::variant<wire::ConfigPush, wire::ConfigPull> Body;
};

/// Two entries and three agents whose links lose messages.
struct Network {
  std::map<HostId, ConfigController> Nodes;
  std::vector<InFlight> Messages;
  std::map<HostId, LogOffset> Highest;
  Millis Now{0};

  Network() {
    for (const auto *Name : {"entry-1", "entry-2"})
      this->Nodes.emplace(HostId{Name}, settings(Name, true));
    for (const auto *Name : {"agent-1", "agent-2", "agent-3"})
      this->Nodes.emplace(HostId{Name}, settings(Name, false));
    for (const auto &[Host, Node] : this->Nodes)
      this->link(Host);
  }

  static bool isAgent(const HostId &Host) {
    return Host.Value.starts_with("agent");
  }

  /// Links a process with all others.
  void link(const HostId &Host) {
    for (const auto &[Other, Node] : this->Nodes) {
      if (Other == Host || (isAgent(Other) && isAgent(Host)))
        continue;
      this->handle(Host, peerUp(Other.Value, isAgent(Other),
                                Node.activeConfig().Offset.Value));
      const int64_t OwnOffset =
          this->Nodes.at(Host).activeConfig().Offset.Value;
      this->handle(Other, peerUp(Host.Value, isAgent(Host), OwnOffset));
    }
    this->handle(Host, ConfigEntries{{HostId{"entry-1"}, HostId{"entry-2"}}});
  }

  void handle(const HostId &Host, const ConfigEvent &Event) {
    for (ConfigAction &Action : this->Nodes.at(Host).handle(Event, this->Now)) {
      if (auto *Push = std::get_if<SendConfigPush>(&Action))
        this->Messages.push_back({Host, Push->Peer, Push->Push});
      if (auto *Pull = std::get_if<SendConfigPull>(&Action))
        this->Messages.push_back({Host, Pull->Peer, Pull->Pull});
      if (auto *Applied = std::get_if<ApplyConfig>(&Action)) {
        RC_ASSERT(Applied->Config.Offset > this->Highest[Host]);
        RC_ASSERT(Applied->Config.Text ==
                  config(Applied->Config.Offset.Value).Text);
        this->Highest[Host] = Applied->Config.Offset;
      }
    }
  }

  /// Delivers one message.
  void deliver(size_t Index) {
    const InFlight Message = this->Messages[Index];
    this->Messages.erase(this->Messages.begin() +
                         static_cast<std::ptrdiff_t>(Index));
    if (const auto *Push = std::get_if<wire::ConfigPush>(&Message.Body))
      this->handle(Message.To, ConfigPushed{Message.From, *Push});
    else
      this->handle(
          Message.To,
          ConfigPulled{Message.From, std::get<wire::ConfigPull>(Message.Body)});
  }

  /// Delivers a heartbeat from every process to every other, and ticks all.
  void sendHeartbeats() {
    this->Now += Millis{500};
    for (const auto &[Host, Node] : this->Nodes)
      for (const auto &[Other, Unused] : this->Nodes)
        if (Other != Host && !(isAgent(Other) && isAgent(Host)))
          this->handle(Other,
                       ConfigPeerHeartbeat{Host, Node.activeConfig().Offset,
                                           Node.activeConfig().Hash});
    for (const auto &[Host, Node] : this->Nodes)
      this->handle(Host, ConfigTick{});
  }

  /// Replaces a process by one without state.
  void restart(const HostId &Host) {
    this->Nodes.erase(Host);
    this->Nodes.emplace(Host, settings(Host.Value, !isAgent(Host)));
    this->Highest[Host] = NoOffset;
    this->link(Host);
  }

  /// Returns a random process.
  HostId someHost() {
    return std::next(this->Nodes.begin(), *rc::gen::inRange(0, 5))->first;
  }
};

} // namespace

Test(configDistribution, all_converge_despite_loss_and_restarts) {
  const bool Holds = rc::check([] {
    Network Net;
    int64_t Published = 0;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      const int Choice = *rc::gen::inRange(0, 6);
      if (Choice == 0)
        ++Published;
      if (Choice <= 1 && Published > 0)
        Net.handle(*rc::gen::element(HostId{"entry-1"}, HostId{"entry-2"}),
                   ConfigFolded{config(Published)});
      if (Choice == 2 && !Net.Messages.empty())
        Net.deliver(*rc::gen::inRange<size_t>(0, Net.Messages.size()));
      if (Choice == 3 && !Net.Messages.empty())
        Net.Messages.pop_back();
      if (Choice == 4)
        Net.sendHeartbeats();
      if (Choice == 5)
        Net.restart(Net.someHost());
    }
    LogOffset Newest = NoOffset;
    for (const auto &[Host, Node] : Net.Nodes)
      Newest = std::max(Newest, Node.activeConfig().Offset);
    for (int Round = 0; Round < 12; ++Round) {
      Net.sendHeartbeats();
      while (!Net.Messages.empty())
        Net.deliver(0);
    }
    // An undelivered message may carry a newer one than any process had.
    const LogOffset FinalOffset =
        Net.Nodes.begin()->second.activeConfig().Offset;
    RC_ASSERT(FinalOffset >= Newest);
    for (const auto &[Host, Node] : Net.Nodes)
      RC_ASSERT(Node.activeConfig().Offset == FinalOffset);
  });
  cr_assert(Holds);
}
