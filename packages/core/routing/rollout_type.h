/// @file
/// Settings, events and actions of the rollout scheduler.

#ifndef CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_TYPE_H
#define CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_TYPE_H

#include "base/refusal_type.h"
#include "base/retry_type.h"
#include "core/routing/choice_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// One sample slot in this process.
using SlotRef = StrongId<struct SlotRefTag, int64_t>;

/// Output of a stopped attempt, from which another one resumes.
struct KeptOutput {
  /// The text so far.
  std::string Text;
  /// Its length in tokens.
  int64_t Tokens = 0;
  /// Which versions made which part.
  std::vector<wire::LabelSegment> Segments;
};

/// A slot that needs a sample.
struct RolloutSpec {
  /// Which slot.
  SlotRef Slot;
  /// Whose.
  TrainerId Trainer;
  /// The model that must produce it.
  std::string Model;
  /// The trainer's step; lower ones go first.
  int64_t Step = 0;
  /// The group, whose members share a prompt.
  std::string Group;
  /// The most tokens it may have.
  int64_t MaxTokens = 0;
  /// Bytes of prompt and answer, for the link between regions.
  int64_t Bytes = 0;
  /// Patterns of the endpoints that it may use; empty: all.
  std::vector<std::string> Engines;
  /// Older versions would be over the age bound when the output is ready.
  WeightVersion MinVersion{-1};
  /// Older versions are over the age bound already.
  WeightVersion OldestVersion{-1};
};

/// Slots wait here until an endpoint has a place free (default).
struct LateDispatch {
  /// Own slots that may wait at an agent, so that it can choose among
  /// trainers and its engine is never without work.
  int32_t Lookahead = 2;
};
/// Baseline: slots are sent at once and wait at the agents.
struct EagerDispatch {};
/// When slots are sent.
using DispatchPolicy = std::variant<LateDispatch, EagerDispatch>;

/// At the end of a step, attempts on slow endpoints are stopped and resumed
/// on faster ones; silent ones are sent a second time within the budget.
struct MoveTail {
  /// How much slower the present endpoint must be to be left.
  double SlowerFactor = 1.6;
  /// How long an attempt runs before it may be moved.
  Millis MinRun{500};
  /// Answer to a stop later than this: the attempt is sent elsewhere too.
  Millis StopTimeout{1000};
  /// Second attempts, as a share of attempts.
  double HedgeShare = 0.05;
};
/// Baseline: attempts stay where they are.
struct LeaveTail {};
/// What happens to the last attempts of a step.
using TailPolicy = std::variant<MoveTail, LeaveTail>;

/// Settings of the scheduler.
struct RolloutSettings {
  /// How an endpoint is chosen.
  ChoicePolicy Choice = ProbingPolicy{};
  /// When slots are sent.
  DispatchPolicy Dispatch = LateDispatch{};
  /// What happens at the end of a step.
  TailPolicy Tail = MoveTail{};
  /// Retries, as a share of attempts that succeed.
  double RetryShare = 0.1;
  /// Retries a second that time alone allows.
  double RetriesPerSecond = 2;
  /// Bytes a second that rollouts may send over the link between regions.
  double OtherRegionBytesPerSecond = 4e6;
  /// A step with this share of its slots open is at its end.
  double LateShare = 0.05;
  /// How often the end of steps is looked at.
  Millis TickInterval{200};
};

/// A slot needs a sample.
struct SlotNeeded {
  /// What it needs.
  RolloutSpec Spec;
};

/// A slot needs nothing any more; its attempts are cancelled.
struct SlotDropped {
  /// Which slot.
  SlotRef Slot;
};

/// An attempt gave a whole sample; others of its slot are cancelled.
struct AttemptFinished {
  /// The attempt.
  WorkId Work;
  /// Tokens that it has.
  int64_t Tokens = 0;
};

/// An attempt was refused, stopped or failed.
struct AttemptRefused {
  /// The attempt.
  WorkId Work;
  /// Why.
  RefusalReason Reason = RefusalReason::Internal;
  /// When the agent would take it; zero: no advice.
  Millis RetryAfter;
  /// Output to resume from; Tokens 0: none.
  KeptOutput Kept;
};

/// An endpoint is gone with all that ran there.
struct EndpointGone {
  /// Which.
  EndpointIndex Endpoint;
};

/// An endpoint has a new figure in the table.
struct EndpointReported {
  /// Which.
  EndpointIndex Endpoint;
};

/// The time of nextDeadline() has come.
struct RolloutTick {};

/// What the scheduler reacts to.
using RolloutEvent =
    std::variant<SlotNeeded, SlotDropped, AttemptFinished, AttemptRefused,
                 EndpointGone, EndpointReported, RolloutTick>;

/// Send an attempt to the agent beside an endpoint.
struct SendAttempt {
  /// The attempt.
  WorkId Work;
  /// The slot that it is for.
  SlotRef Slot;
  /// Where.
  EndpointIndex Endpoint;
  /// With which class.
  wire::WorkClass::type Class = wire::WorkClass::Rollout;
  /// How many attempts of the slot came before.
  int32_t Attempt = 0;
  /// Tokens expected of it.
  int64_t ExpectedTokens = 0;
  /// Where to resume.
  KeptOutput Kept;
  /// Tokens expected until the step is whole.
  int64_t StepRemaining = 0;
  /// The oldest version that it may use.
  WeightVersion MinVersion{-1};
};

/// Stop an attempt.
struct StopAttempt {
  /// The attempt.
  WorkId Work;
  /// Where it runs.
  EndpointIndex Endpoint;
  /// Whether its output is wanted, to resume elsewhere.
  bool KeepTokens = false;
};

/// Count a retry.
struct CountRetry {
  /// Why it is made.
  RetryReason Reason = RetryReason::RefusedNotRun;
};

/// What the scheduler asks for.
using RolloutAction = std::variant<SendAttempt, StopAttempt, CountRetry>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_ROLLOUT_TYPE_H
