/// @file
/// Trainers' steps and samples: requests, records and controllers.

#include "daemon/sample_task_base.h"

#include "base/clock_func.h"
#include "base/text_func.h"
#include "core/fold/shard_func.h"
#include "daemon/sample_answer_func.h"
#include "rules/lookup_func.h"

#include <algorithm>
#include <random>

namespace camphornotch {

namespace {

/// Calls to a scorer for one sample, with waits between them.
constexpr int MaxScoreTries = 10;
/// Time for the news of another owner to be read.
constexpr Millis MisplacedWait{50};
/// First wait after a scorer failed; doubles each time.
constexpr Millis ScoreRetryMin{100};
/// Longest wait after a scorer failed.
constexpr Millis ScoreRetryMax = seconds(5);

} // namespace

SampleTask::SampleTask(Loop &Events, WorkLinks &Works, RouteTask &Routes,
                       LogTask &Log, EndpointTable &Table,
                       WorkIdSource &WorkIds, Metrics &Counters)
    : Events(Events), Works(Works), Routes(Routes), Log(Log), Table(Table),
      Counters(Counters),
      Scheduler(RolloutSettings{}, Table, WorkIds, std::random_device{}()) {
  this->planScheduler();
}

SampleSettings SampleTask::settingsFor(const TrainerId &Name) const {
  const TrainerRule &Rule =
      trainerRule(*this->Log.fold().config().Rules, Name.Value);
  SampleSettings Settings;
  Settings.MaxVersionsBehind = Rule.MaxAgeVersions;
  if (Rule.MaxInFlight > 0)
    Settings.MaxActiveSlots = static_cast<int32_t>(Rule.MaxInFlight);
  return Settings;
}

SampleTask::Trainer &SampleTask::trainer(const TrainerId &Name) {
  const auto Found = this->Trainers.find(Name);
  if (Found != this->Trainers.end())
    return Found->second;
  Trainer &New = this->Trainers[Name];
  New.Controller =
      std::make_unique<SampleController>(Name, this->settingsFor(Name));
  for (const auto &[Model, Version] : this->Log.fold().versions())
    this->handle(Name, NewestVersion{Model, Version.Version});
  return New;
}

void SampleTask::submit(const std::shared_ptr<CallerExchange> &Exchange,
                        const SubmitRequest &Wanted) {
  this->trainer(Wanted.Trainer);
  SubmitReceived Event;
  Event.Request = this->Waiting.keep(
      Exchange, [this, Name = Wanted.Trainer](RequestHandle Handle) {
        this->handle(Name, RequestGone{Handle});
      });
  Event.Step = Wanted.Step;
  Event.Model = Wanted.Model;
  Event.Groups = Wanted.Groups;
  this->handle(Wanted.Trainer, Event);
}

void SampleTask::pull(const std::shared_ptr<CallerExchange> &Exchange,
                      const PullRequest &Wanted) {
  this->trainer(Wanted.Trainer);
  PullReceived Event;
  Event.Request = this->Waiting.keep(
      Exchange, [this, Name = Wanted.Trainer](RequestHandle Handle) {
        this->handle(Name, RequestGone{Handle});
      });
  Event.Cursor = Wanted.Cursor;
  Event.Resume = Wanted.Resume;
  Event.TrainerVersion = Wanted.Version;
  Event.MaxSamples =
      static_cast<int32_t>(std::min<int64_t>(Wanted.MaxSamples, INT32_MAX));
  Event.Wait = std::min(Wanted.Wait, Exchange->Context.Deadline);
  this->handle(Wanted.Trainer, Event);
}

void SampleTask::committed(const RecordCommitted &Event) {
  if (Event.Record.__isset.Step)
    this->trainer(TrainerId{Event.Record.Step.Trainer});
  if (Event.Record.__isset.Claim) {
    const std::string &Shard = Event.Record.Claim.Shard;
    const std::string Prefix = trainerShard(TrainerId{}).Value;
    if (Shard.starts_with(Prefix))
      this->trainer(TrainerId{Shard.substr(Prefix.size())});
  }
  this->handleAll(Event);
}

void SampleTask::changed(const std::vector<FoldChange> &Changes) {
  for (const FoldChange &Change : Changes) {
    if (const auto *Version = std::get_if<VersionAnnounced>(&Change))
      this->handleAll(NewestVersion{Version->Model, Version->Version});
    if (std::holds_alternative<ConfigAccepted>(Change))
      for (const auto &[Name, Of] : this->Trainers)
        this->handle(Name, SampleSettingsChanged{this->settingsFor(Name)});
    const auto *Snapshot = std::get_if<SnapshotSeen>(&Change);
    if (Snapshot != nullptr && Snapshot->Restored)
      this->reload();
  }
}

void SampleTask::reload() {
  for (const auto &[Shard, Claim] : this->Log.fold().claims()) {
    const std::string Prefix = trainerShard(TrainerId{}).Value;
    if (!Shard.Value.starts_with(Prefix))
      continue;
    const TrainerId Name{Shard.Value.substr(Prefix.size())};
    const TrainerState *State = this->Log.fold().trainer(Name);
    if (State != nullptr)
      this->trainer(Name).Controller->load(*State, Claim);
  }
}

void SampleTask::logStatus(const LogStatus &Event) { this->handleAll(Event); }

void SampleTask::gained(const ShardGained &Event) { this->handleAll(Event); }

void SampleTask::lost(const ShardLost &Event) { this->handleAll(Event); }

void SampleTask::handleAll(const SampleEvent &Event) {
  for (const auto &[Name, Of] : this->Trainers)
    this->handle(Name, Event);
}

void SampleTask::handle(const TrainerId &Name, const SampleEvent &Event) {
  const auto Actions =
      this->Trainers.at(Name).Controller->handle(Event, steadyNow());
  for (const SampleAction &Action : Actions)
    std::visit([&](const auto &One) { this->act(Name, One); }, Action);
  this->planTick(Name);
}

void SampleTask::planTick(const TrainerId &Name) {
  Trainer &Of = this->Trainers.at(Name);
  this->Events.cancel(Of.Tick);
  const Millis Next = Of.Controller->nextDeadline();
  if (Next < Never)
    Of.Tick =
        this->Events.callAt(Next, [this, Name] { this->handle(Name, Tick{}); });
}

void SampleTask::act(const TrainerId & /*Name*/, const AppendRecord &Action) {
  this->Log.append(Action.Record);
}

void SampleTask::act(const TrainerId & /*Name*/, const AnswerSubmit &Action) {
  if (const auto Exchange = this->Waiting.take(Action.Request))
    Exchange->answer(
        CallerAnswer{200, "application/json", renderSubmit(Action), 0});
}

void SampleTask::act(const TrainerId & /*Name*/, const AnswerPull &Action) {
  if (const auto Exchange = this->Waiting.take(Action.Request))
    Exchange->answer(
        CallerAnswer{200, "application/json", renderPull(Action), 0});
}

void SampleTask::act(const TrainerId & /*Name*/, const RefuseRequest &Action) {
  const auto Exchange = this->Waiting.take(Action.Request);
  if (Exchange == nullptr)
    return;
  if (Action.Why.Reason != RefusalReason::WrongOwner) {
    Exchange->refuse(Action.Why);
    return;
  }
  // Submissions and pulls are idempotent: the next owner takes them.
  this->Events.callAfter(MisplacedWait,
                         [this, Exchange] { this->TellMisplaced(Exchange); });
}

void SampleTask::act(const TrainerId & /*Name*/, const EpochSeen &Action) {
  this->TellEpoch(Action);
}

void SampleTask::act(const TrainerId & /*Name*/, const SampleDropped &Action) {
  ++this->Dropped[Action.Reason];
  if (Action.Reason == DropReason::LabelUnknown)
    this->Counters.countRetry(RetryReason::LabelUnknown);
  if (Action.Reason == DropReason::TooOld)
    this->Counters.countRetry(RetryReason::TooOld);
}

void SampleTask::act(const TrainerId &Name, const NeedScore &Action) {
  this->score(Name, Action, 0);
}

void SampleTask::score(const TrainerId &Name, const NeedScore &Need,
                       int Tries) {
  RouteJob Job;
  Job.Work.Kind = wire::WorkKind::ServiceCall;
  Job.Work.Class = wire::WorkClass::Rollout;
  Job.Work.Method = "POST";
  Job.Work.Path = "/score";
  Job.Work.Body = scoreBodyOf(Need);
  Job.Work.ContentType = "application/json";
  Job.Work.Caller = Name.Value;
  Job.Work.RequestId = concat(Name.Value, "/", Need.Slot.Step, "/",
                              Need.Slot.GroupOrdinal, "/", Need.Slot.Index);
  Job.Work.MinVersion = -1;
  Job.Spec.Serves = Need.Scorer;
  Job.Spec.Repeatable = true;
  Job.Done = [this, Name, Need, Tries](const RouteEnd &End) {
    this->scored(Name, Need, Tries, End);
  };
  this->Routes.submit(std::move(Job));
}

void SampleTask::scored(const TrainerId &Name, const NeedScore &Need, int Tries,
                        const RouteEnd &End) {
  const auto *Finished = std::get_if<wire::WorkFinished>(&End);
  const bool Good = Finished != nullptr && Finished->Status == 200;
  const auto Score = Good ? parseScore(Finished->Body) : std::nullopt;
  if (Score) {
    this->handle(Name, ScoreFinished{Need.Slot, *Score, Need.Query});
    return;
  }
  if (Tries + 1 >= MaxScoreTries) {
    this->handle(Name, ScoreFailed{Need.Slot, RefusalReason::EndpointFailed,
                                   Need.Query});
    return;
  }
  this->Counters.countRetry(RetryReason::ScorerFailed);
  const Millis Wait =
      std::min(ScoreRetryMin * (int64_t{1} << Tries), ScoreRetryMax);
  this->Events.callAfter(
      Wait, [this, Name, Need, Tries] { this->score(Name, Need, Tries + 1); });
}

} // namespace camphornotch
