/// @file
/// An entry: its tasks and how their messages reach each other.

#include "daemon/entry_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/fold/shard_func.h"
#include "daemon/admin_func.h"
#include "daemon/run_func.h"
#include "net/link_settings_func.h"

#include <cstdio>

namespace camphornotch {

namespace {

/// How long a stopping process waits after its last answer, so that callers
/// with an idle connection find another entry.
constexpr Millis StopLinger{300};
/// How long a process without open requests waits for its releases to stand.
constexpr Millis ReleaseWait = seconds(3);

} // namespace

Entry::Entry(const EntrySettings &Settings)
    : Settings(Settings), Boot(randomBootId()), Http(this->Events),
      Table(DataCentreId{Settings.Common.DataCentre},
            RegionId{Settings.Common.Region}),
      Log(this->Events, this->Http, Settings.Common, this->Boot,
          this->Counters),
      Links(this->Events, this->Http, Settings.Common, this->Boot, this->Table),
      Works(this->Events, this->Links.hub(), this->Counters),
      Routes(this->Events, this->Works, this->Table, this->WorkIds,
             this->Counters),
      Samples(this->Events, this->Works, this->Routes, this->Log, this->Table,
              this->WorkIds, this->Counters),
      Calls(this->Events, this->Works, this->Log, this->Table, this->Links,
            this->WorkIds),
      Owners(this->Events, this->Links, this->Log, Settings.Common, this->Boot,
             this->Counters),
      Pushes(this->Links, this->Log), Agents(this->Links, this->Log),
      Configs(this->Events, this->Links, this->Log, Settings.Common),
      Front(
          this->Events, Settings, this->Log, this->Configs, this->Counters,
          [this](const std::shared_ptr<CallerExchange> &Exchange) {
            this->dispatch(Exchange);
          },
          FrontQuestions{[this] { return this->whyNotReady(); },
                         [this] { this->updateGauges(); }}) {}

Result<uint16_t> Entry::start() {
  this->Owners.start(OwnerTaskEvents{
      [this](const ShardGained &Event) { this->Samples.gained(Event); },
      [this](const ShardLost &Event) { this->Samples.lost(Event); },
      [this] { this->partStopped(); },
      [this](std::shared_ptr<CallerExchange> Exchange) {
        this->Front.takeForwarded(std::move(Exchange));
      }});
  this->Samples.onEpoch(
      [this](const EpochSeen &Event) { this->Owners.handle(Event); });
  this->Samples.onMisplaced(
      [this](const std::shared_ptr<CallerExchange> &Exchange) {
        this->Counters.countRetry(RetryReason::OwnerMoved);
        this->dispatch(Exchange);
      });
  this->Works.onAnswer([this](const HostId &Agent, const WorkEvent &Event) {
    this->onAnswer(Agent, Event);
  });
  this->Links.hub().onHeartbeat(
      [this](wire::Heartbeat &Beat) { this->Configs.fill(Beat); });
  auto Port = this->Links.start(this->linkEvents());
  if (!Port)
    return Port.error();
  this->Log.start(this->logEvents());
  this->Configs.start();
  this->Events.handleSignals([this](int) { this->beginStop(); });
  return this->Front.listen();
}

void Entry::run() { this->Events.run(); }

LinkTaskEvents Entry::linkEvents() {
  LinkTaskEvents Tell;
  Tell.Up = [this](const LinkUp &Up) { this->onUp(Up); };
  Tell.Down = [this](const HostId &Peer) {
    this->Works.linkDown(Peer);
    this->Configs.linkDown(Peer);
    this->Owners.linkDown(Peer);
    this->Calls.handle(AgentLost{Peer});
  };
  Tell.Message = [this](const HostId &Peer, const wire::PeerMessage &Message) {
    this->onPeer(Peer, Message);
  };
  Tell.EndpointLost = [this](EndpointIndex Endpoint) {
    this->Routes.endpointLost(Endpoint);
    this->Samples.endpointLost(Endpoint);
  };
  Tell.Members = [this](std::vector<EntryView> Entries) {
    this->Owners.handle(MembersChanged{std::move(Entries)});
  };
  Tell.Listed = [this] { this->Agents.listed(); };
  return Tell;
}

void Entry::onUp(const LinkUp &Up) {
  this->Works.linkUp(Up);
  this->Pushes.linkUp(Up);
  this->Configs.linkUp(Up);
  this->Agents.linkUp(Up);
  this->Owners.linkUp(Up);
  const auto Endpoint = this->Links.endpointOf(Up.Peer);
  if (!Endpoint)
    return;
  // What its earlier boot lost says nothing of this one.
  this->Table.setReachable(*Endpoint, true);
  this->Calls.handle(AgentPresent{Up.Peer, BootId{Up.Hello.Boot}});
  this->Samples.endpointReported(*Endpoint);
}

LogTaskEvents Entry::logEvents() {
  LogTaskEvents Tell;
  Tell.Committed = [this](const RecordCommitted &Event) {
    this->onCommitted(Event);
  };
  Tell.Changed = [this](const std::vector<FoldChange> &Changes) {
    this->onChanged(Changes);
  };
  Tell.Status = [this](const LogStatus &Event) {
    this->Samples.logStatus(Event);
    this->Calls.handle(Event);
    this->Owners.handle(Event);
  };
  Tell.Reply = [this](const HostId &Peer, const wire::AppendReply &Reply) {
    wire::PeerMessage Message;
    Message.__set_AppendReplyMsg(Reply);
    this->Links.hub().send(Peer, Message);
  };
  return Tell;
}

void Entry::onCommitted(const RecordCommitted &Event) {
  this->Samples.committed(Event);
  this->Calls.handle(Event);
  this->Owners.handle(Event);
}

void Entry::onChanged(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes) {
    const auto *Snapshot = std::get_if<SnapshotSeen>(&Change);
    if (Snapshot == nullptr || !Snapshot->Restored)
      continue;
    this->Owners.reload();
    this->Calls.reload();
  }
  this->Samples.changed(Changes);
  this->Configs.changed(Changes);
  this->Pushes.changed(Changes);
  this->Agents.changed(Changes);
  this->applyRules();
}

void Entry::applyRules() {
  const AcceptedConfig &InForce = this->Configs.inForce();
  if (InForce.Offset <= this->RoutingRules)
    return;
  this->RoutingRules = InForce.Offset;
  this->Routes.change(InForce.Rules);
  this->Samples.change(InForce.Rules);
}

void Entry::onPeer(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.WorkFinishedMsg)
    this->Links.noteLoad(Peer, Message.WorkFinishedMsg.Load);
  if (Message.__isset.WorkRefusedMsg)
    this->Links.noteLoad(Peer, Message.WorkRefusedMsg.Load);
  const auto Endpoint = this->Links.endpointOf(Peer);
  if (Message.__isset.HeartbeatMsg && Endpoint)
    this->Samples.endpointReported(*Endpoint);
  if (this->Works.take(Peer, Message) || this->Agents.take(Peer, Message))
    return;
  this->Configs.take(Peer, Message);
  this->applyRules();
  if (Message.__isset.AppendRequestMsg)
    this->Log.appendFor(Peer, Message.AppendRequestMsg);
  if (Message.__isset.ForwardRequestMsg)
    this->Owners.takeForward(Peer, Message.ForwardRequestMsg);
  if (Message.__isset.ForwardReplyMsg)
    this->Owners.takeReply(Message.ForwardReplyMsg);
}

void Entry::onAnswer(const HostId &Agent, const WorkEvent &Event) {
  if (Event.Owner == WorkOwner::Rollout) {
    this->Samples.take(Agent, Event);
    return;
  }
  if (Event.Owner == WorkOwner::Intent) {
    this->Calls.take(Event);
    return;
  }
  this->Routes.take(Event);
  if (const auto *Done = std::get_if<wire::WorkFinished>(&Event.Answer))
    this->Works.acknowledge(Agent, WorkId{Done->Work});
  if (const auto *Refused = std::get_if<wire::WorkRefused>(&Event.Answer))
    this->Works.acknowledge(Agent, WorkId{Refused->Work});
}

void Entry::dispatch(const std::shared_ptr<CallerExchange> &Exchange) {
  const CallerRequest Wanted = Exchange->Context.Request;
  std::visit([&](const auto &One) { this->serve(Exchange, One); }, Wanted);
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const CompletionRequest &Wanted) {
  this->Routes.complete(Exchange, Wanted);
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const SubmitRequest &Wanted) {
  this->Owners.route(trainerShard(Wanted.Trainer), Exchange,
                     [this](const std::shared_ptr<CallerExchange> &One) {
                       this->Samples.submit(
                           One, std::get<SubmitRequest>(One->Context.Request));
                     });
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const PullRequest &Wanted) {
  this->Owners.route(trainerShard(Wanted.Trainer), Exchange,
                     [this](const std::shared_ptr<CallerExchange> &One) {
                       this->Samples.pull(
                           One, std::get<PullRequest>(One->Context.Request));
                     });
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const WeightsRequest &Wanted) {
  const VersionState *Known = this->Log.fold().version(Wanted.Model);
  if (Known != nullptr && Known->Version >= Wanted.Version) {
    Exchange->answer(
        CallerAnswer{200, "application/json",
                     concat("{\"offset\":", Known->Offset.Value, "}"), 0});
    return;
  }
  wire::VersionRecord Version;
  Version.Model = Wanted.Model;
  Version.Version = Wanted.Version.Value;
  Version.Location = Wanted.Location;
  wire::LogRecord Record;
  Record.__set_Version(Version);
  const bool Taken = this->Log.append(Record, [Exchange](LogOffset Offset) {
    Exchange->answer(CallerAnswer{
        200, "application/json", concat("{\"offset\":", Offset.Value, "}"), 0});
  });
  if (!Taken)
    Exchange->refuse(notRun(RefusalReason::LogUnavailable,
                            "too much waits for the log", seconds(1)));
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const ServiceRequest &Wanted) {
  if (Exchange->Context.NonIdempotent)
    this->Calls.call(Exchange, Wanted);
  else
    this->Routes.callService(Exchange, Wanted);
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const StatusRequest & /*Wanted*/) {
  const StatusView View{
      this->Settings.Common, this->Boot,       this->whyNotReady(),
      this->Log.reachable(), this->Log.fold(), this->Configs.inForce(),
      this->Links.peers(),   this->Table,      this->Samples.counts()};
  Exchange->answer(
      CallerAnswer{200, "application/json", renderStatus(View), 0});
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const ExplainRequest &Wanted) {
  Exchange->answer(
      CallerAnswer{200, "application/json",
                   renderExplain(*this->Configs.inForce().Rules, Wanted), 0});
}

std::string Entry::whyNotReady() {
  if (this->Stopping)
    return "stopping";
  if (!this->Configs.ready())
    return "the newest configuration is not known yet";
  return {};
}

void Entry::updateGauges() {
  const LinkCounters Links = this->Links.hub().counters();
  const auto Set = [this](const char *Name, const char *Help, double Value) {
    this->Counters.gauge(Name, Help).Set(Value);
  };
  Set("links", "Peers that can be reached",
      static_cast<double>(this->Links.peers().size()));
  Set("link_bytes_in", "Bytes received over links",
      static_cast<double>(Links.BytesIn));
  Set("link_bytes_out", "Bytes sent over links",
      static_cast<double>(Links.BytesOut));
  Set("link_messages_in", "Messages received over links",
      static_cast<double>(Links.MessagesIn));
  Set("link_messages_out", "Messages sent over links",
      static_cast<double>(Links.MessagesOut));
  Set("link_silence_probes", "Fresh connections opened because of silence",
      static_cast<double>(Links.SilenceProbes));
  Set("work_open", "Work at agents without an answer",
      static_cast<double>(this->Works.open()));
  Set("config_offset", "Offset of the configuration in force",
      static_cast<double>(this->Configs.inForce().Offset.Value));
  Set("log_applied", "Offset of the last record applied",
      static_cast<double>(this->Log.fold().applied().Value));
}

void Entry::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  logLine(LogLevel::Info, "stopping");
  // New work goes elsewhere, shards get a successor, open requests end.
  this->StopParts = 2;
  this->Links.setLeaving();
  this->Owners.handle(StopRequested{});
  this->Front.beginStop([this] {
    this->partStopped();
    // With the log down nothing can be released; a successor claims anyway.
    this->Events.callAfter(ReleaseWait, [this] { this->endOnceIdle(); });
  });
  const Millis Longest =
      this->Settings.StopAccept + this->Settings.Common.StopGrace;
  this->Events.callAfter(Longest, [this] {
    logLine(LogLevel::Error, "requests did not end in time");
    this->Events.stop();
  });
}

void Entry::partStopped() {
  if (--this->StopParts > 0)
    return;
  this->Events.callAfter(StopLinger, [this] { this->endOnceIdle(); });
}

void Entry::endOnceIdle() {
  // Kept connections and other entries may have brought requests meanwhile.
  if (this->Front.idle()) {
    this->Events.stop();
    return;
  }
  this->Events.callAfter(StopLinger, [this] { this->endOnceIdle(); });
}

int runEntry(const EntrySettings &Settings) {
  Entry Process(Settings);
  const auto Port = Process.start();
  if (!Port) {
    const std::string Line =
        concat(Port.error().Message, "; ", Port.error().Remedy, "\n");
    std::fputs(Line.c_str(), stderr);
    return 1;
  }
  logLine(LogLevel::Info, "entry started", {{"host", Settings.Common.Host}});
  Process.run();
  logLine(LogLevel::Info, "entry stopped");
  return 0;
}

} // namespace camphornotch
