/// @file
/// Trainers' steps and samples: sample controllers and rollout scheduler.

#ifndef CAMPHORNOTCH_DAEMON_SAMPLE_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_SAMPLE_TASK_BASE_H

#include "core/claims/claim_type.h"
#include "core/routing/rollout_scheduler_base.h"
#include "core/samples/sample_base.h"
#include "daemon/log_task_base.h"
#include "daemon/route_task_base.h"
#include "daemon/waiting_requests_base.h"
#include "daemon/work_links_base.h"

#include <functional>
#include <map>
#include <memory>

namespace camphornotch {

/// Owns a sample controller for each trainer, and the rollout scheduler that
/// gets their output.
class SampleTask {
public:
  /// Told an epoch that a trainer's cursor showed.
  using EpochShown = std::function<void(const EpochSeen &)>;

  /// @param Events the loop.
  /// @param Works sends work.
  /// @param Routes calls scorers.
  /// @param Log takes records and holds the rules.
  /// @param Table the endpoints.
  /// @param WorkIds numbers for work.
  /// @param Counters the process's metrics.
  SampleTask(Loop &Events, WorkLinks &Works, RouteTask &Routes, LogTask &Log,
             EndpointTable &Table, WorkIdSource &WorkIds, Metrics &Counters);

  /// @param Tell told of epochs in cursors.
  void onEpoch(EpochShown Tell) { this->TellEpoch = std::move(Tell); }

  /// Told a request whose shard this entry does not own any more.
  using Misplaced =
      std::function<void(const std::shared_ptr<CallerExchange> &)>;

  /// @param Tell told of requests to be brought to another owner.
  void onMisplaced(Misplaced Tell) { this->TellMisplaced = std::move(Tell); }

  /// Takes a submission for a shard that this entry owns.
  /// @param Exchange the request.
  /// @param Wanted its typed form.
  void submit(const std::shared_ptr<CallerExchange> &Exchange,
              const SubmitRequest &Wanted);

  /// Takes a pull for a shard that this entry owns.
  /// @param Exchange the request.
  /// @param Wanted its typed form.
  void pull(const std::shared_ptr<CallerExchange> &Exchange,
            const PullRequest &Wanted);

  /// Takes new rules.
  /// @param Rules the rules in force.
  void change(std::shared_ptr<const RuleSet> Rules) {
    this->Scheduler.change(std::move(Rules));
  }

  /// @name What happens elsewhere
  /// @{
  void committed(const RecordCommitted &Event);
  void changed(const std::vector<FoldChange> &Changes);
  void logStatus(const LogStatus &Event);
  void gained(const ShardGained &Event);
  void lost(const ShardLost &Event);
  void endpointLost(EndpointIndex Endpoint);
  void endpointReported(EndpointIndex Endpoint);
  /// @}

  /// Takes an answer to work of this task.
  /// @param Agent the sender.
  /// @param Event the answer.
  void take(const HostId &Agent, const WorkEvent &Event);

  /// @return requests that wait.
  size_t open() const { return this->Waiting.size(); }

  /// @return the scheduler's counts.
  const RolloutCounts &counts() const { return this->Scheduler.counts(); }

  /// @return samples dropped, by reason, since the boot.
  const std::map<DropReason, int64_t> &dropped() const { return this->Dropped; }

private:
  /// One trainer.
  struct Trainer {
    /// Its controller.
    std::unique_ptr<SampleController> Controller;
    /// The slots that need output, with their number at the scheduler.
    std::map<SlotKey, SlotRef> Slots;
    /// Where finished output is still kept.
    std::map<SlotKey, std::pair<HostId, WorkId>> Kept;
    /// The controller's next tick.
    TimerId Tick;
  };

  /// A slot that needs output.
  struct Slot {
    /// What it needs.
    NeedAttempt Need;
    /// The body for the engine.
    std::string Body;
  };

  /// An attempt that is out.
  struct Attempt {
    /// The slot.
    SlotRef Slot;
    /// Where it is.
    EndpointIndex Endpoint;
    /// When it was sent.
    Millis SentAt;
    /// Output that it resumed from.
    std::string KeptText;
  };

  /// @param Name a trainer.
  /// @return its state, made if need be.
  Trainer &trainer(const TrainerId &Name);
  /// @param Name a trainer.
  /// @return its bounds by the rules in force.
  SampleSettings settingsFor(const TrainerId &Name) const;
  /// Hands an event to a trainer's controller and does what it asks for.
  /// @param Name the trainer.
  /// @param Event the event.
  void handle(const TrainerId &Name, const SampleEvent &Event);
  /// Hands an event to all controllers.
  /// @param Event the event.
  void handleAll(const SampleEvent &Event);
  /// Hands an event to the scheduler and does what it asks for.
  /// @param Event the event.
  void schedule(const RolloutEvent &Event);

  /// @name Actions of the sample controllers
  /// @{
  void act(const TrainerId &Name, const AppendRecord &Action);
  void act(const TrainerId &Name, const NeedAttempt &Action);
  void act(const TrainerId &Name, const CancelAttempts &Action);
  void act(const TrainerId &Name, const NeedScore &Action);
  void act(const TrainerId &Name, const SlotAcknowledged &Action);
  void act(const TrainerId &Name, const SampleDropped &Action);
  void act(const TrainerId &Name, const AnswerSubmit &Action);
  void act(const TrainerId &Name, const AnswerPull &Action);
  void act(const TrainerId &Name, const RefuseRequest &Action);
  void act(const TrainerId &Name, const EpochSeen &Action);
  /// @}

  /// @name Actions of the scheduler
  /// @{
  void act(const SendAttempt &Action);
  void act(const StopAttempt &Action);
  void act(const CountRetry &Action);
  /// @}

  /// Asks the scorer.
  /// @param Name the trainer.
  /// @param Need what is to be scored.
  /// @param Tries calls made before.
  void score(const TrainerId &Name, const NeedScore &Need, int Tries);
  /// The scorer answered or refused.
  /// @param Name the trainer.
  /// @param Need what was to be scored.
  /// @param Tries calls made before this one.
  /// @param End its answer.
  void scored(const TrainerId &Name, const NeedScore &Need, int Tries,
              const RouteEnd &End);
  /// A whole output came.
  /// @param Agent where it is kept.
  /// @param Finished the output.
  void finished(const HostId &Agent, const wire::WorkFinished &Finished);
  /// An attempt was refused or failed.
  /// @param Refused the refusal.
  void refused(const wire::WorkRefused &Refused);
  /// No attempt at a slot can succeed.
  /// @param Ref the slot.
  /// @param Reason why.
  void failSlot(SlotRef Ref, RefusalReason Reason);
  /// Forgets that a slot needs output.
  /// @param Ref the slot.
  /// @return what it needed, if known.
  std::optional<Slot> closeSlot(SlotRef Ref);
  /// The agent may forget a slot's output.
  /// @param Of the trainer.
  /// @param Key the slot.
  void release(Trainer &Of, const SlotKey &Key);
  /// Plans a trainer's next tick.
  /// @param Name the trainer.
  void planTick(const TrainerId &Name);
  /// Plans the scheduler's next tick.
  void planScheduler();
  /// Takes all state over from the fold after a snapshot.
  void reload();

  /// The loop.
  Loop &Events;
  /// Sends work.
  WorkLinks &Works;
  /// Calls scorers.
  RouteTask &Routes;
  /// Takes records and holds the rules.
  LogTask &Log;
  /// The endpoints.
  EndpointTable &Table;
  /// The process's metrics.
  Metrics &Counters;
  /// Told of epochs in cursors.
  EpochShown TellEpoch;
  /// Told of requests to be brought to another owner.
  Misplaced TellMisplaced;
  /// Decides which attempt goes where.
  RolloutScheduler Scheduler;
  /// Trainers by name.
  std::map<TrainerId, Trainer> Trainers;
  /// Slots that need output.
  std::map<SlotRef, Slot> Slots;
  /// Attempts that are out.
  std::map<WorkId, Attempt> Attempts;
  /// The last slot's number.
  int64_t LastSlot = 0;
  /// Requests that wait.
  WaitingRequests Waiting;
  /// Samples dropped, by reason.
  std::map<DropReason, int64_t> Dropped;
  /// The scheduler's next tick.
  TimerId SchedulerTimer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_SAMPLE_TASK_BASE_H
