/// @file
/// Shares what gateways and loaders know of requests that break endpoints.

#include "gateway/suspect_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Limit of the requests that a peer gets when its link comes up: some 20 KB.
constexpr size_t MaxStatesPerLink = 256;

prometheus::Counter &eventCounter(Metrics &Counts, const std::string &Event) {
  return Counts.counter("suspect_events_total",
                        "What was noted of requests that break endpoints.",
                        {{"event", Event}});
}

wire::PeerMessage messageOf(std::vector<wire::SuspectState> States) {
  wire::SuspectsPush Push;
  Push.Suspects = std::move(States);
  wire::PeerMessage Message;
  Message.__set_SuspectsMsg(Push);
  return Message;
}

} // namespace

SuspectTask::SuspectTask(PeerTask &Peers, Metrics &Counts, SuspectRelay Relay)
    : Peers(Peers), Relay(Relay), Breaks(eventCounter(Counts, "break")),
      Acquittals(eventCounter(Counts, "acquittal")),
      Quarantines(eventCounter(Counts, "quarantine")) {}

bool SuspectTask::isQuarantined(RequestDigest Digest) const {
  return this->Table.isQuarantined(Digest, steadyNow());
}

void SuspectTask::onBroken(RequestDigest Digest,
                           const EndpointLifetime &Endpoint, Millis BrokenAt,
                           Millis RanFor) {
  this->Table.forgetOld(steadyNow());
  if (!this->Table.add(Digest, Endpoint, BrokenAt, RanFor))
    return;
  this->Breaks.Increment();
  this->logChange(Digest, Endpoint.Id.Value);
  this->announce(Digest);
  this->keep(Digest);
}

void SuspectTask::onSucceeded(RequestDigest Digest) {
  if (!this->Table.succeeded(Digest, steadyNow()))
    return;
  this->Acquittals.Increment();
  this->logChange(Digest, "success");
  this->announce(Digest);
  this->keep(Digest);
}

void SuspectTask::onReport(const wire::CrashReport &Report) {
  for (const int64_t Digest : Report.Digests)
    this->onBroken(RequestDigest{Digest}, brokenLifetime(Report), steadyNow(),
                   Millis{0});
}

bool SuspectTask::learn(const HostId &Peer, const wire::SuspectState &State) {
  const RequestDigest Digest{State.Digest};
  const SuspectNews News = this->Table.merge(State, steadyNow());
  if (News == SuspectNews::Learned)
    this->logChange(Digest, Peer.Value);
  if (News == SuspectNews::Outdated)
    if (std::optional<wire::SuspectState> Newer =
            this->Table.state(Digest, steadyNow()))
      this->Peers.send(Peer, messageOf({*std::move(Newer)}));
  return News == SuspectNews::Learned;
}

void SuspectTask::onPush(const HostId &Peer, const wire::SuspectsPush &Push) {
  this->Table.forgetOld(steadyNow());
  std::vector<wire::SuspectState> Learned;
  for (const wire::SuspectState &State : Push.Suspects)
    if (this->learn(Peer, State))
      if (std::optional<wire::SuspectState> Known =
              this->Table.state(RequestDigest{State.Digest}, steadyNow()))
        Learned.push_back(*std::move(Known));
  if (this->Relay == SuspectRelay::None || Learned.empty())
    return;
  const wire::PeerMessage Message = messageOf(std::move(Learned));
  for (const HostId &Each : this->Peers.peers())
    if (Each != Peer)
      this->Peers.send(Each, Message);
}

void SuspectTask::onRecord(const wire::SuspectState &State) {
  const RequestDigest Digest{State.Digest};
  if (this->Table.merge(State, steadyNow()) != SuspectNews::Learned)
    return;
  this->logChange(Digest, "store");
  this->announce(Digest);
}

void SuspectTask::onLinkUp(const HostId &Peer) {
  std::vector<wire::SuspectState> States =
      this->Table.states(MaxStatesPerLink, steadyNow());
  if (!States.empty())
    this->Peers.send(Peer, messageOf(std::move(States)));
}

void SuspectTask::announce(RequestDigest Digest) {
  if (std::optional<wire::SuspectState> State =
          this->Table.state(Digest, steadyNow()))
    this->Peers.broadcast(messageOf({*std::move(State)}));
}

void SuspectTask::keep(RequestDigest Digest) {
  if (this->Log == nullptr)
    return;
  if (!this->isQuarantined(Digest) && this->Peers.hasPeers() &&
      !this->Log->has(Digest.Value))
    return;
  if (const std::optional<wire::SuspectState> State =
          this->Table.state(Digest, steadyNow()))
    this->Log->append(*State);
}

void SuspectTask::logChange(RequestDigest Digest,
                            std::string_view Source) const {
  const Millis Now = steadyNow();
  const std::optional<wire::SuspectState> State =
      this->Table.state(Digest, Now);
  if (!State.has_value())
    return;
  const bool Quarantined = this->Table.isQuarantined(Digest, Now);
  if (Quarantined)
    this->Quarantines.Increment();
  logLine(Quarantined ? LogLevel::Warn : LogLevel::Info,
          "request that broke endpoints",
          {{"digest", concat(Digest.Value)},
           {"source", Source},
           {"breaks", concat(State->Breaks)},
           {"acquittals", concat(State->Acquittals)},
           {"age_ms", concat(State->AgeMs)},
           {"quarantined", Quarantined ? "yes" : "no"}});
}

} // namespace camphornotch
