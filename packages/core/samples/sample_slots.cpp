/// @file
/// The sample controller's slots: output asked for, taken once, kept current.

#include "core/samples/sample_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Weight of the past in smoothed times, of SmoothingParts.
constexpr int64_t SmoothingPast = 3;
/// Parts of a smoothed time.
constexpr int64_t SmoothingParts = 4;

/// @param Old the smoothed value; 0: none yet.
/// @param Seen the new value.
/// @return the new smoothed value, at least 1.
int64_t smooth(int64_t Old, int64_t Seen) {
  const int64_t Mixed =
      Old == 0 ? Seen : (Old * SmoothingPast + Seen) / SmoothingParts;
  return std::max<int64_t>(Mixed, 1);
}

/// @param Event an attempt's output.
/// @return whether its segments name the version of every token.
bool labelComplete(const SlotFinished &Event) {
#ifndef CAMPHORNOTCH_MUTATION_ACCEPT_UNKNOWN_LABEL
  if (!Event.LabelKnown || Event.Segments.empty())
    return false;
#endif
  if (Event.Segments.front().FirstToken != 0)
    return false;
  int64_t Before = -1;
  for (const wire::LabelSegment &Segment : Event.Segments) {
    if (Segment.FirstToken <= Before || Segment.Version < 0)
      return false;
    Before = Segment.FirstToken;
  }
  return Before == 0 || Before < Event.Tokens;
}

} // namespace

void SampleController::activate(Actions &Out) {
  if (!this->active())
    return;
  const size_t Active = this->Slots.size() - this->IdleSlots.size();
  auto Room = this->Settings.MaxActiveSlots - static_cast<int64_t>(Active);
  while (Room > 0 && !this->IdleSlots.empty()) {
    const SlotKey Key = *this->IdleSlots.begin();
    this->IdleSlots.erase(this->IdleSlots.begin());
    this->request(Key, Out);
    --Room;
  }
}

void SampleController::request(const SlotKey &Key, Actions &Out) {
  const wire::GroupSpec *Group = this->Table.group(Key);
  assert(Group);
  const std::string &Model = this->Table.steps().at(Key.Step).Model;
  this->Slots[Key].Stage = Phase::Running;
  Out.emplace_back(NeedAttempt{
      Key, this->Trainer, Group->Group, Model, Group->Prompt, Group->MaxTokens,
      Group->Parameters, WeightVersion{this->minVersion(Model)},
      WeightVersion{this->oldestVersion(Model)}});
}

void SampleController::retry(const SlotKey &Key, DropReason Why, Actions &Out) {
  Out.emplace_back(SampleDropped{Key, Why});
  this->ReadySlots.erase(Key);
  this->Batch.erase(Key);
  this->Slots[Key] = SlotState{};
  this->request(Key, Out);
}

void SampleController::makeReady(const SlotKey &Key, SlotState &State) {
  State.Stage = Phase::Ready;
  this->ReadySlots.insert(Key);
}

void SampleController::releaseSlot(const SlotKey &Key, Actions &Out) {
  const auto Found = this->Slots.find(Key);
  if (Found == this->Slots.end())
    return;
  if (Found->second.Stage == Phase::Running)
    Out.emplace_back(CancelAttempts{Key});
  this->Slots.erase(Found);
  this->IdleSlots.erase(Key);
  this->ReadySlots.erase(Key);
  this->Batch.erase(Key);
  if (this->active())
    Out.emplace_back(SlotAcknowledged{Key});
}

void SampleController::on(const SlotFinished &Event, Millis Now, Actions &Out) {
  const auto Found = this->Slots.find(Event.Slot);
  if (!this->active() || Found == this->Slots.end()) {
    Out.emplace_back(SampleDropped{Event.Slot, DropReason::UnknownSlot});
    return;
  }
  SlotState &State = Found->second;
  if (State.Stage != Phase::Running) {
    Out.emplace_back(SampleDropped{Event.Slot, DropReason::Duplicate});
    return;
  }
  if (!labelComplete(Event)) {
    this->retry(Event.Slot, DropReason::LabelUnknown, Out);
    return;
  }
  const std::string &Model = this->Table.steps().at(Event.Slot.Step).Model;
  for (const wire::LabelSegment &Segment : Event.Segments)
    this->noteVersion(Model, Segment.Version, Now);
  ModelState &Versions = this->Models[Model];
  Versions.AttemptMs = smooth(Versions.AttemptMs, Event.Took.Count);
  const wire::GroupSpec &Group = *this->Table.group(Event.Slot);
  State.Output = Sample{Event.Slot,     Group.Group,  Event.Text,  Event.Tokens,
                        Event.Segments, std::nullopt, std::nullopt};
  if (this->tooOld(Event.Slot, State)) {
    this->retry(Event.Slot, DropReason::TooOld, Out);
    return;
  }
  Out.emplace_back(CancelAttempts{Event.Slot});
  if (!Group.Scorer.empty()) {
    State.Stage = Phase::Scoring;
    State.Query = ++this->LastQuery;
    Out.emplace_back(NeedScore{Event.Slot, Group.Scorer, Group.Prompt,
                               Event.Text, State.Query});
    return;
  }
  this->makeReady(Event.Slot, State);
  this->tryAnswerPull(Now, Out);
}

void SampleController::on(const SlotFailed &Event, Millis Now, Actions &Out) {
  const auto Found = this->Slots.find(Event.Slot);
  if (!this->active() || Found == this->Slots.end() ||
      Found->second.Stage != Phase::Running) {
    Out.emplace_back(SampleDropped{Event.Slot, DropReason::UnknownSlot});
    return;
  }
  Sample Empty;
  Empty.Slot = Event.Slot;
  Empty.Group = this->Table.group(Event.Slot)->Group;
  Empty.Failure = Event.Reason;
  Found->second.Output = std::move(Empty);
  Out.emplace_back(CancelAttempts{Event.Slot});
  this->makeReady(Event.Slot, Found->second);
  this->tryAnswerPull(Now, Out);
}

SampleController::SlotState *SampleController::findScoring(const SlotKey &Slot,
                                                           int64_t Query) {
  const auto Found = this->Slots.find(Slot);
  const bool Waits = this->active() && Found != this->Slots.end() &&
                     Found->second.Stage == Phase::Scoring &&
                     Found->second.Query == Query;
  return Waits ? &Found->second : nullptr;
}

void SampleController::on(const ScoreFinished &Event, Millis Now,
                          Actions &Out) {
  SlotState *State = this->findScoring(Event.Slot, Event.Query);
  if (State == nullptr)
    return;
  State->Output.Score = Event.Score;
  this->makeReady(Event.Slot, *State);
  this->tryAnswerPull(Now, Out);
}

void SampleController::on(const ScoreFailed &Event, Millis Now, Actions &Out) {
  SlotState *State = this->findScoring(Event.Slot, Event.Query);
  if (State == nullptr)
    return;
  State->Output.Failure = Event.Reason;
  this->makeReady(Event.Slot, *State);
  this->tryAnswerPull(Now, Out);
}

void SampleController::on(const NewestVersion &Event, Millis Now,
                          Actions &Out) {
  this->noteVersion(Event.Model, Event.Version.Value, Now);
  if (this->active())
    this->sweepOld(Out);
}

void SampleController::noteVersion(const std::string &Model, int64_t Version,
                                   Millis Now) {
  ModelState &State = this->Models[Model];
  if (Version <= State.Newest)
    return;
  if (State.Newest >= 0)
    State.CadenceMs = smooth(State.CadenceMs, (Now - State.Since).Count);
  State.Newest = Version;
  State.Since = Now;
}

void SampleController::sweepOld(Actions &Out) {
  const std::set<SlotKey> Candidates = this->ReadySlots;
  for (const SlotKey &Key : Candidates)
    if (this->tooOld(Key, this->Slots[Key]))
      this->retry(Key, DropReason::TooOld, Out);
}

bool SampleController::tooOld(const SlotKey &Key,
                              const SlotState &State) const {
#ifdef CAMPHORNOTCH_MUTATION_IGNORE_AGE
  return Key.Step < 0 && State.Output.Failure.has_value();
#else
  if (State.Output.Failure)
    return false;
  const std::string &Model = this->Table.steps().at(Key.Step).Model;
  const int64_t Oldest = this->oldestVersion(Model);
  const auto &Segments = State.Output.Segments;
  return std::any_of(Segments.begin(), Segments.end(),
                     [&](const wire::LabelSegment &Segment) {
                       return Segment.Version < Oldest;
                     });
#endif
}

int64_t SampleController::newest(const std::string &Model) const {
  const auto Found = this->Models.find(Model);
  const int64_t Seen = Found == this->Models.end() ? -1 : Found->second.Newest;
  return std::max(Seen, this->TrainerVersion);
}

int64_t SampleController::oldestVersion(const std::string &Model) const {
  const int64_t Oldest = this->newest(Model) - this->Settings.MaxVersionsBehind;
  return std::max<int64_t>(Oldest, -1);
}

int64_t SampleController::minVersion(const std::string &Model) const {
  const int64_t Newest = this->newest(Model);
  int64_t Lead = 0;
  const auto Found = this->Models.find(Model);
  if (Found != this->Models.end() && Found->second.CadenceMs > 0)
    // Versions that come out while the attempt runs, rounded up.
    Lead = (Found->second.AttemptMs + Found->second.CadenceMs - 1) /
           Found->second.CadenceMs;
  const int64_t Bound = this->Settings.MaxVersionsBehind;
  return std::max<int64_t>(Newest - Bound + std::min(Lead, Bound), -1);
}

} // namespace camphornotch
