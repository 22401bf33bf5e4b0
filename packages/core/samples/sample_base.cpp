/// @file
/// The sample controller's events other than submissions, pulls and output.

#include "core/samples/sample_base.h"

#include "core/claims/claim_base.h"
#include "core/fold/shard_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

SampleController::SampleController(TrainerId Trainer, SampleSettings Settings)
    : Trainer(std::move(Trainer)), Shard(trainerShard(this->Trainer)),
      Settings(Settings) {}

std::vector<SampleAction> SampleController::handle(const SampleEvent &Event,
                                                   Millis Now) {
  Actions Out;
  std::visit([&](const auto &Known) { this->on(Known, Now, Out); }, Event);
  return Out;
}

void SampleController::load(const TrainerState &State,
                            const ShardClaim &Standing) {
  assert(!this->active());
  this->Current = Standing.Current;
  this->Released = Standing.Released;
  this->Table.load(this->Trainer.Value, State);
  this->AckedBatch = std::max(this->AckedBatch, this->Table.durableBatch());
  this->Slots.clear();
  this->IdleSlots.clear();
  for (const auto &[Number, Step] : this->Table.steps())
    for (const auto &[Ordinal, Group] : Step.Groups)
      for (int32_t Index = 0; Index < Group.Samples; ++Index) {
        const SlotKey Key{Number, Ordinal, Index};
        if (!Step.Acknowledged.contains(Key))
          this->addSlots({Key});
      }
}

Millis SampleController::nextDeadline() const {
  Millis Next = Never;
  for (const PendingSubmit &Waiting : this->Submits)
    Next = std::min(Next, Waiting.Deadline);
  if (this->Pull)
    Next = std::min(Next, this->Pull->Deadline);
  return Next;
}

size_t SampleController::held() const {
  return static_cast<size_t>(std::count_if(
      this->Slots.begin(), this->Slots.end(), [](const auto &Entry) {
        return Entry.second.Stage == Phase::Scoring ||
               Entry.second.Stage == Phase::Ready ||
               Entry.second.Stage == Phase::Sent;
      }));
}

void SampleController::on(const SampleSettingsChanged &Event, Millis Now,
                          Actions &Out) {
  this->Settings = Event.Settings;
  if (!this->active())
    return;
  this->sweepOld(Out);
  this->activate(Out);
  this->tryAnswerPull(Now, Out);
}

void SampleController::on(const RequestGone &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  std::erase_if(this->Submits, [&](const PendingSubmit &Waiting) {
    return Waiting.Request == Event.Request;
  });
  if (this->Pull && this->Pull->Request == Event.Request)
    this->Pull.reset();
}

void SampleController::on(const ShardGained &Event, Millis /*Now*/,
                          Actions &Out) {
  if (Event.Shard != this->Shard)
    return;
  // Records under the epoch before are void unless they were read back.
  if (this->active())
    this->refuseWaiting(RefusalReason::WrongOwner, Out);
  this->Own = Event.NewEpoch;
  this->CheckpointSent.clear();
  this->EndSent.clear();
  this->PendingGroups.clear();
  this->activate(Out);
  this->maybeCheckpoint(Out);
}

void SampleController::on(const ShardLost &Event, Millis /*Now*/,
                          Actions &Out) {
  if (Event.Shard != this->Shard || !this->active())
    return;
  this->refuseWaiting(RefusalReason::WrongOwner, Out);
  this->Own.reset();
  for (auto &[Key, State] : this->Slots) {
    if (State.Stage == Phase::Running)
      Out.emplace_back(CancelAttempts{Key});
    State = SlotState{};
    this->IdleSlots.insert(Key);
  }
  this->ReadySlots.clear();
  this->Batch.clear();
  this->PendingGroups.clear();
}

void SampleController::on(const RecordCommitted &Event, Millis Now,
                          Actions &Out) {
  const wire::LogRecord &Record = Event.Record;
  if (Record.__isset.Claim)
    this->foldClaim(Event.Offset, Record.Claim);
  if (Record.__isset.Release)
    this->foldRelease(Record.Release);
  if (Record.__isset.Step)
    this->foldStep(Record.Step, Out);
  if (Record.__isset.Checkpoint)
    this->foldCheckpoint(Record.Checkpoint, Out);
  if (this->active())
    this->tryAnswerPull(Now, Out);
}

void SampleController::on(const LogStatus &Event, Millis /*Now*/,
                          Actions & /*Out*/) {
  this->LogUp = Event.Up;
}

void SampleController::on(const Tick & /*Event*/, Millis Now, Actions &Out) {
  this->expireSubmits(Now, Out);
  if (this->active())
    this->tryAnswerPull(Now, Out);
}

void SampleController::foldClaim(LogOffset Offset,
                                 const wire::ClaimRecord &Claim) {
  if (Claim.Shard != this->Shard.Value || !claimStands(this->Current, Claim))
    return;
  this->Current = Epoch{Offset.Value};
  this->Released = false;
}

void SampleController::foldRelease(const wire::ReleaseRecord &Release) {
  if (Release.Shard == this->Shard.Value &&
      Release.Epoch == this->Current.Value)
    this->Released = true;
}

bool SampleController::standing(int64_t Written) const {
#ifdef CAMPHORNOTCH_MUTATION_IGNORE_EPOCH
  return Written <= this->Current.Value;
#else
  return Written == this->Current.Value && !this->Released;
#endif
}

void SampleController::addSlots(const std::vector<SlotKey> &Keys) {
  for (const SlotKey &Key : Keys) {
    this->Slots.try_emplace(Key);
    this->IdleSlots.insert(Key);
  }
}

void SampleController::foldStep(const wire::StepRecord &Record, Actions &Out) {
  if (Record.Trainer != this->Trainer.Value || !this->standing(Record.Epoch))
    return;
  this->addSlots(this->Table.add(Record));
  for (const wire::GroupSpec &Group : Record.Groups) {
    const std::pair Named(Record.Step, Group.Group);
    this->PendingGroups.erase(Named);
    for (PendingSubmit &Waiting : this->Submits)
      Waiting.Missing.erase(Named);
  }
  std::erase_if(this->Submits, [&](const PendingSubmit &Waiting) {
    if (!Waiting.Missing.empty())
      return false;
    Out.emplace_back(
        AnswerSubmit{Waiting.Request, Waiting.GroupsNew, Waiting.GroupsKnown});
    return true;
  });
  if (!this->active())
    return;
  this->activate(Out);
  this->maybeCheckpoint(Out);
}

void SampleController::foldCheckpoint(const wire::CheckpointRecord &Record,
                                      Actions &Out) {
  if (Record.Trainer != this->Trainer.Value || !this->standing(Record.Epoch))
    return;
  for (const SlotKey &Key : this->Table.checkpoint(Record))
    this->releaseSlot(Key, Out);
  for (const int64_t Number : Record.Delivered)
    this->CheckpointSent.erase(slotOfNumber(Record.Step, Number));
  this->AckedBatch = std::max(this->AckedBatch, this->Table.durableBatch());
  if (Record.StepDone)
    this->EndSent.erase(Record.Step);
  if (!this->active())
    return;
  this->activate(Out);
  this->maybeCheckpoint(Out);
}

void SampleController::refuseWaiting(RefusalReason Reason, Actions &Out) {
  for (const PendingSubmit &Waiting : this->Submits)
    Out.emplace_back(refusal(Waiting.Request, Reason, RunState::Unknown,
                             "the shard has a new owner"));
  this->Submits.clear();
  if (this->Pull)
    Out.emplace_back(refusal(this->Pull->Request, Reason, RunState::NotRun,
                             "the shard has a new owner"));
  this->Pull.reset();
}

RefuseRequest SampleController::refusal(RequestHandle Handle,
                                        RefusalReason Reason, RunState State,
                                        std::string Detail) {
  constexpr int64_t RetryAfterMs = 200;
  const bool Retry =
      Reason != RefusalReason::BadRequest && Reason != RefusalReason::BadCursor;
  return RefuseRequest{Handle, Refusal{Reason, State, Retry ? RetryAfterMs : 0,
                                       std::move(Detail)}};
}

} // namespace camphornotch
