/// @file
/// One trainer's open steps as folded from the log: groups and what the
/// trainer holds for sure.

#ifndef CAMPHORNOTCH_CORE_SAMPLES_STEP_TABLE_BASE_H
#define CAMPHORNOTCH_CORE_SAMPLES_STEP_TABLE_BASE_H

#include "core/fold/fold_state_type.h"
#include "core/samples/sample_type.h"

#include <map>
#include <set>

namespace camphornotch {

/// Bits of a slot number that hold the index in the group.
inline constexpr int SlotIndexBits = 16;
/// Largest number of samples in one group.
inline constexpr int32_t MaxGroupSamples = (1 << SlotIndexBits) - 1;
/// Finished steps whose repeated submissions are recognised.
inline constexpr size_t DoneStepsKept = 64;

/// Largest number of open steps; the fold keeps no more.
inline constexpr size_t MaxOpenSteps = FoldLimits{}.StepsPerTrainer;

/// @param Key a slot.
/// @return its number in checkpoint records, unique in its step.
int64_t slotNumber(const SlotKey &Key);

/// @param Step the step.
/// @param Number a slot's number in a checkpoint record.
/// @return the slot.
SlotKey slotOfNumber(int64_t Step, int64_t Number);

/// One open step.
struct OpenStep {
  /// The model to sample from.
  std::string Model;
  /// Its groups by ordinal.
  std::map<int32_t, wire::GroupSpec> Groups;
  /// Ordinals by group name.
  std::map<std::string, int32_t> Ordinals;
  /// Slots of all groups.
  int64_t Slots = 0;
  /// Slots that the trainer has shown to hold.
  std::set<SlotKey> Acknowledged;
  /// Slots of Acknowledged that a checkpoint in the log lists.
  std::set<SlotKey> Durable;

  /// @return whether the trainer holds every slot.
  bool complete() const {
    return static_cast<int64_t>(this->Acknowledged.size()) == this->Slots;
  }
};

/// Whether a submitted group is known.
enum class GroupStanding : uint8_t {
  New,       ///< Not known: it may be added.
  Known,     ///< Already part of the step.
  StepEnded, ///< The step ended without it, or was forgotten.
  TooMany,   ///< Too many steps are open for another one.
};

/// The folded steps of one trainer. Every entry keeps one, so that any can
/// take over without reading the log again.
class StepTable {
public:
  /// Takes the steps over from a restored fold.
  /// @param Trainer the trainer's name, for the records made of them.
  /// @param State the trainer's steps as folded.
  void load(const std::string &Trainer, const TrainerState &State);

  /// Folds one step record of the present epoch.
  /// @param Record the record.
  /// @return the slots that it adds.
  std::vector<SlotKey> add(const wire::StepRecord &Record);

  /// Folds one checkpoint record of the present epoch.
  /// @param Record the record.
  /// @return the slots that it shows for the first time as held.
  std::vector<SlotKey> checkpoint(const wire::CheckpointRecord &Record);

  /// Notes that the trainer showed that it holds a slot.
  /// @param Key the slot.
  /// @return whether that is news about an open step.
  bool acknowledge(const SlotKey &Key);

  /// @param Step the step.
  /// @param Group the group's name.
  /// @return whether the group is known.
  GroupStanding standing(int64_t Step, const std::string &Group) const;

  /// @param Key a slot.
  /// @return its group, or nullptr if there is no such open slot.
  const wire::GroupSpec *group(const SlotKey &Key) const;

  /// @return the slots held by the trainer that no checkpoint lists yet.
  const std::set<SlotKey> &undurable() const { return this->Undurable; }

  /// @return slots not yet held by the trainer.
  int64_t openSlots() const { return this->Open; }

  /// @return the open steps by number.
  const std::map<int64_t, OpenStep> &steps() const { return this->Steps; }

  /// @param Step a step.
  /// @return whether nothing more can come: the trainer holds all of it and
  ///         has submitted a later one.
  bool finished(int64_t Step) const;

  /// @return the largest batch that a checkpoint shows as acknowledged.
  int64_t durableBatch() const { return this->DurableBatch; }

  /// @param Step a step.
  /// @return the ordinal for its next group.
  int32_t nextOrdinal(int64_t Step) const;

private:
  /// @param Step a step.
  /// @return whether it ended, or was passed over by one that ended.
  bool ended(int64_t Step) const;
  /// Forgets an ended step but for the hashes of its groups.
  /// @param Step the step.
  void close(int64_t Step);

  /// The open steps.
  std::map<int64_t, OpenStep> Steps;
  /// Hashes of the group names of ended steps.
  std::map<int64_t, std::set<uint64_t>> Done;
  /// The highest ended step; lower ones that are not open cannot be opened.
  int64_t HighestDone = -1;
  /// The largest batch that a checkpoint shows as acknowledged.
  int64_t DurableBatch = 0;
  /// Slots not yet held by the trainer.
  int64_t Open = 0;
  /// Slots held by the trainer that no checkpoint lists yet.
  std::set<SlotKey> Undurable;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_SAMPLES_STEP_TABLE_BASE_H
