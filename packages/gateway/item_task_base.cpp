/// @file
/// Runs items at engines and collects their texts.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/answer_fault_func.h"
#include "gateway/item_request_func.h"
#include "gateway/leaving_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// New events that are recorded together in one progress record.
constexpr size_t EventsPerSave = 20;

} // namespace

ItemTask::ItemTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
                   ForwardTask &Forward, Metrics &Counts,
                   ItemTaskCallbacks Callbacks, ItemTaskOptions Options)
    : Events(Events), Http(Http), Pool(Pool), Forward(Forward), Counts(Counts),
      Callbacks(std::move(Callbacks)), Options(Options),
      Work(Counts, WorkUnit::Events),
      Scheduler(
          Options.Order,
          [this](const ScheduledItem &Item) { return this->expectWork(Item); }),
      Reruns(Http, Pool, Counts), Random(std::random_device{}()) {
  this->checkRuns();
}

ItemTask::Run *ItemTask::find(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  return Found == this->Runs.end() ? nullptr : &Found->second;
}

Route ItemTask::routeFor(const SubmissionState &State,
                         const Route &MatchedRoute) const {
  Route Effective = MatchedRoute;
  const AccountTable *Accounts = this->Callbacks.CurrentRoutes().Accounts.get();
  const Account *Owner = Accounts == nullptr
                             ? nullptr
                             : Accounts->findByName(State.Record.Account);
  if (Owner != nullptr && Owner->Priority.has_value())
    Effective.Priority = *Owner->Priority;
  return Effective;
}

bool ItemTask::addSubmission(const SubmissionState &State,
                             const std::set<ItemId> &Resubmitted) {
  const Route *MatchedRoute = findRoute(this->Callbacks.CurrentRoutes(),
                                        State.Record.Host, State.Record.Path);
  if (MatchedRoute == nullptr) {
    logLine(LogLevel::Warn, "submission has no route",
            {{"submission", State.Record.Id}});
    return false;
  }
  this->Scheduler.add(State, this->routeFor(State, *MatchedRoute), Resubmitted);
  const Millis Now = steadyNow();
  for (const auto &[Item, Chain] : State.Progress)
    this->Scheduler.setSoftware(ItemKey{SubmissionId{State.Record.Id}, Item},
                                Chain.Software, Now);
  for (const auto &[Key, Active] : this->Runs)
    if (Key.Submission.Value == State.Record.Id)
      this->noteSoftware(Key, Active);
  this->scheduleStart();
  return true;
}

void ItemTask::updateRoutes() {
  for (const SubmissionId &Id : this->Scheduler.submissions()) {
    const SubmissionState *State = this->Callbacks.FindSubmission(Id);
    const Route *Current =
        State == nullptr ? nullptr
                         : findRoute(this->Callbacks.CurrentRoutes(),
                                     State->Record.Host, State->Record.Path);
    // Items of a removed route keep what it said last.
    if (Current == nullptr ||
        !this->Scheduler.updateRoute(Id, this->routeFor(*State, *Current)))
      continue;
    logLine(LogLevel::Info, "items follow their route to another service",
            {{"submission", Id.Value},
             {"route", Current->Name},
             {"config", concat(this->Callbacks.CurrentRoutes().Version)}});
  }
  this->scheduleStart();
}

void ItemTask::removeSubmission(const SubmissionId &Id) {
  this->Scheduler.dropSubmission(Id);
  std::erase_if(this->Finished, [&Id](const auto &Each) {
    return Each.first.Submission == Id;
  });
  std::vector<ItemKey> Keys;
  for (const auto &[Key, Active] : this->Runs)
    if (Key.Submission == Id)
      Keys.push_back(Key);
  for (const ItemKey &Key : Keys)
    this->removeRun(Key);
  this->Reruns.removeSubmission(Id);
}

void ItemTask::onResultAdded(const ItemKey &Key) {
  this->Reruns.stop(Key, "the item's result is recorded");
  const SubmissionState *State = this->Callbacks.FindSubmission(Key.Submission);
  ItemEnd End;
  if (State != nullptr && State->Positions.contains(Key.Item))
    End.Completed = State->Results[State->Positions.at(Key.Item)].Completed;
  this->Scheduler.drop(Key, End);
  this->removeRun(Key);
}

void ItemTask::removeRun(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  Run &Active = Found->second;
  if (Active.Call.Value != 0) {
    this->Http.cancel(Active.Call);
    this->Pool.workEnded(Active.Endpoint, WorkOutcome::Abandoned, Millis{0},
                         steadyNow());
  }
  if (Active.Scoring.Value != 0)
    this->Forward.cancel(Active.Scoring);
  this->Runs.erase(Found);
  this->scheduleStart();
}

void ItemTask::scheduleStart() {
  if (this->StartScheduled)
    return;
  this->StartScheduled = true;
  this->Events.defer([this] {
    this->StartScheduled = false;
    if (this->Stopped)
      return;
    for (const ItemStart &Start : this->Scheduler.plan(this->Pool, steadyNow()))
      this->startRun(Start);
  });
}

void ItemTask::startRun(const ItemStart &Start) {
  const ItemKey &Key = Start.Key;
  const SubmissionState *State = this->Callbacks.FindSubmission(Key.Submission);
  const EndpointState *Engine = this->Pool.find(Start.Endpoint);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Item == nullptr || Engine == nullptr) {
    this->Pool.workEnded(Start.Endpoint, WorkOutcome::Abandoned, Millis{0},
                         steadyNow());
    this->Scheduler.drop(Key);
    return;
  }
  if (!this->Callbacks.KnowsEnd(Key.Submission)) {
    this->Pool.workEnded(Start.Endpoint, WorkOutcome::Abandoned, Millis{0},
                         steadyNow());
    this->Scheduler.requeue(Key, RequeueReason::Held, Start.Endpoint,
                            steadyNow());
    return;
  }
  Run &Active = this->Runs[Key];
  if (Active.Complete) {
    // An earlier submission stored the complete text: only the score is
    // missing.
    this->Pool.workEnded(Start.Endpoint, WorkOutcome::Abandoned, Millis{0},
                         steadyNow());
    this->startScoring(Key);
    return;
  }
  if (Active.RunId == 0) {
    Active.RunId = static_cast<int64_t>(this->Random() >> 1) | 1;
    const auto Stored = State->Progress.find(Key.Item);
    const ScheduledItem *Scheduled = this->Scheduler.find(Key);
    // Events of another run may have another version.
    const bool Usable = Scheduled != nullptr && !Scheduled->SingleVersion;
    if (Usable && Stored != State->Progress.end()) {
      Active.Events = Stored->second.Events;
      Active.Software = Stored->second.Software;
    }
  }
  if (!Active.Events.empty() && Active.Software != Engine->Record.Software) {
    logLine(LogLevel::Info, "text begins anew at another software",
            {{"request_id", Key.Item.Value},
             {"submission", Key.Submission.Value},
             {"endpoint", Start.Endpoint.Value},
             {"events_had", concat(Active.Events.size())},
             {"software_before", Active.Software},
             {"software", Engine->Record.Software}});
    this->discardText(Active);
  }
  Active.Software = Engine->Record.Software;
  Active.Endpoint = Start.Endpoint;
  Active.EngineStartedAtMs = Engine->Record.StartedAtMs;
  Active.LastEventAt = steadyNow();
  Active.EventsAtStart = Active.Events.size();
  if (Active.ExpectedEvents == 0 && Start.Work.Amount > 0)
    Active.ExpectedEvents =
        Start.Work.Amount + static_cast<double>(Active.Events.size());
  Active.Size = TextSize(Item->Tokens);
  for (const wire::TextEvent &Event : Active.Events)
    Active.Size.add(Event.Data);
  Active.Stream.clear();
  Active.Version = -1;
  HttpCall Call =
      itemRequest(*State, *Item, Engine->Record, Active.Events.size());
  HttpCallbacks Callbacks;
  Callbacks.Head = [this, Key](const HttpResponse &Head) {
    this->onHead(Key, Head);
  };
  Callbacks.Chunk = [this, Key](std::string_view Part) {
    this->onChunk(Key, Part);
  };
  Callbacks.Finished = [this, Key](const HttpResponse &Response) {
    this->onFinished(Key, Response);
  };
  Callbacks.Failed = [this, Key](const HttpFailure &Failure) {
    this->requeue(Key,
                  Failure.NotSent ? RequeueReason::NotRun
                                  : RequeueReason::ConnectionBroken,
                  WorkOutcome::ConnectionBroken, Failure.Cause.Message);
  };
  Active.Call = this->Http.start(std::move(Call), std::move(Callbacks));
  this->logStart(Start, Active);
}

void ItemTask::onHead(const ItemKey &Key, const HttpResponse &Response) {
  Run *Active = this->find(Key);
  if (Active == nullptr)
    return;
  Active->Head = platform::decodeEngineAnswer(Response);
  Active->Version = Active->Head.Version;
  noteLeaving(Active->Head,
              EndpointLifetime{Active->Endpoint, Active->EngineStartedAtMs},
              Key.Item.Value, this->Pool, this->Counts);
  const ScheduledItem *Scheduled = this->Scheduler.find(Key);
  const bool Success = Response.Status == StatusOk;
  if ((!Success && !Active->Head.NotRun) || Scheduled == nullptr)
    return;
  const std::string_view Fault =
      Success ? answerFault(Active->Head, Key.Item.Value, Response.Framed)
              : refusalFault(Active->Head, Key.Item.Value);
  if (!Fault.empty()) {
    this->requeue(Key, RequeueReason::ConnectionBroken,
                  WorkOutcome::ConnectionBroken, Fault);
    return;
  }
  // Without a version in the head nothing may be left to generate; an event
  // without a version is rejected.
  if (!Success || (Active->Version < 0 && Active->EventsAtStart > 0))
    return;
  this->Pool.versionSeen(Active->Endpoint, Scheduled->Model, Active->Version);
  if (Active->Version < Scheduled->MinVersion)
    this->requeue(Key, RequeueReason::VersionTooOld, WorkOutcome::Abandoned,
                  concat("version ", Active->Version, " is below ",
                         Scheduled->MinVersion));
}

void ItemTask::onChunk(const ItemKey &Key, std::string_view Part) {
  Run *Active = this->find(Key);
  if (Active == nullptr || Active->Head.Status != StatusOk ||
      Active->Call.Value == 0)
    return;
  const bool Good = Active->Stream.add(Part, [&](platform::EngineEvent &Event) {
    return this->appendEvent(Key, *Active, Event);
  });
  if (!Good)
    this->requeue(Key, RequeueReason::ConnectionBroken,
                  WorkOutcome::ConnectionBroken,
                  "an event does not continue the text");
}

bool ItemTask::mixesVersions(const ItemKey &Key, const Run &Active) const {
  const ScheduledItem *Scheduled = this->Scheduler.find(Key);
  return Scheduled != nullptr && Scheduled->SingleVersion &&
         !Active.Events.empty() &&
         Active.Events.front().Version != Active.Version;
}

void ItemTask::noteSoftware(const ItemKey &Key, const Run &Active) {
  this->Scheduler.setSoftware(
      Key,
      Active.Events.empty() ? std::nullopt : std::optional(Active.Software),
      steadyNow());
}

void ItemTask::discardText(Run &Active) {
  Active.Events.clear();
  Active.SavedEvents = 0;
  Active.RunId = static_cast<int64_t>(this->Random() >> 1) | 1;
}

bool ItemTask::appendEvent(const ItemKey &Key, Run &Active,
                           platform::EngineEvent &Event) {
  if (Event.Id != static_cast<int64_t>(Active.Events.size()) + 1)
    return false;
  if (!this->Pool.keepsSoftware(Active.Endpoint, Active.Software)) {
    this->discardText(Active);
    return false;
  }
  const ScheduledItem *Scheduled = this->Scheduler.find(Key);
  if (Event.Version >= 0) {
    Active.Version = Event.Version;
    if (Scheduled != nullptr)
      this->Pool.versionSeen(Active.Endpoint, Scheduled->Model, Active.Version);
  }
  if (Active.Version < 0 ||
      (Scheduled != nullptr && Active.Version < Scheduled->MinVersion))
    return false;
  if (this->mixesVersions(Key, Active) || !Active.Size.add(Event.Data)) {
    this->discardText(Active);
    return false;
  }
  const Millis Now = steadyNow();
  if (Active.Events.size() > Active.EventsAtStart)
    this->Pool.paceMeasured(Active.Endpoint, Now - Active.LastEventAt, Now);
  Active.LastEventAt = Now;
  wire::TextEvent Stored;
  Stored.Data = std::move(Event.Data);
  Stored.Version = Active.Version;
  Active.Events.push_back(std::move(Stored));
  if (Active.Events.size() == Active.EventsAtStart + 1)
    this->noteSoftware(Key, Active);
  this->Scheduler.noteProgress(Key);
  if (Active.Events.size() - Active.SavedEvents >= EventsPerSave)
    this->saveProgress(Key, Active);
  return true;
}

void ItemTask::onFinished(const ItemKey &Key, const HttpResponse &Response) {
  Run *Active = this->find(Key);
  if (Active == nullptr || Active->Call.Value == 0)
    return;
  if (Active->Head.NotRun) {
    this->requeue(Key, RequeueReason::NotRun,
                  Active->Head.Misdirected ? WorkOutcome::Misdirected
                                           : WorkOutcome::Refused,
                  concat("status ", Response.Status));
    return;
  }
  // The answer may belong to an earlier request on the same connection.
  const bool SameRequest = Active->Head.RequestId == Key.Item.Value;
  if (Response.Status == StatusUnprocessable && SameRequest) {
    this->reportResult(Key, false, "",
                       "the engine reports that it can never be executed");
    return;
  }
  if (Response.Status != StatusOk) {
    const bool Failed = Response.Status == StatusServerError && SameRequest;
    this->requeue(
        Key, Failed ? RequeueReason::Failed : RequeueReason::ConnectionBroken,
        WorkOutcome::Answered, concat("status ", Response.Status));
    const ScheduledItem *Item = this->Scheduler.find(Key);
    if (Item != nullptr && Item->Failures >= Item->Attempts)
      this->reportResult(Key, false, "",
                         "engines answered it with status 500 too often");
    return;
  }
  if (!Active->Stream.atEventEnd() || Active->Events.empty()) {
    this->requeue(Key, RequeueReason::ConnectionBroken,
                  WorkOutcome::ConnectionBroken,
                  "the stream ended within an event");
    return;
  }
  const Millis Now = steadyNow();
  this->Pool.workEnded(Active->Endpoint, WorkOutcome::Answered, Millis{0}, Now);
  Active->Call = HttpCallId{};
  Active->Complete = true;
  this->learnWork(Key, *Active);
  this->startScoring(Key);
  this->scheduleStart();
}

void ItemTask::requeue(const ItemKey &Key, RequeueReason Why, WorkOutcome End,
                       std::string_view Cause) {
  Run *Active = this->find(Key);
  if (Active == nullptr || Active->Call.Value == 0)
    return;
  const Millis Now = steadyNow();
  logLine(LogLevel::Info, "item requeued",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"endpoint", Active->Endpoint.Value},
           {"events_had", concat(Active->Events.size())},
           {"cause", Cause}});
  this->Counts.countRetry(Why == RequeueReason::NotRun
                              ? RetryReason::RefusedNotRun
                              : RetryReason::EndpointFailed);
  this->Http.cancel(Active->Call);
  Active->Call = HttpCallId{};
  const EndpointState *Engine = this->Pool.find(Active->Endpoint);
  if (End == WorkOutcome::TimedOut && Engine != nullptr)
    this->Http.closeIdle(HttpTarget{Engine->Record.ListenAddress.Ip,
                                    Engine->Record.ListenAddress.Port});
  this->Pool.workEnded(Active->Endpoint, End, Millis{0}, Now);
  if (!this->Pool.keepsSoftware(Active->Endpoint, Active->Software))
    this->discardText(*Active);
  this->noteSoftware(Key, *Active);
  this->Scheduler.requeue(Key, Why, Active->Endpoint, Now);
  this->scheduleStart();
}

void ItemTask::reportResult(const ItemKey &Key, bool Completed,
                            const std::string &Score, std::string_view Cause) {
  Run *Active = this->find(Key);
  wire::ItemResultRecord Record;
  Record.Submission = Key.Submission.Value;
  Record.Item = Key.Item.Value;
  Record.Completed = Completed;
  Record.Score = Score;
  if (Completed && Active != nullptr) {
    std::set<int64_t> Versions;
    for (size_t Index = 0; Index < Active->Events.size(); ++Index) {
      if (Index > 0)
        Record.Text += '\n';
      Record.Text += Active->Events[Index].Data;
      Versions.insert(Active->Events[Index].Version);
    }
    Record.Versions.assign(Versions.begin(), Versions.end());
    this->Finished[Key] =
        FinishedText{Active->Events, Active->Software, steadyNow()};
  }
  logLine(LogLevel::Info, "item has a result",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"state", Completed ? "completed" : "dead"},
           {"cause", Cause}});
  const size_t Work = Active == nullptr ? 0 : Active->Events.size();
  this->Scheduler.drop(Key, ItemEnd{Completed, static_cast<double>(Work)});
  this->Reruns.stop(Key, "the item has a result");
  this->removeRun(Key);
  this->Callbacks.OnResult(Record);
}

void ItemTask::saveProgress(const ItemKey &Key, Run &Active) {
  if (Active.Events.size() == Active.SavedEvents || Active.Complete)
    return;
  wire::ItemProgressRecord Record;
  Record.Submission = Key.Submission.Value;
  Record.Item = Key.Item.Value;
  Record.Run = Active.RunId;
  Record.From = static_cast<int64_t>(Active.SavedEvents);
  Record.__set_Software(Active.Software);
  Record.Events.assign(Active.Events.begin() +
                           static_cast<std::ptrdiff_t>(Active.SavedEvents),
                       Active.Events.end());
  Active.SavedEvents = Active.Events.size();
  this->Callbacks.OnProgress(Record);
}

void ItemTask::saveAllProgress() {
  for (auto &[Key, Active] : this->Runs)
    this->saveProgress(Key, Active);
}

void ItemTask::saveProgress(const SubmissionId &Id) {
  for (auto &[Key, Active] : this->Runs)
    if (Key.Submission == Id)
      this->saveProgress(Key, Active);
}

} // namespace camphornotch
