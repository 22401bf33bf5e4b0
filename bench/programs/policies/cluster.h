/// @file
/// One run of a scenario under one set of policies.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_CLUSTER_H
#define CAMPHORNOTCH_BENCH_POLICIES_CLUSTER_H

#include "entry_node.h"
#include "scenario_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace camphornotch::bench {

/// Model engines, their places and speed, at the brief's size.
inline constexpr int ModelEngines = 10;
/// Engines for desks.
inline constexpr int DeskEngines = 3;
/// Places of an engine.
inline constexpr int EngineSlots = 8;
/// Milliseconds a token.
inline constexpr double EngineTokenMs = 10;

/// Entries, agents and callers, joined by a network with latencies.
class Cluster {
public:
  /// @param Run the scenario.
  /// @param Policies the policies.
  /// @param Seed of all random choices.
  Cluster(const Scenario &Run, const PolicySet &Policies, uint64_t Seed);

  /// Runs the scenario to its end.
  /// @return what was measured.
  RunFigures run();

private:
  /// One trainer.
  struct Trainer {
    /// Its step.
    int64_t Step = 0;
    /// When the step was submitted.
    Millis Submitted;
    /// Real length of the samples that are open.
    std::map<SlotRef, SampleNeed> Open;
    /// Waiting time of all finished steps, in ms.
    double Idle = 0;
    /// Steps finished.
    int64_t Steps = 0;
  };

  /// Creates the agents and entries.
  void build();
  /// Creates one agent.
  /// @param Number which.
  void buildAgent(int Number);
  /// @param Entry which entry.
  /// @return its surroundings.
  EntryPorts portsOf(size_t Entry);
  /// @param Entry an entry.
  /// @param Agent an agent.
  /// @return one-way latency between them in microseconds.
  int64_t latency(size_t Entry, size_t Agent) const;
  /// @param Entry an entry.
  /// @param Agent an agent.
  /// @return whether no message passes between them.
  bool isCut(size_t Entry, size_t Agent) const;
  /// Counts bytes between an entry and an agent.
  void countBytes(size_t Entry, size_t Agent, int64_t Bytes);
  /// Delivers a reply, after the end of a cut if there is one.
  void deliver(size_t Entry, size_t Agent, const AgentReply &Reply);
  /// Heartbeats from every agent to every entry, and the entries' ticks.
  void beat();
  /// A trainer submits its next step.
  void submitStep(size_t Number);
  /// A sample reached its trainer's entry.
  void onSample(size_t Number, SlotRef Slot, const KeptOutput &Output);
  /// Plans the next desk call at an entry.
  void planCall(size_t Entry);
  /// Makes a desk call at an entry.
  void makeCall(size_t Entry, int64_t Digest);
  /// A desk call was answered or refused.
  void onAnswer(RequestRef Request, bool Answered);
  /// Plans all faults of the scenario.
  void planFaults();
  /// Plans a fault that recurs.
  /// @param Period from one to the next; Never: none.
  /// @param Fault what happens.
  void every(Millis Period, const std::function<void()> &Fault);
  /// Slows two engines for a while.
  void slowTwo();
  /// A version is announced.
  void announceVersion();
  /// A host leaves and comes back.
  void leaveOne();
  /// Loses the data centre dc2, or brings it back.
  void setCentreLost(bool Lost);
  /// @return a random model engine that is alive.
  AgentNode &randomEngine();
  /// @return the figures so far.
  RunFigures figures() const;
  /// @return seconds from the end of the outage to 95% goodput; -1: none.
  double recoverySeconds() const;

  /// The scenario.
  Scenario Run;
  /// The policies.
  PolicySet Policies;
  /// Of all random choices.
  uint64_t Seed;
  /// Random faults and arrivals.
  std::mt19937_64 Random;
  /// Virtual time.
  EventQueue Queue;
  /// The agents; model engines first.
  std::vector<std::unique_ptr<AgentNode>> Agents;
  /// The entries, one in each data centre.
  std::vector<std::unique_ptr<EntryNode>> Entries;
  /// The trainers.
  std::vector<Trainer> Trainers;
  /// Whether the regions are parted.
  bool Cut = false;
  /// The newest version announced.
  int64_t Newest = 1;
  /// The last slot and request number.
  int64_t LastNumber = 0;
  /// When each open desk call was made, in ms.
  std::map<RequestRef, double> CallAt;
  /// Open calls that are poisonous.
  std::set<RequestRef> PoisonCalls;
  /// Crashes seen when the poisonous call was last refused.
  int64_t PoisonCrashes = 0;
  /// Latencies of answered desk calls.
  std::vector<double> DeskLatency;
  /// Desk calls that were refused.
  int64_t DeskRefused = 0;
  /// Ages of delivered samples in versions.
  std::vector<double> Ages;
  /// Samples discarded for age.
  int64_t TooOld = 0;
  /// Tokens delivered to trainers, by second.
  std::map<int64_t, int64_t> GoodputAt;
  /// Tokens delivered.
  int64_t Delivered = 0;
  /// Bytes over the link between regions.
  int64_t RegionBytes = 0;
};

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_CLUSTER_H
