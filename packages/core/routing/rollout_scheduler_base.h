/// @file
/// Decides which attempt of which sample slot goes to which endpoint, when.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_SCHEDULER_BASE_H
#define CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_SCHEDULER_BASE_H

#include "core/routing/choice_func.h"
#include "core/routing/endpoint_table_base.h"
#include "core/routing/pending_base.h"
#include "core/routing/rollout_type.h"
#include "core/routing/routing_policies_base.h"
#include "core/routing/token_bucket_base.h"
#include "core/routing/work_id_base.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace camphornotch {

/// Counts of the scheduler since the boot.
struct RolloutCounts {
  /// Attempts sent.
  int64_t Sent = 0;
  /// Attempts that gave a sample.
  int64_t Finished = 0;
  /// Attempts stopped in order to resume on a faster endpoint.
  int64_t Moved = 0;
  /// Second attempts of a slot whose first one is still out.
  int64_t Hedged = 0;
  /// Attempts that failed or were refused and were made again.
  int64_t Retried = 0;
  /// Bytes sent towards another region.
  int64_t OtherRegionBytes = 0;
};

/// The scheduler of one entry, for the trainers whose shards it owns.
class RolloutScheduler {
public:
  /// @param Settings the settings in force.
  /// @param Table the endpoints; must outlive the scheduler.
  /// @param WorkIds numbers for attempts; must outlive the scheduler.
  /// @param Seed of the random choices.
  RolloutScheduler(const RolloutSettings &Settings, EndpointTable &Table,
                   WorkIdSource &WorkIds, uint64_t Seed);

  /// @param Event what happened.
  /// @param Now when.
  /// @return what to do, in order.
  std::vector<RolloutAction> handle(const RolloutEvent &Event, Millis Now);

  /// Takes new rules: policies, budgets of retries, of second attempts and of
  /// the link between regions.
  /// @param Rules the rules in force.
  void change(std::shared_ptr<const RuleSet> Rules);

  /// @return when RolloutTick is due.
  Millis nextDeadline() const { return this->NextTick; }

  /// @return counts since the boot.
  const RolloutCounts &counts() const { return this->Counts; }

  /// @return slots that wait for an endpoint.
  size_t pending() const;

  /// @return attempts out.
  size_t outstanding() const { return this->Attempts.size(); }

  /// @param Model a model.
  /// @return tokens expected of a sample of it, from those seen.
  int64_t expectedTokens(const std::string &Model) const;

private:
  /// One attempt that is out.
  struct Attempt {
    /// The slot that it is for.
    SlotRef Slot;
    /// Where it is.
    EndpointIndex Endpoint;
    /// When it was sent.
    Millis SentAt;
    /// Tokens expected of it.
    int64_t Expected = 0;
    /// When it was told to stop; Count 0: it was not.
    Millis StopAt;
    /// Whether its slot has another attempt because this one is silent.
    bool Hedged = false;
  };

  /// One slot that needs a sample.
  struct Slot {
    /// What it needs.
    RolloutSpec Spec;
    /// Its attempts that are out.
    std::vector<WorkId> Attempts;
    /// Attempts made so far.
    int32_t Tries = 0;
    /// Refusals in a row, for the backoff.
    int32_t Refusals = 0;
    /// Refusals because the endpoint had older weights than asked for.
    int32_t VersionRefusals = 0;
    /// Output to resume from.
    KeptOutput Kept;
    /// Whether it waits in the pending slots.
    bool Waiting = false;
  };

  /// Actions under construction.
  using Actions = std::vector<RolloutAction>;
  /// The endpoints that some slots may use.
  struct Pool {
    /// The model.
    std::string Model;
    /// Patterns of endpoint names; empty: all that serve the model.
    std::vector<std::string> Engines;

    /// Orders by model, then patterns.
    auto operator<=>(const Pool &) const = default;
  };
  /// A trainer's step.
  using StepKey = std::pair<TrainerId, int64_t>;

  /// @name Handlers, one for each event; each adds to the actions.
  /// @{
  void on(const SlotNeeded &Event, Millis Now, Actions &Out);
  void on(const SlotDropped &Event, Millis Now, Actions &Out);
  void on(const AttemptFinished &Event, Millis Now, Actions &Out);
  void on(const AttemptRefused &Event, Millis Now, Actions &Out);
  void on(const EndpointGone &Event, Millis Now, Actions &Out);
  void on(const EndpointReported &Event, Millis Now, Actions &Out);
  void on(const RolloutTick &Event, Millis Now, Actions &Out);
  /// @}

  /// @param Spec a slot's needs.
  /// @return the pool that it may use.
  static Pool poolOf(const RolloutSpec &Spec);
  /// Sends waiting slots of a pool while an endpoint of it has a place.
  /// @param Wanted the pool.
  void sendWaiting(const Pool &Wanted, Millis Now, Actions &Out);
  /// @param Index an endpoint.
  /// @return the slots whose turn it is there; nothing if none may go.
  PendingSlots *nextPool(EndpointIndex Index, Millis Now);
  /// Sends waiting slots to one endpoint while it has a place.
  /// @param Index the endpoint.
  void fillEndpoint(EndpointIndex Index, Millis Now, Actions &Out);
  /// @param Wanted a pool.
  /// @param Lookahead own work that may wait there; nothing: any endpoint
  ///        will do, however loaded.
  /// @param Excluded endpoints not to use.
  /// @return the endpoint to use next.
  std::optional<EndpointIndex>
  chooseFor(const Pool &Wanted, std::optional<int32_t> Lookahead,
            const std::vector<EndpointIndex> *Excluded, Millis Now);
  /// Sends one attempt of a slot.
  /// @param Ref the slot.
  /// @param Index where.
  void send(SlotRef Ref, EndpointIndex Index, Millis Now, Actions &Out);
  /// @param Needed a slot.
  /// @return the oldest version that its next attempt may use.
  static WeightVersion minVersionFor(const Slot &Needed);
  /// Takes an attempt off the books.
  /// @param Work the attempt.
  /// @return what it was, if known.
  std::optional<Attempt> settle(WorkId Work);
  /// Stops every attempt of a slot and forgets it.
  /// @param Ref the slot.
  void forgetSlot(SlotRef Ref, Actions &Out);
  /// Puts a slot back among the waiting ones.
  /// @param Ref the slot.
  /// @param Reason why.
  /// @param NotBefore the earliest time.
  void tryAgain(SlotRef Ref, RetryReason Reason, Millis NotBefore, Millis Now,
                Actions &Out);
  /// @param Refusals refusals in a row.
  /// @return how long to wait before the next attempt.
  static Millis backoff(int32_t Refusals);
  /// Moves late attempts to faster endpoints.
  /// @param Policy how.
  void treatTail(const MoveTail &Policy, Millis Now, Actions &Out);
  /// Leaves late attempts where they are.
  void treatTail(const LeaveTail &, Millis, Actions &) {}
  /// Moves one attempt if a faster endpoint has a place.
  /// @param Policy how.
  /// @param Work the attempt.
  /// @param Best the fastest endpoint with a place.
  /// @return whether it is being moved.
  bool moveAttempt(const MoveTail &Policy, WorkId Work, EndpointIndex Best,
                   Millis Now, Actions &Out);
  /// Sends a slot a second time whose first attempt is silent.
  /// @param Work the silent attempt.
  void hedgeAttempt(WorkId Work, Millis Now, Actions &Out);
  /// @param Index an endpoint.
  /// @return its microseconds per token; 0: unknown.
  double tokenMicros(EndpointIndex Index) const;
  /// @return how much own work may wait at an agent; nothing: any amount.
  std::optional<int32_t> lookahead() const;
  /// @param Spec a slot's needs.
  /// @return tokens expected until its step is whole.
  int64_t stepRemaining(const RolloutSpec &Spec) const;
  /// @param Spec a slot's needs.
  /// @return the class that its attempts have now.
  wire::WorkClass::type classOf(const RolloutSpec &Spec) const;

  /// The settings in force.
  RolloutSettings Settings;
  /// How endpoints are chosen.
  RoutingPolicies Policies;
  /// The endpoints.
  EndpointTable &Table;
  /// Random choices.
  RandomSource Random;
  /// Slots that need a sample.
  std::map<SlotRef, Slot> Slots;
  /// Attempts that are out.
  std::map<WorkId, Attempt> Attempts;
  /// Attempts out at each endpoint.
  std::map<EndpointIndex, std::set<WorkId>> ByEndpoint;
  /// Waiting slots by pool.
  std::map<Pool, PendingSlots> Pending;
  /// Attempts out of each trainer.
  std::map<TrainerId, int64_t> RunningOf;
  /// Open slots of each step, and how many it had.
  std::map<StepKey, std::pair<int64_t, int64_t>> OpenOf;
  /// Smoothed tokens of a sample, by model.
  std::map<std::string, double> TokensOf;
  /// Budget of retries.
  TokenBucket RetryBudget;
  /// Budget of second attempts.
  TokenBucket HedgeBudget;
  /// Budget of the link between regions, in bytes.
  TokenBucket RegionBudget;
  /// Numbers for attempts.
  WorkIdSource &WorkIds;
  /// When the end of steps is looked at next.
  Millis NextTick;
  /// Counts since the boot.
  RolloutCounts Counts;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_SCHEDULER_BASE_H
