/// @file
/// What the agent controller does with the endpoint: output, probes, crashes.

#include "core/agent/agent_base.h"
#include "core/agent/agent_message_internal.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Probes in a row that do not show an attempt's stream before the attempt is
/// given up: its end may be on the way.
constexpr int MaxMissedProbes = 2;

} // namespace

void AgentController::on(const EndpointOutput &Event, Millis Now,
                         Actions &Out) {
  const auto Found = this->Live.find(Event.Run);
  if (Found == this->Live.end()) {
    ++this->Counts.LateAnswers;
    return;
  }
  LiveRun &Run = Found->second;
  if (Run.FirstOutput == Millis{0})
    Run.FirstOutput = Now;
  Run.Missed = 0;
  Run.Label.add(Event.Tokens, Event.Version, this->Weights.inDoubt());
  const WorkKey Key = Run.Key;
  const OpenWork &Work = this->Open.at(Key);
  if (Work.Stream)
    this->sendTail(Key, Work.Peer, Event.Data, Out);
  else
    this->Store.append(Key, Event.Data);
  this->admit(RunProgressed{Event.Run, Event.Tokens}, Now, Out);
}

void AgentController::on(const EndpointStopped &Event, Millis Now,
                         Actions &Out) {
  if (!this->Live.contains(Event.Run)) {
    ++this->Counts.LateAnswers;
    return;
  }
  this->admit(RunEnded{Event.Run, RunOutcome::Stopped}, Now, Out);
}

void AgentController::on(const EndpointBroke &Event, Millis Now, Actions &Out) {
  const auto Found = this->Live.find(Event.Run);
  if (Found == this->Live.end()) {
    ++this->Counts.LateAnswers;
    return;
  }
  if (!Event.NeverSent) {
    this->BrokenDigests.push_back(Found->second.Digest);
    this->BrokenStreams.push_back(Found->second.StreamId);
  }
  if (this->State == Health::Up) {
    this->State = Health::Broken;
    this->ProbeAt = Now + this->Settings.CrashWindow;
  }
  // Nothing more is sent before it is known why this broke.
  this->followHealth(Now, Out);
  this->admit(RunEnded{Event.Run, RunOutcome::Failed, Event.NeverSent}, Now,
              Out);
}

void AgentController::probe(Millis Now, Actions &Out) {
  const bool Healthy = this->State == Health::Up;
  this->ProbeAt = Now + (Healthy ? this->Settings.ProbeInterval
                                 : this->Settings.DownProbeInterval);
  this->ProbeSent = Now;
  Out.emplace_back(ProbeEndpoint{++this->LastProbe});
}

void AgentController::on(const ProbeAnswered &Event, Millis Now, Actions &Out) {
  if (Event.Probe != this->LastProbe)
    return;
  if (this->State == Health::Broken || this->State == Health::Down)
    this->judgeCrash(Event, Now, Out);
  if (!Event.Alive) {
    this->State = Health::Down;
    this->ProbeAt = Now + this->Settings.DownProbeInterval;
    return;
  }
  const bool Returned = this->State == Health::Down;
  const bool First = this->State == Health::Unknown;
  this->State = Health::Up;
  this->ProbeAt = Now + this->Settings.ProbeInterval;
  if (!this->Settings.IsEngine)
    return;
  this->matchStreams(Event, Now, Out);
  if (Returned)
    this->weigh(EndpointRestarted{}, Now, Out);
  else if (First)
    this->weigh(WeightTick{}, Now, Out);
}

void AgentController::judgeCrash(const ProbeAnswered &Event, Millis Now,
                                 Actions &Out) {
  if (this->BrokenStreams.empty())
    return;
  const absl::flat_hash_set<std::string> Streams(Event.Streams.begin(),
                                                 Event.Streams.end());
  const auto There = [&](const std::string &Id) {
    return Streams.contains(Id);
  };
  const bool BrokenOnly = std::any_of(this->BrokenStreams.begin(),
                                      this->BrokenStreams.end(), There);
  const bool OthersGoOn =
      std::any_of(this->Live.begin(), this->Live.end(), [&](const auto &Each) {
        return There(Each.second.StreamId);
      });
  const bool Crashed =
      !Event.Alive || (this->Settings.IsEngine && !BrokenOnly && !OthersGoOn);
  if (Crashed)
    this->reportCrash(Now, Out);
  this->BrokenDigests.clear();
  this->BrokenStreams.clear();
}

void AgentController::reportCrash(Millis Now, Actions &Out) {
  ++this->Counts.Crashes;
  wire::CrashReport Report =
      this->Crashes.onCrash(this->BrokenDigests, this->Counts.Crashes, Now);
  Report.Endpoint = this->Settings.Endpoint.Value;
  for (const auto &[Peer, Sender] : this->Peers)
    this->tell(Peer, Report, Out);
  // An engine that is back already has lost its orders, too.
  if (this->Settings.IsEngine)
    this->weigh(EndpointRestarted{}, Now, Out);
}

void AgentController::matchStreams(const ProbeAnswered &Event, Millis Now,
                                   Actions &Out) {
  absl::flat_hash_set<std::string> Own;
  for (const auto &[Id, Run] : this->Live)
    Own.insert(Run.StreamId);
  for (const std::string &StreamId : Event.Streams) {
    if (Own.contains(StreamId))
      continue;
    ++this->Counts.Strays;
    Out.emplace_back(CancelStray{StreamId});
  }
  const absl::flat_hash_set<std::string> Streams(Event.Streams.begin(),
                                                 Event.Streams.end());
  std::vector<RunId> Lost;
  for (auto &[Id, Run] : this->Live) {
    const bool Sent = Run.Started < this->ProbeSent;
    const bool Missing = Sent && !Streams.contains(Run.StreamId);
    Run.Missed = Missing ? Run.Missed + 1 : 0;
    if (Run.Missed > MaxMissedProbes)
      Lost.push_back(Id);
  }
  // The connection is silent and the endpoint knows nothing of the stream.
  for (const RunId Id : Lost) {
    Out.emplace_back(AbandonRun{Id});
    this->admit(RunEnded{Id, RunOutcome::Failed}, Now, Out);
  }
}

} // namespace camphornotch
