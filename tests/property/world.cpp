/// @file
/// Entries, the trainer and the log of the property tests.

#include "world.h"

#include "core/claims/log_feed_func.h"
#include "core/fold/shard_func.h"

namespace camphornotch::property {

namespace {

/// The one trainer.
const TrainerId Trainer{"t"};

/// @return settings small enough that every bound is met.
SampleSettings sampleSettings() {
  SampleSettings Settings;
  Settings.MaxVersionsBehind = 2;
  Settings.MaxBatch = 3;
  Settings.CheckpointEvery = 2;
  Settings.MaxActiveSlots = 5;
  return Settings;
}

} // namespace

World::World() {
  for (int Place = 0; Place < EntryCount; ++Place)
    this->startEntry(Place);
  for (int Place = 0; Place < AgentCount; ++Place)
    this->startAgent(Place);
}

void World::startEntry(int Place) {
  Entry &One = this->Entries[Place];
  One = Entry{};
  One.Host = HostId{"e" + std::to_string(Place)};
  One.Boot = BootId{this->NextBoot++};
  One.Fold = std::make_unique<LogFold>();
  One.Claims =
      std::make_unique<ClaimController>(ClaimSettings{One.Host, One.Boot});
  One.Samples = std::make_unique<SampleController>(Trainer, sampleSettings());
  One.Works = std::make_unique<WorkIdSource>();
  One.Calls = std::make_unique<CallController>(CallSettings{}, *One.Works);
  this->callEvent(Place, LogStatus{this->LogUp});
  this->sampleEvent(Place, LogStatus{this->LogUp});
  this->claimEvent(Place, LogStatus{this->LogUp});
  this->claimEvent(Place, ShardNeeded{trainerShard(Trainer)});
  this->sampleEvent(Place, NewestVersion{"m", WeightVersion{this->Newest}});
  this->members(Place, EveryEntry);
  for (const Agent &Other : this->Agents)
    if (Other.Guard)
      this->callEvent(Place, AgentPresent{Other.Host, Other.Boot});
}

void World::claimEvent(int Place, const ClaimEvent &Event) {
  Entry &One = this->Entries[Place];
  for (const ClaimAction &Action : One.Claims->handle(Event, this->Now)) {
    if (const auto *Append = std::get_if<AppendRecord>(&Action))
      this->append(Place, Append->Record);
    if (const auto *Gained = std::get_if<ShardGained>(&Action))
      this->sampleEvent(Place, *Gained);
    if (const auto *Lost = std::get_if<ShardLost>(&Action))
      this->sampleEvent(Place, *Lost);
    if (std::holds_alternative<StopReady>(Action))
      One.Stopped = true;
  }
}

void World::sampleEvent(int Place, const SampleEvent &Event) {
  for (const SampleAction &Action :
       this->Entries[Place].Samples->handle(Event, this->Now))
    this->act(Place, Action);
}

void World::append(int Place, wire::LogRecord Record) {
  Entry &One = this->Entries[Place];
  Record.WriterBoot = One.Boot.Value;
  Record.Sequence = ++One.Sequence;
  One.Pending.push_back(std::move(Record));
}

void World::act(int Place, const SampleAction &Action) {
  Entry &One = this->Entries[Place];
  if (const auto *Append = std::get_if<AppendRecord>(&Action))
    this->append(Place, Append->Record);
  if (const auto *Need = std::get_if<NeedAttempt>(&Action))
    One.Attempts.push_back(OpenAttempt{
        Need->Slot, std::max(this->Newest - 1, Need->MinVersion.Value)});
  if (const auto *Seen = std::get_if<EpochSeen>(&Action))
    this->claimEvent(Place, *Seen);
  if (const auto *Answer = std::get_if<AnswerPull>(&Action))
    this->take(Place, *Answer);
  if (const auto *Answer = std::get_if<AnswerSubmit>(&Action)) {
    const auto &Slots = this->SubmittedBy[Answer->Request.Value];
    this->Truth.Promised.insert(Slots.begin(), Slots.end());
  }
}

void World::take(int /*Place*/, const AnswerPull &Answer) {
  if (this->LoseAnswer)
    return;
  this->GotAnswer = true;
  const int64_t Oldest =
      this->TrainerVersion - sampleSettings().MaxVersionsBehind;
  for (const Sample &Taken : Answer.Samples)
    this->Truth.take(Taken, Oldest);
  this->Cursor = Answer.Cursor;
}

void World::flush(int Place, bool AnswerLost) {
  Entry &One = this->Entries[Place];
  if (!this->LogUp || One.Paused)
    return;
  this->Log.insert(this->Log.end(), One.Pending.begin(), One.Pending.end());
  if (!AnswerLost)
    One.Pending.clear();
}

void World::readLog(int Place) {
  Entry &One = this->Entries[Place];
  if (!this->LogUp || One.Paused)
    return;
  while (One.Read < this->Log.size()) {
    const wire::LogRecord Record = this->Log[One.Read++];
    const LogOffset Offset{static_cast<int64_t>(One.Read)};
    if (!recordStands(One.Fold->apply(Offset, Record)))
      continue;
    const RecordCommitted Event{Offset, Record};
    this->sampleEvent(Place, Event);
    this->claimEvent(Place, Event);
    this->callEvent(Place, Event);
    const int64_t Config = One.Fold->config().Offset.Value;
    if (Config < One.ConfigOffset)
      this->Truth.fail("the configuration reverted");
    One.ConfigOffset = Config;
  }
  if (One.Stopped)
    this->startEntry(Place);
}

void World::tick(int Place) {
  if (!this->present(Place))
    return;
  this->claimEvent(Place, Tick{});
  this->sampleEvent(Place, Tick{});
  this->callEvent(Place, Tick{});
}

void World::members(int Place, unsigned Mask) {
  MembersChanged Event;
  for (int Other = 0; Other < EntryCount; ++Other)
    if (((Mask >> Other) & 1U) && this->Entries[Other].Boot != BootId{0})
      Event.Entries.push_back(
          EntryView{this->Entries[Other].Host, this->Entries[Other].Boot});
  if (this->present(Place))
    this->claimEvent(Place, Event);
}

void World::submit(int Place, unsigned Argument) {
  if (!this->present(Place))
    return;
  // Every other submission repeats the step before.
  if (Argument % 2 == 0)
    ++this->Step;
  SubmitReceived Event;
  Event.Request = RequestHandle{this->NextRequest++};
  Event.Step = this->Step;
  Event.Model = "m";
  std::set<SlotKey> &Slots = this->SubmittedBy[Event.Request.Value];
  for (int Group = 0; Group < 2; ++Group) {
    wire::GroupSpec Spec;
    Spec.Group = "g" + std::to_string(Group);
    Spec.Samples = 2;
    Spec.MaxTokens = 8;
    Event.Groups.push_back(Spec);
    for (int Index = 0; Index < 2; ++Index)
      Slots.insert(SlotKey{this->Step, Group, Index});
  }
  this->sampleEvent(Place, Event);
}

void World::pull(int Place, const std::string &Cursor, bool Lost) {
  if (!this->present(Place))
    return;
  PullReceived Event;
  Event.Request = RequestHandle{this->NextRequest++};
  Event.Cursor = Cursor;
  Event.TrainerVersion = WeightVersion{this->TrainerVersion};
  this->OldCursor = this->Cursor;
  this->LoseAnswer = Lost;
  this->sampleEvent(Place, Event);
  this->LoseAnswer = false;
}

void World::finishAttempt(int Place, unsigned Argument, bool LabelKnown) {
  Entry &One = this->Entries[Place];
  if (One.Paused || One.Attempts.empty())
    return;
  const size_t Index = Argument % One.Attempts.size();
  const OpenAttempt Done = One.Attempts[Index];
  // Some attempts stay on the list: a second one that finishes late.
  if (Argument % 3 != 0)
    One.Attempts.erase(One.Attempts.begin() + static_cast<long>(Index));
  const std::string Text = "output " + std::to_string(this->NextOutput++);
  TrueOutput Output{Done.Slot, {}};
  wire::LabelSegment First;
  First.Version = Done.Version;
  Output.Segments.push_back(First);
  if (Argument % 5 == 0 && this->Newest > Done.Version) {
    wire::LabelSegment Second;
    Second.FirstToken = 2;
    Second.Version = this->Newest;
    Output.Segments.push_back(Second);
  }
  SlotFinished Event{Done.Slot,       Text,       4,
                     Output.Segments, LabelKnown, Millis{10}};
  if (!LabelKnown)
    Event.Segments.back().Version += 1;
  this->Truth.Made[Text] = Output;
  this->sampleEvent(Place, Event);
}

void World::publish(int Place) {
  wire::ConfigRecord Config;
  const Entry &One = this->Entries[Place];
  Config.BaseOffset = std::max<int64_t>(One.Fold->config().Offset.Value, 0);
  Config.PublishId = std::to_string(this->NextRequest++);
  Config.__set_Text("[hosts]\n* = leave_grace_ms=" + Config.PublishId +
                    " ; asked by Morag\n");
  wire::LogRecord Record;
  Record.__set_Config(Config);
  this->append(Place, Record);
}

void World::setLog(bool Up) {
  this->LogUp = Up;
  for (int Place = 0; Place < EntryCount; ++Place) {
    if (!this->present(Place))
      continue;
    this->claimEvent(Place, LogStatus{Up});
    this->sampleEvent(Place, LogStatus{Up});
    this->callEvent(Place, LogStatus{Up});
  }
}

void World::sync() {
  for (int Place = 0; Place < EntryCount; ++Place) {
    this->flush(Place, false);
    this->readLog(Place);
  }
}

void World::newVersion(int Place, unsigned Argument) {
  ++this->Newest;
  this->TrainerVersion = this->Newest - static_cast<int64_t>(Argument % 2);
  this->sampleEvent(Place, NewestVersion{"m", WeightVersion{this->Newest}});
}

void World::duplicate(unsigned Argument) {
  if (!this->Log.empty() && this->LogUp)
    this->Log.push_back(this->Log[Argument % this->Log.size()]);
}

void World::stop(int Place) {
  if (!this->present(Place))
    return;
  this->claimEvent(Place, StopRequested{});
  this->flush(Place, false);
  this->readLog(Place);
}

void World::stepFault(unsigned Kind, int Place, unsigned Rest) {
  Entry &One = this->Entries[Place];
  const int Which = Place % AgentCount;
  switch (Kind) {
  case 0:
    return this->setLog(Rest % 3 != 0);
  case 1:
    return this->startEntry(Place);
  case 2:
    One.Paused = Rest % 3 == 0;
    return;
  case 3:
    return this->members(Place, Rest % 8);
  case 4:
    return this->startAgent(Which);
  case 5:
    this->Agents[Which].RefuseNext = true;
    return;
  case 6:
    return this->stop(Place);
  case 7:
    return this->pull(Place, this->OldCursor, true);
  case 8:
    return this->pull(Place, this->Cursor, true);
  case 9:
    return this->finishAttempt(Place, Rest, false);
  case 10:
    this->flush(Place, true);
    return this->readLog(Place);
  default:
    return this->duplicate(Rest);
  }
}

void World::step(uint16_t Command) {
  const unsigned Kind = Command % CommandKinds;
  const unsigned Argument = Command / CommandKinds;
  const int Place = static_cast<int>(Argument % EntryCount);
  const unsigned Rest = Argument / EntryCount;
  if (Kind >= FirstFault)
    return this->stepFault(Kind - FirstFault, Place, Rest);
  switch (Kind % 12) {
  case 0:
    return this->submit(Place, Rest);
  case 1:
  case 2:
    return this->pull(Place, this->Cursor, false);
  case 3:
  case 4:
    return this->finishAttempt(Place, Rest, true);
  case 5:
    return Rest % 4 == 0 ? this->newVersion(Place, Rest)
                         : this->members(Place, EveryEntry);
  case 6:
    return Rest % 4 == 0 ? this->publish(Place) : this->sync();
  case 7:
    this->Now += Millis{static_cast<int64_t>(Rest % 64) * 100};
    return this->tick(Place);
  case 8:
    return this->call(Place, Rest);
  case 9:
    return this->deliver(Argument);
  case 10:
    return this->finishIntent(Place % AgentCount);
  default:
    return this->reply(Argument);
  }
}

void World::heal() {
  for (int Place = 0; Place < EntryCount; ++Place)
    if (this->Entries[Place].Paused || Place == 0)
      this->startEntry(Place);
  this->setLog(true);
  const size_t Rounds = 40 + 4 * this->Truth.Promised.size();
  for (size_t Round = 0; Round < Rounds; ++Round) {
    this->Now += Millis{3000};
    for (int Place = 0; Place < EntryCount; ++Place) {
      // The last entry alone stays, so that one owner is certain.
      this->members(Place, 1);
      this->flush(Place, false);
      this->readLog(Place);
      this->tick(Place);
      for (size_t Left = this->Entries[Place].Attempts.size(); Left > 0; --Left)
        this->finishAttempt(Place, 1, true);
    }
    this->GotAnswer = false;
    for (int Place = 0; Place < EntryCount && !this->GotAnswer; ++Place)
      this->pull(Place, this->Cursor, false);
  }
  for (const SlotKey &Key : this->Truth.Promised)
    if (!this->Truth.Held.contains(Key))
      this->Truth.fail("a promised sample was lost: step " +
                       std::to_string(Key.Step));
}

} // namespace camphornotch::property
