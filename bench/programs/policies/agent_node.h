/// @file
/// An agent on virtual time: the real admission and weight controllers beside
/// a fake engine.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_AGENT_NODE_H
#define CAMPHORNOTCH_BENCH_POLICIES_AGENT_NODE_H

#include "core/agent/admission_base.h"
#include "core/agent/weight_base.h"
#include "core/routing/endpoint_type.h"
#include "core/routing/rollout_type.h"
#include "engine_fake.h"
#include "scenario_type.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <variant>

namespace camphornotch::bench {

/// Work on its way to an agent.
struct AgentWork {
  /// Which entry it comes from.
  size_t Entry = 0;
  /// The message.
  wire::StartWork Start;
  /// Tokens that the whole answer really has.
  int64_t RealTokens = 0;
};

/// The end of work, on its way back to the entry.
struct AgentReply {
  /// Which work.
  WorkId Work;
  /// Whether the whole answer came.
  bool Finished = false;
  /// If not: why.
  Refusal Why;
  /// Output so far.
  KeptOutput Output;
  /// The agent's figure.
  wire::LoadFigure Load;
};

/// Sends a reply to an entry.
using ReplySender = std::function<void(size_t Entry, AgentReply Reply)>;

/// Reports the digests that were at a crash, alone or together.
using CrashReporter = std::function<void(const std::vector<int64_t> &Digests)>;

/// What an agent is built from.
struct AgentSpec {
  /// The endpoint beside it.
  EndpointInfo Info;
  /// Places of the engine.
  int Slots = 8;
  /// The engine's speed.
  EngineSpec Engine;
  /// Share of swaps that fail.
  double SwapFailures = 0;
  /// Rank among the engines that swap, and their number.
  int SwapRank = 0;
  /// See SwapRank.
  int SwapEngines = 1;
};

/// One agent with its engine.
class AgentNode {
public:
  /// @param Queue virtual time.
  /// @param Spec what it is built from.
  /// @param Policies of admission and swaps.
  /// @param Seed of its random faults.
  /// @param Sender sends replies.
  /// @param Reporter reports crashes.
  AgentNode(EventQueue &Queue, const AgentSpec &Spec, const PolicySet &Policies,
            uint64_t Seed, ReplySender Sender, CrashReporter Reporter);

  /// Takes work from an entry.
  /// @param Work the work.
  void receive(const AgentWork &Work);

  /// An entry does not want some work any more.
  /// @param Entry which entry.
  /// @param Work which work.
  void cancel(size_t Entry, WorkId Work);

  /// A version was announced.
  /// @param Version the version.
  void announce(int64_t Version);

  /// The engine crashes and comes back after a time.
  /// @param Span how long it is away.
  void crash(Millis Span);

  /// The host leaves, or is back.
  /// @param Leaving whether it leaves.
  void setLeaving(bool Leaving);

  /// The host loses power and forgets everything, or is back.
  /// @param Lost whether it is lost.
  void setLost(bool Lost);

  /// @param Entry who reads it.
  /// @return what it would say of its load now.
  wire::LoadFigure load(size_t Entry) const;

  /// @return the endpoint beside it.
  const EndpointInfo &info() const { return this->Spec.Info; }

  /// @return the engine.
  EngineFake &engine() { return this->Engine; }

  /// @return whether it is reachable.
  bool alive() const { return !this->Lost; }

  /// @return crashes of the engine by a poisonous request or by order.
  int64_t crashes() const { return this->Crashes; }

  /// Digests whose work crashes the engine.
  static constexpr int64_t PoisonDigest = 666;

private:
  /// One attempt at the engine.
  struct ActiveRun {
    /// The work that it is for.
    WorkKey Key;
    /// Output so far, with what was kept before.
    KeptOutput Output;
    /// Digest of the request.
    int64_t Digest = 0;
    /// Whether it was told to stop.
    bool Stopping = false;
  };

  /// Does what the admission controller asks for.
  /// @param Actions what it asks for.
  void apply(const std::vector<AdmissionAction> &Actions);
  /// @name One for each action.
  /// @{
  void act(const StartRun &Action);
  void act(const StopRun &Action);
  void act(const RefuseWork &Action);
  /// @}
  /// Does what the weight controller asks for.
  /// @param Actions what it asks for.
  void apply(const std::vector<WeightAction> &Actions);
  /// Tells the weight controller something.
  /// @param Event what.
  void tellWeights(const WeightEvent &Event);
  /// Takes output from the engine.
  /// @param Output the output.
  void onOutput(const EngineOutput &Output);
  /// An attempt ended.
  /// @param Run the attempt.
  /// @param Outcome how.
  void endRun(RunId Run, RunOutcome Outcome);
  /// Plans the next tick of the controllers.
  void planTick();

  /// Virtual time.
  EventQueue &Queue;
  /// What it is built from.
  AgentSpec Spec;
  /// The engine.
  EngineFake Engine;
  /// Decides what runs.
  AdmissionController Admission;
  /// Decides when to swap.
  WeightController Weights;
  /// Sends replies.
  ReplySender Sender;
  /// Reports crashes.
  CrashReporter Reporter;
  /// Random faults.
  std::mt19937_64 Random;
  /// Attempts at the engine.
  std::map<RunId, ActiveRun> Runs;
  /// Tokens that each piece of work really has.
  std::map<WorkKey, int64_t> RealTokens;
  /// Output of attempts that ended without finishing.
  std::map<RunId, KeptOutput> Stopped;
  /// The time of the planned tick.
  Millis TickAt = Never;
  /// Whether the host is leaving.
  bool Leaving = false;
  /// Whether the host is lost.
  bool Lost = false;
  /// Crashes so far.
  int64_t Crashes = 0;
};

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_AGENT_NODE_H
