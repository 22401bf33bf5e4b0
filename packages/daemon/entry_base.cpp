/// @file
/// An entry: its tasks and how their messages reach each other.

#include "daemon/entry_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "daemon/run_func.h"
#include "daemon/settings_func.h"

#include <cstdio>

namespace camphornotch {

namespace {

/// How long a stopping process waits after its last answer, so that callers
/// with an idle connection find another entry.
constexpr Millis StopLinger{300};

} // namespace

Entry::Entry(const EntrySettings &Settings)
    : Settings(Settings), Boot(drawBoot()), Http(this->Events),
      Table(DataCentreId{Settings.Common.DataCentre},
            RegionId{Settings.Common.Region}),
      Log(this->Events, this->Http, Settings.Common, this->Boot,
          this->Counters),
      Links(this->Events, this->Http, Settings.Common, this->Boot, this->Table),
      Works(this->Events, this->Links.hub(), this->Counters),
      Routes(this->Events, this->Works, this->Table, this->WorkIds,
             this->Counters),
      Pushes(this->Links, this->Log), Agents(this->Links, this->Log),
      Front(
          this->Events, Settings, this->Log, this->Counters,
          [this](const std::shared_ptr<CallerExchange> &Exchange) {
            this->dispatch(Exchange);
          },
          FrontQuestions{[this] { return this->whyNotReady(); },
                         [this] { this->updateGauges(); }}) {}

Result<uint16_t> Entry::start() {
  auto Port = this->Links.start(this->linkEvents());
  if (!Port)
    return Port.error();
  this->Links.hub().onHeartbeat(
      [this](wire::Heartbeat &Beat) { this->Pushes.fill(Beat); });
  this->Works.onAnswer(
      [this](const WorkEvent &Event) { this->onAnswer(Event); });
  this->Log.start(this->logEvents());
  this->Events.takeSignals([this](int) { this->beginStop(); });
  return this->Front.listen();
}

void Entry::run() { this->Events.run(); }

LinkTaskEvents Entry::linkEvents() {
  LinkTaskEvents Tell;
  Tell.Up = [this](const LinkUp &Up) {
    this->Works.linkUp(Up);
    this->Pushes.linkUp(Up);
    this->Agents.linkUp(Up);
  };
  Tell.Down = [this](const HostId &Peer) { this->Works.linkDown(Peer); };
  Tell.Message = [this](const HostId &Peer, const wire::PeerMessage &Message) {
    this->onPeer(Peer, Message);
  };
  Tell.EndpointLost = [this](EndpointIndex Endpoint) {
    this->Routes.endpointLost(Endpoint);
  };
  Tell.Members = [](const std::vector<EntryView> &) {};
  Tell.Listed = [this] { this->Agents.listed(); };
  return Tell;
}

LogTaskEvents Entry::logEvents() {
  LogTaskEvents Tell;
  Tell.Committed = [](const RecordCommitted &) {};
  Tell.Changed = [this](const std::vector<FoldChange> &Changes) {
    this->Pushes.changed(Changes);
    this->Agents.changed(Changes);
  };
  Tell.Status = [](const LogStatus &) {};
  Tell.Reply = [this](const HostId &Peer, const wire::AppendReply &Reply) {
    wire::PeerMessage Message;
    Message.__set_AppendReplyMsg(Reply);
    this->Links.hub().send(Peer, Message);
  };
  return Tell;
}

void Entry::onPeer(const HostId &Peer, const wire::PeerMessage &Message) {
  if (Message.__isset.WorkFinishedMsg)
    this->Links.noteLoad(Peer, Message.WorkFinishedMsg.Load);
  if (Message.__isset.WorkRefusedMsg)
    this->Links.noteLoad(Peer, Message.WorkRefusedMsg.Load);
  if (this->Works.take(Peer, Message) || this->Agents.take(Peer, Message))
    return;
  if (Message.__isset.ConfigPullMsg)
    this->Pushes.pulled(Peer, Message.ConfigPullMsg);
  if (Message.__isset.AppendRequestMsg)
    this->Log.appendFor(Peer, Message.AppendRequestMsg);
}

void Entry::onAnswer(const WorkEvent &Event) {
  if (Event.Owner == WorkOwner::Route)
    this->Routes.take(Event);
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
                  const SubmitRequest & /*Wanted*/) {
  Exchange->refuse(notRun(RefusalReason::UnknownPath, "not served yet"));
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const PullRequest & /*Wanted*/) {
  Exchange->refuse(notRun(RefusalReason::UnknownPath, "not served yet"));
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
  this->Routes.callService(Exchange, Wanted);
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const StatusRequest & /*Wanted*/) {
  Exchange->refuse(notRun(RefusalReason::UnknownPath, "not served yet"));
}

void Entry::serve(const std::shared_ptr<CallerExchange> &Exchange,
                  const ExplainRequest & /*Wanted*/) {
  Exchange->refuse(notRun(RefusalReason::UnknownPath, "not served yet"));
}

std::string Entry::whyNotReady() const {
  if (this->Stopping)
    return "stopping";
  if (!this->Log.caughtUp())
    return "the log was not read yet";
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
      static_cast<double>(this->Log.fold().config().Offset.Value));
  Set("log_applied", "Offset of the last record applied",
      static_cast<double>(this->Log.fold().applied().Value));
}

void Entry::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  logLine(LogLevel::Info, "stopping");
  this->Links.setLeaving();
  const auto Exit = [this] {
    this->Events.callAfter(StopLinger, [this] { this->Events.stop(); });
  };
  this->Front.beginStop(Exit);
  this->Events.callAfter(this->Settings.Common.StopGrace, [this] {
    logLine(LogLevel::Error, "requests did not end in time");
    this->Events.stop();
  });
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
