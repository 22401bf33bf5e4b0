/// @file
/// The sample controller's pulls, batches and checkpoints.

#include "core/samples/sample_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

Result<Cursor> SampleController::readCursor(const PullReceived &Event) const {
  // An owner may not have seen what the trainer took from the one before: only
  // the trainer's own cursor tells.
  if (Event.Resume)
    return Error{ErrorKind::BadInput,
                 "cursor: a trainer without its last one goes on under a new "
                 "name",
                 "keep the cursor together with the samples"};
  if (Event.Cursor.empty())
    return Cursor{this->Trainer, Epoch{-1}, 0, {}};
  return parseCursor(Event.Cursor, this->Trainer);
}

void SampleController::on(const PullReceived &Event, Millis Now, Actions &Out) {
  if (!this->active()) {
    Out.emplace_back(refusal(Event.Request, RefusalReason::WrongOwner,
                             RunState::NotRun, "not the owner of the trainer"));
    return;
  }
  const Result<Cursor> Shown = this->readCursor(Event);
  if (!Shown) {
    Out.emplace_back(refusal(Event.Request, RefusalReason::BadCursor,
                             RunState::NotRun, Shown.error().Message));
    return;
  }
#ifndef CAMPHORNOTCH_MUTATION_IGNORE_EPOCH
  if (Shown.value().Made > *this->Own) {
    Out.emplace_back(EpochSeen{this->Shard, Shown.value().Made});
    Out.emplace_back(refusal(Event.Request, RefusalReason::WrongOwner,
                             RunState::NotRun, "the shard has a newer owner"));
    return;
  }
#endif
  if (Shown.value().Batch < this->AckedBatch) {
    Out.emplace_back(refusal(Event.Request, RefusalReason::BadCursor,
                             RunState::NotRun,
                             "cursor: a later one was shown"));
    return;
  }
  if (Event.TrainerVersion.Value > this->TrainerVersion) {
    this->TrainerVersion = Event.TrainerVersion.Value;
    this->sweepOld(Out);
  }
  this->acknowledge(Shown.value(), Out);
  if (this->Pull)
    Out.emplace_back(refusal(this->Pull->Request, RefusalReason::Cancelled,
                             RunState::NotRun, "a later pull took its place"));
  const int32_t Limit = this->Settings.MaxBatch;
  const int32_t Wanted =
      Event.MaxSamples > 0 ? std::min(Event.MaxSamples, Limit) : Limit;
  this->Pull = PendingPull{Event.Request, Now + Event.Wait, Wanted};
  this->dropOldFromBatch(Out);
  if (!this->Batch.empty())
    this->sendBatch(Out);
  else
    this->tryAnswerPull(Now, Out);
  this->activate(Out);
}

void SampleController::acknowledge(const Cursor &Shown, Actions &Out) {
  if (Shown.Batch > this->AckedBatch) {
    this->AckedBatch = Shown.Batch;
    // What the cursor does not list went out in a batch that was not taken.
    for (const SlotKey &Key : this->Batch)
      if (!Shown.Delivered.contains(Key))
        this->makeReady(Key, this->Slots[Key]);
    this->Batch.clear();
  }
  for (const SlotKey &Key : Shown.Delivered)
    if (this->Table.acknowledge(Key))
      this->releaseSlot(Key, Out);
  this->maybeCheckpoint(Out);
}

void SampleController::dropOldFromBatch(Actions &Out) {
  const std::set<SlotKey> Sent = this->Batch;
  for (const SlotKey &Key : Sent)
    if (this->tooOld(Key, this->Slots[Key]))
      this->retry(Key, DropReason::TooOld, Out);
}

void SampleController::tryAnswerPull(Millis Now, Actions &Out) {
  if (!this->Pull)
    return;
  assert(this->Batch.empty());
  this->formBatch(this->Pull->MaxSamples, Out);
  if (!this->Batch.empty() || Now >= this->Pull->Deadline)
    this->sendBatch(Out);
}

void SampleController::formBatch(int32_t MaxSamples, Actions &Out) {
  const auto Listed = static_cast<int64_t>(this->Table.undurable().size());
  const int64_t Room =
      std::min<int64_t>(MaxSamples, this->Settings.MaxCursorSlots - Listed);
  const std::set<SlotKey> Candidates = this->ReadySlots;
  for (const SlotKey &Key : Candidates) {
    if (static_cast<int64_t>(this->Batch.size()) >= Room)
      return;
    SlotState &State = this->Slots[Key];
    if (this->tooOld(Key, State)) {
      this->retry(Key, DropReason::TooOld, Out);
      continue;
    }
    State.Stage = Phase::Sent;
    this->ReadySlots.erase(Key);
    this->Batch.insert(Key);
  }
}

void SampleController::sendBatch(Actions &Out) {
  AnswerPull Answer;
  Answer.Request = this->Pull->Request;
  Cursor Next{this->Trainer, *this->Own, this->AckedBatch,
              this->Table.undurable()};
  for (const SlotKey &Key : this->Batch) {
    Answer.Samples.push_back(this->Slots[Key].Output);
    Next.Delivered.insert(Key);
  }
  if (!this->Batch.empty())
    ++Next.Batch;
  Answer.Cursor = encodeCursor(Next);
  Answer.OpenSlots = this->Table.openSlots();
  Out.emplace_back(std::move(Answer));
  this->Pull.reset();
#ifdef CAMPHORNOTCH_MUTATION_ACK_ON_SEND
  this->acknowledge(Next, Out);
#endif
}

void SampleController::maybeCheckpoint(Actions &Out) {
  if (!this->active())
    return;
  const size_t Listed = this->Table.undurable().size();
  const auto Waiting = static_cast<int64_t>(Listed) -
                       static_cast<int64_t>(this->CheckpointSent.size());
  bool Due = Waiting >= this->Settings.CheckpointEvery;
  for (const auto &[Number, Step] : this->Table.steps()) {
    const bool Unlisted = Step.Durable.size() < Step.Acknowledged.size();
    Due = Due || (Step.complete() && Unlisted && Waiting > 0);
    Due = Due ||
          (this->Table.finished(Number) && !this->EndSent.contains(Number));
  }
  if (Due)
    this->appendCheckpoints(Out);
}

void SampleController::appendCheckpoints(Actions &Out) {
  for (const auto &[Number, Step] : this->Table.steps()) {
    wire::CheckpointRecord Checkpoint;
    for (const SlotKey &Key : Step.Acknowledged) {
      if (Step.Durable.contains(Key) || this->CheckpointSent.contains(Key))
        continue;
      Checkpoint.Delivered.push_back(slotNumber(Key));
      this->CheckpointSent.insert(Key);
    }
    Checkpoint.StepDone =
        this->Table.finished(Number) && !this->EndSent.contains(Number);
    if (Checkpoint.Delivered.empty() && !Checkpoint.StepDone)
      continue;
    if (Checkpoint.StepDone)
      this->EndSent.insert(Number);
    Checkpoint.Trainer = this->Trainer.Value;
    Checkpoint.Epoch = this->Own->Value;
    Checkpoint.Step = Number;
    Checkpoint.Batch = this->AckedBatch;
    wire::LogRecord Record;
    Record.__set_Checkpoint(Checkpoint);
    Out.emplace_back(AppendRecord{std::move(Record)});
  }
}

} // namespace camphornotch
