/// @file
/// The faults of a run: what happens when.

#include "cluster.h"

#include <algorithm>
#include <utility>

namespace camphornotch::bench {

namespace {

/// When the first recurring fault of each kind comes.
constexpr Millis FirstFault = seconds(15);
/// Data centre that is lost in a loss.
constexpr const char *LostCentre = "dc2";
/// How long a new version takes to reach an agent.
constexpr Millis AnnounceDelay{50};
/// From one poisonous call to its repetition by the caller.
constexpr Millis PoisonPeriod = seconds(3);

} // namespace

void Cluster::planFaults() {
  const FaultSpec &Faults = this->Run.Faults;
  if (Faults.SlowFactor > 1)
    this->every(Faults.SlowPeriod, [this] { this->slowTwo(); });
  this->every(Faults.CrashPeriod, [this] {
    this->randomEngine().crash(this->Run.Faults.CrashSpan);
  });
  this->every(Faults.VersionPeriod, [this] { this->announceVersion(); });
  this->every(Faults.LeavePeriod, [this] { this->leaveOne(); });
  if (Faults.Poison)
    this->every(PoisonPeriod,
                [this] { this->makeCall(0, AgentNode::PoisonDigest); });
  if (Faults.CutAt != Never) {
    this->Queue.after(Faults.CutAt, [this] { this->Cut = true; });
    this->Queue.after(Faults.CutAt + Faults.OutageSpan,
                      [this] { this->Cut = false; });
  }
  if (Faults.LossAt != Never) {
    this->Queue.after(Faults.LossAt, [this] { this->setCentreLost(true); });
    this->Queue.after(Faults.LossAt + Faults.OutageSpan,
                      [this] { this->setCentreLost(false); });
  }
}

void Cluster::every(Millis Period, const std::function<void()> &Fault) {
  if (Period == Never)
    return;
  for (Millis At = FirstFault; At < this->Run.End; At += Period)
    this->Queue.after(At, Fault);
}

void Cluster::slowTwo() {
  for (int Count = 0; Count < 2; ++Count) {
    EngineFake &Engine = this->randomEngine().engine();
    Engine.setSlowness(this->Run.Faults.SlowFactor);
    this->Queue.after(this->Run.Faults.SlowSpan,
                      [&Engine] { Engine.setSlowness(1); });
  }
}

void Cluster::announceVersion() {
  ++this->Newest;
  for (int Number = 0; Number < ModelEngines; ++Number) {
    AgentNode *Agent = this->Agents[static_cast<size_t>(Number)].get();
    this->Queue.after(AnnounceDelay, [Agent, Version = this->Newest] {
      Agent->announce(Version);
    });
  }
}

void Cluster::leaveOne() {
  AgentNode &Agent = this->randomEngine();
  Agent.setLeaving(true);
  this->Queue.after(this->Run.Faults.LeaveSpan,
                    [&Agent] { Agent.setLeaving(false); });
}

void Cluster::setCentreLost(bool Lost) {
  for (size_t Number = 0; Number < this->Agents.size(); ++Number) {
    if (this->Agents[Number]->info().DataCentre.Value != LostCentre)
      continue;
    this->Agents[Number]->setLost(Lost);
    if (Lost)
      continue;
    for (const auto &Entry : this->Entries)
      Entry->onNewBoot(Number);
  }
}

AgentNode &Cluster::randomEngine() {
  return *this->Agents[this->Random() % ModelEngines];
}

} // namespace camphornotch::bench
