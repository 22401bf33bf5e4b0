/// @file
/// One trainer's open steps as folded from the log.

#include "core/samples/step_table_base.h"

#include "base/hash_func.h"

#include <algorithm>

namespace camphornotch {

int64_t slotNumber(const SlotKey &Key) {
  return (int64_t{Key.GroupOrdinal} << SlotIndexBits) | Key.Index;
}

SlotKey slotOfNumber(int64_t Step, int64_t Number) {
  return SlotKey{Step, static_cast<int32_t>(Number >> SlotIndexBits),
                 static_cast<int32_t>(Number & MaxGroupSamples)};
}

void StepTable::load(const std::string &Trainer, const TrainerState &State) {
  *this = StepTable{};
  for (const auto &[Number, Folded] : State.Steps) {
    wire::StepRecord Step;
    Step.Trainer = Trainer;
    Step.Step = Number;
    Step.Model = Folded.Model;
    Step.Groups = Folded.Groups;
    this->add(Step);
    wire::CheckpointRecord Held;
    Held.Step = Number;
    Held.Batch = std::max<int64_t>(Folded.Batch, 0);
    Held.Delivered.assign(Folded.Delivered.begin(), Folded.Delivered.end());
    this->checkpoint(Held);
  }
  this->HighestDone = State.HighestDone;
}

std::vector<SlotKey> StepTable::add(const wire::StepRecord &Record) {
  std::vector<SlotKey> Added;
  const bool Open = this->Steps.contains(Record.Step);
  if (!Open && (this->ended(Record.Step) || this->Steps.size() >= MaxOpenSteps))
    return Added;
  OpenStep &Step = this->Steps[Record.Step];
  if (Step.Groups.empty())
    Step.Model = Record.Model;
  for (const wire::GroupSpec &Group : Record.Groups) {
    const int32_t Ordinal =
        Group.__isset.Ordinal ? Group.Ordinal : this->nextOrdinal(Record.Step);
    if (Step.Ordinals.contains(Group.Group) || Step.Groups.contains(Ordinal))
      continue;
    Step.Ordinals[Group.Group] = Ordinal;
    Step.Groups[Ordinal] = Group;
    Step.Slots += Group.Samples;
    this->Open += Group.Samples;
    for (int32_t Index = 0; Index < Group.Samples; ++Index)
      Added.push_back(SlotKey{Record.Step, Ordinal, Index});
  }
  return Added;
}

std::vector<SlotKey>
StepTable::checkpoint(const wire::CheckpointRecord &Record) {
  std::vector<SlotKey> News;
  this->DurableBatch = std::max(this->DurableBatch, Record.Batch);
  const auto Found = this->Steps.find(Record.Step);
  if (Found != this->Steps.end()) {
    for (const int64_t Number : Record.Delivered) {
      const SlotKey Key = slotOfNumber(Record.Step, Number);
      if (this->acknowledge(Key))
        News.push_back(Key);
      if (Found->second.Acknowledged.contains(Key))
        Found->second.Durable.insert(Key);
      this->Undurable.erase(Key);
    }
  }
  if (Record.StepDone)
    this->close(Record.Step);
  return News;
}

bool StepTable::acknowledge(const SlotKey &Key) {
  if (!this->group(Key))
    return false;
  if (!this->Steps[Key.Step].Acknowledged.insert(Key).second)
    return false;
  --this->Open;
  this->Undurable.insert(Key);
  return true;
}

GroupStanding StepTable::standing(int64_t Step,
                                  const std::string &Group) const {
  const auto Open = this->Steps.find(Step);
  if (Open != this->Steps.end())
    return Open->second.Ordinals.contains(Group) ? GroupStanding::Known
                                                 : GroupStanding::New;
  const auto Ended = this->Done.find(Step);
  if (Ended != this->Done.end())
    return Ended->second.contains(hashBytes(Group)) ? GroupStanding::Known
                                                    : GroupStanding::StepEnded;
  if (this->ended(Step))
    return GroupStanding::StepEnded;
  return this->Steps.size() < MaxOpenSteps ? GroupStanding::New
                                           : GroupStanding::TooMany;
}

bool StepTable::ended(int64_t Step) const {
  return Step <= this->HighestDone && !this->Steps.contains(Step);
}

const wire::GroupSpec *StepTable::group(const SlotKey &Key) const {
  const auto Step = this->Steps.find(Key.Step);
  if (Step == this->Steps.end())
    return nullptr;
  const auto Group = Step->second.Groups.find(Key.GroupOrdinal);
  if (Group == Step->second.Groups.end())
    return nullptr;
  const bool Inside = Key.Index >= 0 && Key.Index < Group->second.Samples;
  return Inside ? &Group->second : nullptr;
}

bool StepTable::finished(int64_t Step) const {
  const auto Found = this->Steps.find(Step);
  if (Found == this->Steps.end() || !Found->second.complete())
    return false;
  return this->Steps.rbegin()->first > Step || this->HighestDone > Step;
}

int32_t StepTable::nextOrdinal(int64_t Step) const {
  const auto Found = this->Steps.find(Step);
  if (Found == this->Steps.end() || Found->second.Groups.empty())
    return 0;
  return Found->second.Groups.rbegin()->first + 1;
}

void StepTable::close(int64_t Step) {
  std::set<uint64_t> &Names = this->Done[Step];
  const auto Found = this->Steps.find(Step);
  if (Found != this->Steps.end()) {
    for (const auto &[Name, Ordinal] : Found->second.Ordinals)
      Names.insert(hashBytes(Name));
    const auto Held = static_cast<int64_t>(Found->second.Acknowledged.size());
    this->Open -= Found->second.Slots - Held;
    std::erase_if(this->Undurable,
                  [&](const SlotKey &Key) { return Key.Step == Step; });
    this->Steps.erase(Found);
  }
  this->HighestDone = std::max(this->HighestDone, Step);
  while (this->Done.size() > DoneStepsKept)
    this->Done.erase(this->Done.begin());
}

} // namespace camphornotch
