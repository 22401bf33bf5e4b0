/// @file
/// What an entry does for agents besides sending them work.

#include "daemon/agent_services_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "rules/lookup_func.h"

namespace camphornotch {

namespace {

/// The role of an agent in its Hello.
constexpr const char *AgentRole = "agent";

} // namespace

AgentServices::AgentServices(LinkTask &Links, LogTask &Log)
    : Links(Links), Log(Log), Crashes(CrashSettings{}) {}

void AgentServices::linkUp(const LinkUp &Up) {
  if (Up.Hello.Role != AgentRole)
    return;
  const auto Drain = this->Log.fold().drains().find(Up.Peer);
  if (Drain != this->Log.fold().drains().end())
    this->sendLeave(Up.Peer, Drain->second.Leave, false);
  this->ToldLeaving.erase(Up.Peer);
  this->listed();
  this->sendSuspects(Up.Peer);
}

void AgentServices::changed(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes) {
    const auto *Drain = std::get_if<DrainChanged>(&Change);
    if (Drain != nullptr && this->Links.peers().contains(Drain->Host))
      this->sendLeave(Drain->Host, Drain->Leave, false);
    if (std::holds_alternative<ConfigAccepted>(Change))
      this->followRules();
  }
}

void AgentServices::listed() {
  for (const auto &[Host, Peer] : this->Links.peers()) {
    if (Peer.Hello.Role != AgentRole)
      continue;
    const bool Leaves = this->isListedLeaving(Host);
    const bool Told = this->ToldLeaving.contains(Host);
    if (Leaves == Told)
      continue;
    this->sendLeave(Host, Leaves, true);
    if (Leaves)
      this->ToldLeaving.insert(Host);
    else
      this->ToldLeaving.erase(Host);
  }
}

bool AgentServices::isListedLeaving(const HostId &Host) const {
  const auto Found = this->Links.listed().find(Host);
  return Found != this->Links.listed().end() && Found->second.Leaving;
}

bool AgentServices::take(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.CrashReportMsg) {
    this->onCrash(Message.CrashReportMsg);
    return true;
  }
  if (Message.__isset.StandingQueryMsg) {
    this->onQuery(Peer, Message.StandingQueryMsg);
    return true;
  }
  return false;
}

void AgentServices::onCrash(const wire::CrashReport &Report) {
  logLine(LogLevel::Warn, "endpoint crashed",
          {{"endpoint", Report.Endpoint},
           {"requests", concat(Report.Digests.size())}});
  for (const int64_t Digest : this->Crashes.onReport(Report, steadyNow()))
    this->quarantine(Digest, Report);
  for (const auto &[Host, Peer] : this->Links.peers()) {
    if (Peer.Hello.Role == AgentRole)
      this->sendSuspects(Host);
  }
}

void AgentServices::quarantine(int64_t Digest,
                               const wire::CrashReport &Report) {
  const int64_t WallMs = wallNow().Count;
  const QuarantineState *Known = this->Log.fold().quarantine(Digest);
  // Every entry hears of the crash: most find the record there already.
  if (Known != nullptr && !Known->Released && Known->UntilWallMs > WallMs)
    return;
  const auto &Rules = *this->Log.fold().config().Rules;
  wire::QuarantineRecord Record;
  Record.Digest = Digest;
  Record.UntilWallMs = WallMs + quarantineRule(Rules, "").Duration.Count;
  Record.Evidence = concat("alone at the crash of ", Report.Endpoint);
  wire::LogRecord Log;
  Log.__set_Quarantine(Record);
  logLine(LogLevel::Warn, "request quarantined",
          {{"digest", concat(Digest)}, {"evidence", Record.Evidence}});
  if (!this->Log.append(Log))
    logLine(LogLevel::Error, "quarantine not recorded: too much waits");
}

void AgentServices::onQuery(const HostId &Peer,
                            const wire::StandingQuery &Query) {
  const BootStanding *Boot = this->Log.fold().boot(EndpointId{Query.Endpoint});
  if (!this->Log.caughtUp() || Boot == nullptr)
    return;
  wire::StandingReply Reply;
  Reply.Id = Query.Id;
  Reply.Host = Boot->Host.Value;
  Reply.Boot = Boot->Boot.Value;
  Reply.FencingNumber = Boot->Fence.Value;
  Reply.AppliedOffset = this->Log.fold().applied().Value;
  wire::PeerMessage Message;
  Message.__set_StandingReplyMsg(Reply);
  this->Links.hub().send(Peer, Message);
}

void AgentServices::followRules() {
  const auto &Rules = *this->Log.fold().config().Rules;
  // The last of the crashes must find the request alone.
  const auto Suspect = static_cast<int>(quarantineRule(Rules, "").Crashes - 1);
  this->Crashes.change(CrashSettings{.SuspectCrashes = Suspect});
}

void AgentServices::sendSuspects(const HostId &Peer) {
  wire::QuarantinePush Push;
  Push.Offset = this->Log.fold().applied().Value;
  const int64_t WallMs = wallNow().Count;
  for (const auto &[Digest, State] : this->Log.fold().quarantined()) {
    if (!State.Released && State.UntilWallMs > WallMs)
      Push.Digests.push_back(Digest);
  }
  Push.__set_Suspects(this->Crashes.suspects(steadyNow()));
  if (Push.Suspects.empty())
    return;
  wire::PeerMessage Message;
  Message.__set_QuarantinePushMsg(Push);
  this->Links.hub().send(Peer, Message);
}

void AgentServices::sendLeave(const HostId &Peer, bool Leave, bool ByHostList) {
  wire::LeaveOrder Order;
  Order.Leave = Leave;
  Order.ByHostList = ByHostList;
  wire::PeerMessage Message;
  Message.__set_LeaveOrderMsg(Order);
  this->Links.hub().send(Peer, Message);
}

} // namespace camphornotch
