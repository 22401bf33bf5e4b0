/// @file
/// Decides which work runs at the endpoint, which waits and which is refused.

#ifndef CAMPHORNOTCH_CORE_AGENT_ADMISSION_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_ADMISSION_BASE_H

#include "core/agent/admission_type.h"
#include "core/agent/fair_queue_base.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace camphornotch {

/// Counts of admission since the boot.
struct AdmissionCounts {
  /// Work started at the endpoint.
  int64_t Started = 0;
  /// Work refused before it started.
  int64_t Refused = 0;
  /// Runs preempted for short work.
  int64_t Preempted = 0;
};

/// The admission controller of one endpoint. Every SubmitWork is answered by
/// StartRun or RefuseWork; every started run that does not finish by itself
/// is answered by RefuseWork.
class AdmissionController {
public:
  /// @param Settings the settings at the start.
  explicit AdmissionController(AdmissionSettings Settings);

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<AdmissionAction> handle(const AdmissionEvent &Event, Millis Now);

  /// @return when AdmissionTick is due.
  [[nodiscard]] Millis nextDeadline() const;

  /// @param Now the present.
  /// @return what is running and waiting; Version, Leaving, Swapping and
  ///         OwnQueued are for others to fill.
  [[nodiscard]] wire::LoadFigure load(Millis Now) const;

  /// @param Sender the boot of an entry.
  /// @return how much of its work waits.
  [[nodiscard]] int32_t queuedFrom(BootId Sender) const;

  /// @param Work new work.
  /// @param Now the present.
  /// @return the time until it would start.
  [[nodiscard]] Millis expectedWait(const wire::StartWork &Work,
                                    Millis Now) const;

  /// @return counts since the boot.
  [[nodiscard]] const AdmissionCounts &counts() const { return this->Counts; }

  /// @return runs at the endpoint, stopping ones included.
  [[nodiscard]] size_t running() const { return this->Runs.size(); }

  /// @return work that waits.
  [[nodiscard]] size_t queued() const { return this->Waiting.size(); }

private:
  /// Work that waits.
  struct WaitingWork {
    /// What the entry sent.
    wire::StartWork Work;
    /// When it arrived.
    Millis Arrived;
    /// Until when it must be done; Never without a deadline.
    Millis Deadline;
    /// Whether it may only run alone.
    bool Alone = false;
  };

  /// Work at the endpoint.
  struct Run {
    /// Which work.
    WorkKey Key;
    /// Its class.
    wire::WorkClass::type Class = wire::WorkClass::Short;
    /// Its kind.
    wire::WorkKind::type Kind = wire::WorkKind::Completion;
    /// Tokens expected of it.
    int64_t Expected = 0;
    /// Tokens produced so far.
    int64_t Produced = 0;
    /// When it started.
    Millis Started;
    /// When it last produced any, or started.
    Millis LastProgress;
    /// How often the entry tried the work before.
    int64_t Attempt = 0;
    /// Until when it must be done; Never without a deadline.
    Millis Deadline;
    /// Whether it runs alone.
    bool Alone = false;
    /// Whether it was told to stop.
    bool Stopping = false;
    /// Why it was told to stop.
    RefusalReason StopReason = RefusalReason::Preempted;

    /// @return tokens left by the estimate.
    [[nodiscard]] int64_t remaining() const;
  };

  /// One queue a class, and one for work that must run alone. Under first
  /// come first served all else waits in RolloutQueue.
  enum QueueIndex : uint8_t {
    ShortQueue,
    UrgentQueue,
    RolloutQueue,
    AloneQueue,
    QueueCount,
  };

  /// Actions under construction.
  using Actions = std::vector<AdmissionAction>;

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const SubmitWork &Event, Millis Now, Actions &Out);
  void on(const DropWork &Event, Millis Now, Actions &Out);
  void on(const RunProgressed &Event, Millis Now, Actions &Out);
  void on(const RunEnded &Event, Millis Now, Actions &Out);
  void on(const HoldStarts &Event, Millis Now, Actions &Out);
  void on(const CloseAdmission &Event, Millis Now, Actions &Out);
  void on(const EvictRuns &Event, Millis Now, Actions &Out);
  void on(const ChangeAdmission &Event, Millis Now, Actions &Out);
  void on(const AdmissionTick &Event, Millis Now, Actions &Out);
  /// @}

  /// @param Work new work.
  /// @param Now the present.
  /// @return why it cannot be taken, if so.
  [[nodiscard]] std::optional<Refusal> objection(const wire::StartWork &Work,
                                                 Millis Now) const;
  /// Starts what may start, then preempts for what may not.
  void fillSlots(Millis Now, Actions &Out);
  /// @param Now the present.
  /// @return the queue whose front may start now, if any.
  [[nodiscard]] std::optional<QueueIndex> chooseQueue(Millis Now) const;
  /// @param Index a queue.
  /// @return whether its class has a free place.
  [[nodiscard]] bool hasPlace(QueueIndex Index) const;
  /// Starts the front of a queue.
  void startFront(QueueIndex Index, Millis Now, Actions &Out);
  /// Stops rollouts while short work waits without a place coming free.
  void preemptForShort(Actions &Out);
  /// @return the rollout with the most tokens left that may be preempted.
  [[nodiscard]] std::optional<RunId> longestRollout() const;
  /// Tells a run to stop.
  void stopRun(RunId Id, RefusalReason Reason, Actions &Out);
  /// Refuses waiting work and forgets it.
  void refuseWaiting(WorkKey Key, Refusal Why, Actions &Out);
  /// Puts waiting work into a queue; without classes all callers are one.
  /// @param Index the queue.
  /// @param Key the work.
  /// @param Work what the entry sent.
  void enqueue(QueueIndex Index, WorkKey Key, const wire::StartWork &Work);
  /// Takes waiting work out of its queue and the deadlines.
  void removeWaiting(WorkKey Key);
  /// Refuses or stops what is over its deadline.
  void expire(Millis Now, Actions &Out);
  /// @param Work the work.
  /// @return the queue of its class under the policy.
  [[nodiscard]] QueueIndex queueOf(const wire::StartWork &Work) const;
  /// @param Work the work.
  /// @return tokens that it will still generate.
  [[nodiscard]] int64_t tokensOf(const wire::StartWork &Work) const;
  /// @param Now the present.
  /// @return microseconds a token, raised while nothing is produced.
  [[nodiscard]] int64_t tokenMicros(Millis Now) const;
  /// @return the policy of classes, or nothing under first come first served.
  [[nodiscard]] const ClassedAdmission *classes() const;
  /// @param Index the queue that new work would join.
  /// @return tokens that one place generates until it would start.
  [[nodiscard]] int64_t tokensAhead(QueueIndex Index) const;
  /// @param Index a queue.
  /// @return tokens left at each place that its class may use.
  [[nodiscard]] std::vector<int64_t> placesFor(QueueIndex Index) const;
  /// @param Index a queue.
  /// @return tokens of waiting work that goes before new work of it.
  [[nodiscard]] int64_t queuedBefore(QueueIndex Index) const;
  /// @return long runs at the endpoint.
  [[nodiscard]] int longRuns() const;
  /// @return whether long work waits.
  [[nodiscard]] bool longWaits() const;
  /// @return places not used by any run.
  [[nodiscard]] int freePlaces() const;
  /// @return places that only short work may take, as far as there are any.
  [[nodiscard]] int reserve() const;
  /// @return places that long work may always have.
  [[nodiscard]] int longFloor() const;
  /// @param Index a queue.
  /// @return whether waiting work of it is short.
  [[nodiscard]] bool isShort(QueueIndex Index) const;
  /// @param Now the present.
  /// @return whether starts are held for work that must run alone.
  [[nodiscard]] bool drainsForAlone(Millis Now) const;
  /// @return when waiting work that must run alone holds other starts.
  [[nodiscard]] Millis aloneHoldsAt() const;
  /// Takes a run's speed into the average.
  void learnSpeed(Millis Took, int64_t Tokens);
  /// Forgets a run.
  void removeRun(RunId Id);
  /// Answers for a run that did not finish.
  void refuseRun(RunId Id, const Run &Ended, const RunEnded &Event,
                 Actions &Out);

  /// The settings in force.
  AdmissionSettings Settings;
  /// Waiting work by key.
  absl::flat_hash_map<WorkKey, WaitingWork> Waiting;
  /// The order of waiting work, a queue a class.
  std::array<FairQueue, QueueCount> Queues;
  /// Work at the endpoint.
  absl::flat_hash_map<RunId, Run> Runs;
  /// The run of each piece of work at the endpoint.
  absl::flat_hash_map<WorkKey, RunId> RunOf;
  /// Deadlines of waiting and running work.
  std::set<std::pair<Millis, WorkKey>> Deadlines;
  /// Recent microseconds a token.
  double MicrosPerToken;
  /// Most tokens seen in one event.
  int64_t LargestChunk = 1;
  /// The last run id given.
  int64_t LastRun = 0;
  /// Urgent starts in a row.
  int UrgentStreak = 0;
  /// Short starts in a row while long work waited and none ran.
  int ShortStreak = 0;
  /// When work that must run alone last ended.
  Millis LastAloneEnd{-Never.Count};
  /// Whether starts are held.
  bool Held = false;
  /// Why new work is refused, if it is.
  std::optional<RefusalReason> Closed;
  /// The time of the newest event.
  Millis Present;
  /// When short work last arrived; after the boot it is taken to have just
  /// arrived, since nothing is known yet.
  std::optional<Millis> LastShortAt;
  /// Counts since the boot.
  AdmissionCounts Counts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_ADMISSION_BASE_H
