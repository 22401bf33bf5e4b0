/// @file
/// Events and actions of the sample controller.

#ifndef CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_TYPE_H
#define CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_TYPE_H

#include "base/millis_type.h"
#include "base/refusal_type.h"
#include "core/claims/claim_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// A caller's request that waits for an answer, unique in this process.
using RequestHandle = StrongId<struct RequestHandleTag, int64_t>;

/// One sample slot of a trainer; it is filled once.
struct SlotKey {
  /// The step.
  int64_t Step = 0;
  /// The group's ordinal in its step.
  int32_t GroupOrdinal = 0;
  /// The sample's index in its group.
  int32_t Index = 0;

  /// Orders by step, group, index.
  auto operator<=>(const SlotKey &) const = default;
};

/// One sample as it is delivered.
struct Sample {
  /// Its slot.
  SlotKey Slot;
  /// The group's name.
  std::string Group;
  /// The generated output.
  std::string Text;
  /// Tokens in it.
  int64_t Tokens = 0;
  /// Every weight version that produced a part of it.
  std::vector<wire::LabelSegment> Segments;
  /// The scorer's answer, if the group names one.
  std::optional<double> Score;
  /// Why there is no output; nothing for a good sample.
  std::optional<RefusalReason> Failure;
};

/// Why a finished attempt was not used.
enum class DropReason : uint8_t {
  Duplicate,    ///< The slot was filled by another attempt.
  LabelUnknown, ///< Nobody knows which version produced it.
  TooOld,       ///< It is over the age bound.
  UnknownSlot,  ///< The step is done or was never submitted.
};

/// Settings of one trainer's shard; rules may change them at any time.
struct SampleSettings {
  /// Largest number of versions a sample may be behind the newest known.
  int64_t MaxVersionsBehind = 4;
  /// Largest number of samples in one batch.
  int32_t MaxBatch = 256;
  /// Slots whose output is wanted or held at once.
  int32_t MaxActiveSlots = 8192;
  /// Slots of all open steps.
  int64_t MaxOpenSlots = 65536;
  /// Acknowledged samples after which a checkpoint is appended.
  int32_t CheckpointEvery = 512;
  /// Largest number of delivered slots that a cursor lists.
  int32_t MaxCursorSlots = 16384;
  /// Largest size of one step record; larger submissions are split.
  int64_t MaxRecordBytes = 256 << 10;
  /// How long a submission waits for its records before it is refused.
  Millis SubmitWait{10000};
};

/// Event: a trainer submits groups of a step.
struct SubmitReceived {
  /// Whom to answer.
  RequestHandle Request;
  /// The step.
  int64_t Step = 0;
  /// The model to sample from.
  std::string Model;
  /// The groups; those already known are taken as repeats.
  std::vector<wire::GroupSpec> Groups;
};

/// Event: a trainer asks for samples.
struct PullReceived {
  /// Whom to answer.
  RequestHandle Request;
  /// The cursor of the last answer; empty for the first pull.
  std::string Cursor;
  /// The trainer lost its cursor. Refused, since nobody else knows for sure
  /// what it holds.
  bool Resume = false;
  /// The version that the trainer has reached; -1: not told.
  WeightVersion TrainerVersion{-1};
  /// Largest number of samples wanted; 0: the setting decides.
  int32_t MaxSamples = 0;
  /// How long to wait for the first sample.
  Millis Wait{0};
};

/// Event: an attempt at a slot gave whole output.
struct SlotFinished {
  /// The slot.
  SlotKey Slot;
  /// The output.
  std::string Text;
  /// Tokens in it.
  int64_t Tokens = 0;
  /// The versions that produced it.
  std::vector<wire::LabelSegment> Segments;
  /// Whether the segments are known to be right.
  bool LabelKnown = false;
  /// How long it took from start to end.
  Millis Took{0};
};

/// Event: no attempt at this slot can succeed (a quarantined prompt).
struct SlotFailed {
  /// The slot.
  SlotKey Slot;
  /// Why.
  RefusalReason Reason = RefusalReason::EndpointFailed;
};

/// Event: the scorer answered.
struct ScoreFinished {
  /// The slot.
  SlotKey Slot;
  /// The score.
  double Score = 0;
  /// Which question it answers.
  int64_t Query = 0;
};

/// Event: the scorer cannot score this sample.
struct ScoreFailed {
  /// The slot.
  SlotKey Slot;
  /// Why.
  RefusalReason Reason = RefusalReason::EndpointFailed;
  /// Which question it answers.
  int64_t Query = 0;
};

/// Event: a newer version of a model is known.
struct NewestVersion {
  /// The model.
  std::string Model;
  /// The version.
  WeightVersion Version{-1};
};

/// Event: the rules for this trainer changed.
struct SampleSettingsChanged {
  /// The new settings.
  SampleSettings Settings;
};

/// Event: a request's caller went away.
struct RequestGone {
  /// The request.
  RequestHandle Request;
};

/// Action: get whole output for this slot; the rollout scheduler chooses
/// endpoints, retries and hedges.
struct NeedAttempt {
  /// The slot.
  SlotKey Slot;
  /// The trainer.
  TrainerId Trainer;
  /// The group's name, for affinity.
  std::string Group;
  /// The model.
  std::string Model;
  /// The prompt.
  std::string Prompt;
  /// Largest number of tokens to generate.
  int64_t MaxTokens = 0;
  /// JSON object passed on to the engine.
  std::string Parameters;
  /// Older versions would be over the age bound when the output is ready.
  WeightVersion MinVersion{-1};
  /// Older versions are over the age bound already.
  WeightVersion OldestVersion{-1};
};

/// Action: the slot is filled or gone; cancel what still runs for it.
struct CancelAttempts {
  /// The slot.
  SlotKey Slot;
};

/// Action: ask the scorer.
struct NeedScore {
  /// The slot.
  SlotKey Slot;
  /// The service.
  std::string Scorer;
  /// The prompt.
  std::string Prompt;
  /// The output.
  std::string Text;
  /// The question's number: a slot may be asked for again with new output.
  int64_t Query = 0;
};

/// Action: the trainer holds this sample; agents may forget their copy.
struct SlotAcknowledged {
  /// The slot.
  SlotKey Slot;
};

/// Action: a finished attempt was not used; counted.
struct SampleDropped {
  /// The slot.
  SlotKey Slot;
  /// Why.
  DropReason Reason = DropReason::Duplicate;
};

/// Action: the submission is durable.
struct AnswerSubmit {
  /// Whom to answer.
  RequestHandle Request;
  /// Groups taken by this submission.
  int32_t GroupsNew = 0;
  /// Groups already known.
  int32_t GroupsKnown = 0;
};

/// Action: one batch.
struct AnswerPull {
  /// Whom to answer.
  RequestHandle Request;
  /// The samples; may be empty when the wait is over.
  std::vector<Sample> Samples;
  /// The cursor for the next pull.
  std::string Cursor;
  /// Slots not yet acknowledged over all open steps.
  int64_t OpenSlots = 0;
};

/// Action: refuse a request.
struct RefuseRequest {
  /// Whom to answer.
  RequestHandle Request;
  /// The refusal.
  Refusal Why;
};

/// What the sample controller is told.
using SampleEvent =
    std::variant<SubmitReceived, PullReceived, SlotFinished, SlotFailed,
                 ScoreFinished, ScoreFailed, NewestVersion,
                 SampleSettingsChanged, RequestGone, ShardGained, ShardLost,
                 RecordCommitted, LogStatus, Tick>;
/// What the sample controller asks for. EpochSeen goes to the claim controller.
using SampleAction =
    std::variant<AppendRecord, NeedAttempt, CancelAttempts, NeedScore,
                 SlotAcknowledged, SampleDropped, AnswerSubmit, AnswerPull,
                 RefuseRequest, EpochSeen>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_TYPE_H
