/// @file
/// Delivers the samples of one trainer exactly once.

#ifndef CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_BASE_H
#define CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_BASE_H

#include "core/fold/fold_state_type.h"
#include "core/samples/cursor_func.h"
#include "core/samples/step_table_base.h"

namespace camphornotch {

/// One trainer's shard. Every entry feeds it the records read back, so that
/// it can take over; it acts between ShardGained and ShardLost only.
class SampleController {
public:
  /// @param Trainer the trainer.
  /// @param Settings its bounds.
  SampleController(TrainerId Trainer, SampleSettings Settings);

  /// @param Event what happened.
  /// @param Now the present.
  /// @return what is to be done.
  std::vector<SampleAction> handle(const SampleEvent &Event, Millis Now);

  /// Takes the state over from a fold that was restored from a snapshot.
  /// @param State the trainer's steps as folded.
  /// @param Standing the claim that stands for the shard.
  void load(const TrainerState &State, const ShardClaim &Standing);

  /// @return when handle(Tick{}, Now) is due.
  Millis nextDeadline() const;

  /// @return whether this process owns the shard.
  bool active() const { return this->Own.has_value(); }

  /// @return the folded steps.
  const StepTable &table() const { return this->Table; }

  /// @return outputs held in memory.
  size_t held() const;

private:
  /// Actions under construction.
  using Actions = std::vector<SampleAction>;

  /// Where an open slot stands.
  enum class Phase : uint8_t {
    Idle,    ///< No output is wanted yet.
    Running, ///< Output was asked for.
    Scoring, ///< The scorer was asked.
    Ready,   ///< May be delivered.
    Sent,    ///< Part of the batch that is not acknowledged.
  };

  /// One open slot.
  struct SlotState {
    /// Where it stands.
    Phase Stage = Phase::Idle;
    /// The output, from Scoring on.
    Sample Output;
    /// The question that the scorer was asked.
    int64_t Query = 0;
  };

  /// A submission that waits for its records.
  struct PendingSubmit {
    /// Whom to answer.
    RequestHandle Request;
    /// The groups that are not read back.
    std::set<std::pair<int64_t, std::string>> Missing;
    /// When it is refused.
    Millis Deadline = Never;
    /// Groups taken by it.
    int32_t GroupsNew = 0;
    /// Groups already known.
    int32_t GroupsKnown = 0;
  };

  /// A pull that waits for samples.
  struct PendingPull {
    /// Whom to answer.
    RequestHandle Request;
    /// When it is answered without samples.
    Millis Deadline = Never;
    /// Largest batch wanted.
    int32_t MaxSamples = 0;
  };

  /// What is known of a model's versions.
  struct ModelState {
    /// The newest version known.
    int64_t Newest = -1;
    /// When it became known.
    Millis Since{0};
    /// Smoothed time between versions; 0: not known.
    int64_t CadenceMs = 0;
    /// Smoothed time of an attempt; 0: not known.
    int64_t AttemptMs = 0;
  };

  /// @name Event handlers
  /// Each takes the event, the present and receives actions.
  /// @{
  void on(const SubmitReceived &Event, Millis Now, Actions &Out);
  void on(const PullReceived &Event, Millis Now, Actions &Out);
  void on(const SlotFinished &Event, Millis Now, Actions &Out);
  void on(const SlotFailed &Event, Millis Now, Actions &Out);
  void on(const ScoreFinished &Event, Millis Now, Actions &Out);
  void on(const ScoreFailed &Event, Millis Now, Actions &Out);
  void on(const NewestVersion &Event, Millis Now, Actions &Out);
  void on(const SampleSettingsChanged &Event, Millis Now, Actions &Out);
  void on(const RequestGone &Event, Millis Now, Actions &Out);
  void on(const ShardGained &Event, Millis Now, Actions &Out);
  void on(const ShardLost &Event, Millis Now, Actions &Out);
  void on(const RecordCommitted &Event, Millis Now, Actions &Out);
  void on(const LogStatus &Event, Millis Now, Actions &Out);
  void on(const Tick &Event, Millis Now, Actions &Out);
  /// @}

  /// Folds a claim of this shard.
  /// @param Offset its offset.
  /// @param Claim the claim.
  void foldClaim(LogOffset Offset, const wire::ClaimRecord &Claim);
  /// Folds a release of this shard.
  /// @param Release the release.
  void foldRelease(const wire::ReleaseRecord &Release);
  /// @param Written the epoch of a record.
  /// @return whether the record counts.
  bool standing(int64_t Written) const;
  /// Notes new open slots.
  /// @param Keys the slots.
  void addSlots(const std::vector<SlotKey> &Keys);
  /// Folds a step record.
  /// @param Record the record.
  /// @param Out receives answers and attempts.
  void foldStep(const wire::StepRecord &Record, Actions &Out);
  /// Folds a checkpoint record.
  /// @param Record the record.
  /// @param Out receives cancelled attempts.
  void foldCheckpoint(const wire::CheckpointRecord &Record, Actions &Out);

  /// @param Event a submission.
  /// @return what is wrong with it; empty if nothing.
  static std::string submitFault(const SubmitReceived &Event);
  /// Sorts a submission's groups into known, awaited and new ones.
  /// @param Event the submission.
  /// @param Waiting receives counts and the groups awaited.
  /// @param Fresh receives the new groups.
  /// @param Out receives the refusal.
  /// @return whether the submission can be taken.
  bool sortGroups(const SubmitReceived &Event, PendingSubmit &Waiting,
                  std::vector<wire::GroupSpec> &Fresh, Actions &Out) const;
  /// Refuses a submission.
  /// @param Event the submission.
  /// @param Reason why.
  /// @param Detail particulars.
  /// @param Out receives the refusal.
  /// @return false, for the caller to return.
  static bool refuseSubmit(const SubmitReceived &Event, RefusalReason Reason,
                           std::string Detail, Actions &Out);
  /// Appends groups in a few records.
  /// @param Step the step.
  /// @param Model its model.
  /// @param Groups the groups, with ordinals.
  /// @param Out receives the records.
  void appendGroups(int64_t Step, const std::string &Model,
                    std::vector<wire::GroupSpec> Groups, Actions &Out) const;
  /// @param Step a step.
  /// @return the ordinal for its next group, pending ones considered.
  int32_t takeOrdinal(int64_t Step);

  /// Notes what a cursor shows that the trainer holds.
  /// @param Shown the cursor.
  /// @param Out receives released slots and checkpoints.
  void acknowledge(const Cursor &Shown, Actions &Out);
  /// Gives up a batch that the trainer never took.
  void recallBatch();
  /// Answers the waiting pull if there is something to send.
  /// @param Now the present.
  /// @param Out receives the answer.
  void tryAnswerPull(Millis Now, Actions &Out);
  /// Fills the batch from ready slots.
  /// @param MaxSamples its bound.
  /// @param Out receives drops.
  void formBatch(int32_t MaxSamples, Actions &Out);
  /// Sends the present batch, which may be empty.
  /// @param Out receives the answer.
  void sendBatch(Actions &Out);
  /// Takes samples that became too old out of the unacknowledged batch.
  /// @param Out receives drops.
  void dropOldFromBatch(Actions &Out);
  /// Appends checkpoints of what is held and not listed yet.
  /// @param Out receives the records.
  void appendCheckpoints(Actions &Out);
  /// Appends checkpoints if enough has gathered or a step ended.
  /// @param Out receives the records.
  void maybeCheckpoint(Actions &Out);

  /// Asks for output for idle slots up to the bound.
  /// @param Out receives the requests.
  void activate(Actions &Out);
  /// Asks for output for one slot.
  /// @param Key the slot.
  /// @param Out receives the request.
  void request(const SlotKey &Key, Actions &Out);
  /// Drops a slot's output and asks again.
  /// @param Key the slot.
  /// @param Why the reason counted.
  /// @param Out receives the drop and the request.
  void retry(const SlotKey &Key, DropReason Why, Actions &Out);
  /// Puts a slot's output in line for delivery.
  /// @param Key the slot.
  /// @param State the slot.
  void makeReady(const SlotKey &Key, SlotState &State);
  /// Notes a version of a model that somebody showed.
  /// @param Model the model.
  /// @param Version the version.
  /// @param Now the present.
  void noteVersion(const std::string &Model, int64_t Version, Millis Now);
  /// Asks again for samples that a newer version made too old.
  /// @param Out receives drops and requests.
  void sweepOld(Actions &Out);
  /// Refuses every request that waits.
  /// @param Reason why.
  /// @param Out receives the refusals.
  void refuseWaiting(RefusalReason Reason, Actions &Out);
  /// Refuses the submissions whose time is over.
  /// @param Now the present.
  /// @param Out receives the refusals.
  void expireSubmits(Millis Now, Actions &Out);
  /// Reads a pull's cursor.
  /// @param Event the pull.
  /// @return the cursor, or what is wrong with it.
  Result<Cursor> readCursor(const PullReceived &Event) const;
  /// @param Slot a slot.
  /// @param Query a question to a scorer.
  /// @return the slot, if it waits for the answer to just this question.
  SlotState *findScoring(const SlotKey &Slot, int64_t Query);
  /// Forgets a slot's output and attempts.
  /// @param Key the slot.
  /// @param Out receives what cancels them.
  void releaseSlot(const SlotKey &Key, Actions &Out);
  /// @param Key an open slot.
  /// @param State its state.
  /// @return whether its output is over the age bound.
  bool tooOld(const SlotKey &Key, const SlotState &State) const;
  /// @param Model a model.
  /// @return the newest version known of it, the trainer's own included.
  int64_t newest(const std::string &Model) const;
  /// @param Model a model.
  /// @return the oldest version within the age bound at present.
  int64_t oldestVersion(const std::string &Model) const;
  /// @param Model a model.
  /// @return the oldest version that an attempt started now should use.
  int64_t minVersion(const std::string &Model) const;
  /// @param Handle a request.
  /// @param Reason why it is refused.
  /// @param State whether it ran.
  /// @param Detail particulars.
  /// @return the refusal.
  static RefuseRequest refusal(RequestHandle Handle, RefusalReason Reason,
                               RunState State, std::string Detail);

  /// The trainer.
  TrainerId Trainer;
  /// Its shard.
  ShardId Shard;
  /// Its bounds.
  SampleSettings Settings;
  /// The epoch of the claim that stands.
  Epoch Current{-1};
  /// Whether its owner gave the shard up.
  bool Released = false;
  /// The epoch under which this process acts; nothing: it does not.
  std::optional<Epoch> Own;
  /// Whether the log answers.
  bool LogUp = true;
  /// The folded steps.
  StepTable Table;
  /// The open slots that the trainer does not hold.
  std::map<SlotKey, SlotState> Slots;
  /// Slots in phase Idle.
  std::set<SlotKey> IdleSlots;
  /// Slots in phase Ready.
  std::set<SlotKey> ReadySlots;
  /// The batch that is not acknowledged.
  std::set<SlotKey> Batch;
  /// The largest batch number that the trainer has shown.
  int64_t AckedBatch = 0;
  /// Slots listed by checkpoints that are not read back.
  std::set<SlotKey> CheckpointSent;
  /// Steps whose end was appended and is not read back.
  std::set<int64_t> EndSent;
  /// Submissions that wait.
  std::vector<PendingSubmit> Submits;
  /// Groups appended and not read back, with their ordinals.
  std::map<std::pair<int64_t, std::string>, int32_t> PendingGroups;
  /// The pull that waits.
  std::optional<PendingPull> Pull;
  /// Versions by model.
  std::map<std::string, ModelState> Models;
  /// The version that the trainer has reached.
  int64_t TrainerVersion = -1;
  /// The last question to a scorer.
  int64_t LastQuery = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_SAMPLES_SAMPLE_BASE_H
