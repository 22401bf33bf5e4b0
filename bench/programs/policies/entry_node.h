/// @file
/// An entry on virtual time: the real endpoint table, rollout scheduler and
/// route controller.

#ifndef CAMPHORNOTCH_BENCH_POLICIES_ENTRY_NODE_H
#define CAMPHORNOTCH_BENCH_POLICIES_ENTRY_NODE_H

#include "agent_node.h"
#include "core/agent/crash_base.h"
#include "core/routing/rollout_scheduler_base.h"
#include "core/routing/route_controller_base.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace camphornotch::bench {

/// What an entry needs of its surroundings.
struct EntryPorts {
  /// Sends work to an agent.
  std::function<void(size_t Agent, AgentWork Work)> SendWork;
  /// Cancels work at an agent.
  std::function<void(size_t Agent, WorkId Work)> SendCancel;
  /// A sample is whole.
  std::function<void(SlotRef Slot, const KeptOutput &Output)> OnSample;
  /// A desk call was answered or refused.
  std::function<void(RequestRef Request, bool Answered)> OnAnswer;
};

/// A sample that a trainer needs, with its real length.
struct SampleNeed {
  /// What the scheduler is told.
  RolloutSpec Spec;
  /// The real length.
  int64_t RealTokens = 0;
};

/// A desk call, with its real length.
struct DeskNeed {
  /// What the route controller is told.
  RouteSpec Spec;
  /// Digest of the request.
  int64_t Digest = 0;
};

/// One entry.
class EntryNode {
public:
  /// @param Queue virtual time.
  /// @param Number which entry.
  /// @param Centre its data centre.
  /// @param Region its region.
  /// @param Policies the policies.
  /// @param Seed of its random choices.
  /// @param Ports its surroundings.
  EntryNode(EventQueue &Queue, size_t Number, DataCentreId Centre,
            RegionId Region, const PolicySet &Policies, uint64_t Seed,
            EntryPorts Ports);

  /// Learns of an agent from the host list.
  /// @param Agent which agent.
  /// @param Info its endpoint.
  void addAgent(size_t Agent, const EndpointInfo &Info);

  /// A trainer needs a sample.
  /// @param Need which.
  void need(const SampleNeed &Need);

  /// A desk calls.
  /// @param Need which call.
  void call(const DeskNeed &Need);

  /// An agent answered.
  /// @param Agent which agent.
  /// @param Reply what it said.
  void onReply(size_t Agent, const AgentReply &Reply);

  /// An agent's heartbeat arrived.
  /// @param Agent which agent.
  /// @param Load its figure.
  void onHeartbeat(size_t Agent, const wire::LoadFigure &Load);

  /// An engine crashed somewhere.
  /// @param Digests what it was running.
  void onCrash(const std::vector<int64_t> &Digests);

  /// An agent has a new boot: what it ran before is lost.
  /// @param Agent which agent.
  void onNewBoot(size_t Agent);

  /// Looks for agents that have gone silent, and ticks the controllers.
  void tick();

  /// @return the scheduler.
  const RolloutScheduler &scheduler() const { return this->Scheduler; }
  /// @return the route controller.
  const RouteController &router() const { return this->Router; }

private:
  /// Does what the scheduler asks for.
  /// @param Actions what it asks for.
  void apply(const std::vector<RolloutAction> &Actions);
  /// Does what the route controller asks for.
  /// @param Actions what it asks for.
  void apply(const std::vector<RouteAction> &Actions);
  /// @name One for each action.
  /// @{
  void act(const SendAttempt &Action);
  void act(const StopAttempt &Action);
  void act(const CountRetry &) {}
  void act(const SendRequest &Action);
  void act(const StopRequest &Action);
  void act(const UseAnswer &Action);
  void act(const RefuseRoute &Action);
  void act(const CountRouteRetry &) {}
  /// @}
  /// @param Digest of a request.
  /// @return whether it may only run alone.
  bool runsAlone(int64_t Digest) const;
  /// Notes that an agent was heard.
  /// @param Agent which agent.
  void hear(size_t Agent);
  /// Plans a tick for the route controller's deadline.
  void planTick();

  /// Virtual time.
  EventQueue &Queue;
  /// Which entry.
  size_t Number;
  /// Its surroundings.
  EntryPorts Ports;
  /// The endpoints.
  EndpointTable Table;
  /// Numbers for attempts.
  WorkIdSource WorkIds;
  /// Rollouts.
  RolloutScheduler Scheduler;
  /// Short calls.
  RouteController Router;
  /// Agents by index in the table.
  std::map<EndpointIndex, size_t> AgentOf;
  /// Index in the table by agent.
  std::map<size_t, EndpointIndex> IndexOf;
  /// When each agent was last heard.
  std::map<size_t, Millis> HeardAt;
  /// Agents whose work was given up.
  std::map<size_t, bool> GivenUp;
  /// Whether requests suspected of crashes are told apart.
  bool Quarantine;
  /// Evidence against requests.
  CrashAttribution Evidence{CrashSettings{}};
  /// Requests that are not run any more.
  std::set<int64_t> Quarantined;
  /// Samples that are needed.
  std::map<SlotRef, SampleNeed> Needs;
  /// Desk calls that are open.
  std::map<RequestRef, DeskNeed> Calls;
  /// Which slot each attempt is for.
  std::map<WorkId, SlotRef> SlotOf;
  /// The time of the planned tick.
  Millis TickAt = Never;
};

} // namespace camphornotch::bench

#endif // CAMPHORNOTCH_BENCH_POLICIES_ENTRY_NODE_H
