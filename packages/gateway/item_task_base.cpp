/// @file
/// Runs items at engines and keeps their texts.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"
#include "gateway/answer_fault_func.h"
#include "gateway/item_request_func.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphornotch {

namespace {

/// Pause between looks at all runs.
constexpr Millis LookInterval{50};
/// Silence after which a run goes on elsewhere: events come each 40 ms, at
/// slowed engines each 150 ms, and a load of weights does not hold them up.
constexpr Millis StallTime{1'200};
/// Events of a run after which it may move to a faster engine.
constexpr size_t MoveAfterEvents = 3;
/// Events that are noted as progress at once.
constexpr size_t SaveEvents = 20;

} // namespace

ItemTask::ItemTask(Loop &Events, HttpClient &Http, EndpointPool &Pool,
                   ForwardTask &Forward, Metrics &Counts, ItemTaskEvents Tell,
                   ItemTaskOptions Options)
    : Events(Events), Http(Http), Pool(Pool), Forward(Forward), Counts(Counts),
      Tell(std::move(Tell)), Options(Options), Scheduler(Options.Order),
      Fresh(Http, Pool), Draws(std::random_device{}()) {
  this->look();
}

ItemTask::Run *ItemTask::find(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  return Found == this->Runs.end() ? nullptr : &Found->second;
}

const Route *ItemTask::routeOf(const ItemKey &Key) {
  const SubmissionState *State = this->Tell.Submission(Key.Submission);
  if (State == nullptr)
    return nullptr;
  return findRoute(this->Tell.Routes(), State->Record.Host, State->Record.Path);
}

bool ItemTask::adopt(const SubmissionState &State,
                     const std::set<ItemId> &Returned) {
  const Route *By =
      findRoute(this->Tell.Routes(), State.Record.Host, State.Record.Path);
  if (By == nullptr) {
    logLine(LogLevel::Warn, "submission has no route",
            {{"submission", State.Record.Id}});
    return false;
  }
  this->Scheduler.add(State, *By, Returned);
  this->wake();
  return true;
}

void ItemTask::drop(const SubmissionId &Id) {
  this->Scheduler.dropAll(Id);
  std::erase_if(this->Finished, [&Id](const auto &Each) {
    return Each.first.Submission == Id;
  });
  std::vector<ItemKey> Keys;
  for (const auto &[Key, Each] : this->Runs)
    if (Key.Submission == Id)
      Keys.push_back(Key);
  for (const ItemKey &Key : Keys)
    this->forget(Key);
  this->Fresh.forgetAll(Id);
}

void ItemTask::listed(const ItemKey &Key) {
  this->Fresh.stop(Key, "the item is listed");
  this->Scheduler.drop(Key);
  this->forget(Key);
}

void ItemTask::forget(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  Run &Each = Found->second;
  if (Each.Call.Value != 0) {
    this->Http.cancel(Each.Call);
    this->Pool.ended(Each.Endpoint, WorkEnd::Abandoned, Millis{0}, steadyNow());
  }
  if (Each.Scoring.Value != 0)
    this->Forward.cancel(Each.Scoring);
  this->Runs.erase(Found);
  this->wake();
}

void ItemTask::wake() {
  if (this->WakePlanned)
    return;
  this->WakePlanned = true;
  this->Events.defer([this] {
    this->WakePlanned = false;
    if (this->Stopped)
      return;
    for (const StartItem &Start : this->Scheduler.plan(this->Pool, steadyNow()))
      this->begin(Start);
  });
}

void ItemTask::begin(const StartItem &Start) {
  const ItemKey &Key = Start.Key;
  const SubmissionState *State = this->Tell.Submission(Key.Submission);
  const EndpointState *At = this->Pool.find(Start.Endpoint);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Item == nullptr || At == nullptr) {
    this->Pool.ended(Start.Endpoint, WorkEnd::Abandoned, Millis{0},
                     steadyNow());
    this->Scheduler.drop(Key);
    return;
  }
  if (!this->Tell.KnowsEnd(Key.Submission)) {
    this->Pool.ended(Start.Endpoint, WorkEnd::Abandoned, Millis{0},
                     steadyNow());
    this->Scheduler.setBack(Key, ItemSetback::Held, Start.Endpoint,
                            steadyNow());
    return;
  }
  Run &Each = this->Runs[Key];
  if (Each.Whole) {
    // An earlier submission left the whole text: only the score is missing.
    this->Pool.ended(Start.Endpoint, WorkEnd::Abandoned, Millis{0},
                     steadyNow());
    this->score(Key);
    return;
  }
  if (Each.Chain == 0) {
    Each.Chain = static_cast<int64_t>(this->Draws() >> 1) | 1;
    const auto Stored = State->Progress.find(Key.Item);
    const ScheduledItem *Wanted = this->Scheduler.find(Key);
    // What another run made may be of another version.
    const bool Usable = Wanted != nullptr && !Wanted->SingleVersion;
    if (Usable && Stored != State->Progress.end())
      Each.Events = Stored->second.Events;
  }
  Each.Endpoint = Start.Endpoint;
  Each.LastAt = steadyNow();
  Each.HadAtStart = Each.Events.size();
  Each.Size = TextSize(Item->Tokens);
  for (const wire::TextEvent &Event : Each.Events)
    Each.Size.add(Event.Data);
  Each.Stream.clear();
  Each.Version = -1;
  HttpCall Call = itemRequest(*State, *Item, At->Record, Each.Events.size());
  HttpEvents Tell;
  Tell.Head = [this, Key](const HttpResponse &Head) {
    this->onHead(Key, Head);
  };
  Tell.Chunk = [this, Key](std::string_view Part) { this->onChunk(Key, Part); };
  Tell.Finished = [this, Key](const HttpResponse &Response) {
    this->onFinished(Key, Response);
  };
  Tell.Failed = [this, Key](const HttpFailure &Failure) {
    this->setBack(Key,
                  Failure.NotSent ? ItemSetback::NotRun : ItemSetback::Broken,
                  WorkEnd::Broken, Failure.Cause.Message);
  };
  Each.Call = this->Http.start(std::move(Call), std::move(Tell));
  logLine(LogLevel::Info, "item started",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"endpoint", Start.Endpoint.Value},
           {"events_had", concat(Each.Events.size())},
           {"outstanding", concat(At->Outstanding)}});
}

void ItemTask::onHead(const ItemKey &Key, const HttpResponse &Response) {
  Run *Each = this->find(Key);
  if (Each == nullptr)
    return;
  Each->Head = platform::decodeEngineAnswer(Response);
  Each->Version = Each->Head.Version;
  const ScheduledItem *Wanted = this->Scheduler.find(Key);
  if (Response.Status != StatusOk || Wanted == nullptr)
    return;
  const std::string_view Fault =
      answerFault(Each->Head, Key.Item.Value, Response.Framed);
  if (!Fault.empty()) {
    this->setBack(Key, ItemSetback::Broken, WorkEnd::Broken, Fault);
    return;
  }
  // No version: nothing may be left to generate. Events need one.
  if (Each->Version < 0 && Each->HadAtStart > 0)
    return;
  this->Pool.versionSeen(Each->Endpoint, Wanted->Model, Each->Version);
  if (Each->Version < Wanted->MinVersion)
    this->setBack(
        Key, ItemSetback::TooOld, WorkEnd::Abandoned,
        concat("version ", Each->Version, " is below ", Wanted->MinVersion));
}

void ItemTask::onChunk(const ItemKey &Key, std::string_view Part) {
  Run *Each = this->find(Key);
  if (Each == nullptr || Each->Head.Status != StatusOk || Each->Call.Value == 0)
    return;
  const bool Good = Each->Stream.add(Part, [&](platform::EngineEvent &Event) {
    return this->takeEvent(Key, *Each, Event);
  });
  if (!Good)
    this->setBack(Key, ItemSetback::Broken, WorkEnd::Broken,
                  "an event does not go on with the text");
}

bool ItemTask::mixesVersions(const ItemKey &Key, const Run &Each) const {
  const ScheduledItem *Wanted = this->Scheduler.find(Key);
  return Wanted != nullptr && Wanted->SingleVersion && !Each.Events.empty() &&
         Each.Events.front().Version != Each.Version;
}

void ItemTask::forgetText(Run &Each) {
  Each.Events.clear();
  Each.Saved = 0;
  Each.Chain = static_cast<int64_t>(this->Draws() >> 1) | 1;
}

bool ItemTask::takeEvent(const ItemKey &Key, Run &Each,
                         platform::EngineEvent &Event) {
  if (Event.Id != static_cast<int64_t>(Each.Events.size()) + 1)
    return false;
  const ScheduledItem *Wanted = this->Scheduler.find(Key);
  if (Event.Version >= 0) {
    Each.Version = Event.Version;
    if (Wanted != nullptr)
      this->Pool.versionSeen(Each.Endpoint, Wanted->Model, Each.Version);
  }
  if (Each.Version < 0 ||
      (Wanted != nullptr && Each.Version < Wanted->MinVersion))
    return false;
  if (this->mixesVersions(Key, Each) || !Each.Size.add(Event.Data)) {
    this->forgetText(Each);
    return false;
  }
  const Millis Now = steadyNow();
  if (Each.Events.size() > Each.HadAtStart)
    this->Pool.paceSeen(Each.Endpoint, Now - Each.LastAt, Now);
  Each.LastAt = Now;
  wire::TextEvent Kept;
  Kept.Data = std::move(Event.Data);
  Kept.Version = Each.Version;
  Each.Events.push_back(std::move(Kept));
  this->Scheduler.progressed(Key);
  if (Each.Events.size() - Each.Saved >= SaveEvents)
    this->save(Key, Each);
  return true;
}

void ItemTask::onFinished(const ItemKey &Key, const HttpResponse &Response) {
  Run *Each = this->find(Key);
  if (Each == nullptr || Each->Call.Value == 0)
    return;
  if (Each->Head.NotRun) {
    this->setBack(Key, ItemSetback::NotRun,
                  Each->Head.Misdirected ? WorkEnd::Misdirected
                                         : WorkEnd::Refused,
                  concat("status ", Response.Status));
    return;
  }
  // An extra answer to an earlier request may come first.
  const bool Own = Each->Head.RequestId == Key.Item.Value;
  if (Response.Status == StatusUnprocessable && Own) {
    this->report(Key, false, "", "the engine says it can never be done");
    return;
  }
  if (Response.Status != StatusOk) {
    const bool Failed = Response.Status == StatusServerError && Own;
    this->setBack(Key, Failed ? ItemSetback::Failed : ItemSetback::Broken,
                  WorkEnd::Answered, concat("status ", Response.Status));
    const ScheduledItem *Item = this->Scheduler.find(Key);
    const Route *By = this->routeOf(Key);
    if (Item != nullptr && By != nullptr && Item->Failures >= By->Attempts)
      this->report(Key, false, "", "the engines failed it too often");
    return;
  }
  if (!Each->Stream.atEventEnd() || Each->Events.empty()) {
    this->setBack(Key, ItemSetback::Broken, WorkEnd::Broken,
                  "the stream ended within an event");
    return;
  }
  const Millis Now = steadyNow();
  this->Pool.ended(Each->Endpoint, WorkEnd::Answered, Millis{0}, Now);
  Each->Call = HttpCallId{};
  Each->Whole = true;
  this->score(Key);
  this->wake();
}

void ItemTask::setBack(const ItemKey &Key, ItemSetback Why, WorkEnd End,
                       std::string_view Cause) {
  Run *Each = this->find(Key);
  if (Each == nullptr || Each->Call.Value == 0)
    return;
  const Millis Now = steadyNow();
  logLine(LogLevel::Info, "item set back",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"endpoint", Each->Endpoint.Value},
           {"events_had", concat(Each->Events.size())},
           {"cause", Cause}});
  this->Counts.countRetry(Why == ItemSetback::NotRun
                              ? RetryReason::RefusedNotRun
                              : RetryReason::EndpointFailed);
  this->Http.cancel(Each->Call);
  Each->Call = HttpCallId{};
  const EndpointState *At = this->Pool.find(Each->Endpoint);
  if (End == WorkEnd::Silent && At != nullptr)
    this->Http.dropIdle(HttpTarget{At->Record.Where.Ip, At->Record.Where.Port});
  this->Pool.ended(Each->Endpoint, End, Millis{0}, Now);
  this->Scheduler.setBack(Key, Why, Each->Endpoint, Now);
  this->wake();
}

void ItemTask::report(const ItemKey &Key, bool Completed,
                      const std::string &Score, std::string_view Cause) {
  Run *Each = this->find(Key);
  wire::ItemResultRecord Record;
  Record.Submission = Key.Submission.Value;
  Record.Item = Key.Item.Value;
  Record.Completed = Completed;
  Record.Score = Score;
  if (Completed && Each != nullptr) {
    std::set<int64_t> Versions;
    for (size_t Index = 0; Index < Each->Events.size(); ++Index) {
      if (Index > 0)
        Record.Text += '\n';
      Record.Text += Each->Events[Index].Data;
      Versions.insert(Each->Events[Index].Version);
    }
    Record.Versions.assign(Versions.begin(), Versions.end());
    this->Finished[Key] = FinishedText{Each->Events, steadyNow()};
  }
  logLine(LogLevel::Info, "item has a result",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"state", Completed ? "completed" : "dead"},
           {"cause", Cause}});
  this->Scheduler.drop(Key);
  this->Fresh.stop(Key, "the item has its result");
  this->forget(Key);
  this->Tell.Result(Record);
}

void ItemTask::save(const ItemKey &Key, Run &Each) {
  if (Each.Events.size() == Each.Saved || Each.Whole)
    return;
  wire::ItemProgressRecord Record;
  Record.Submission = Key.Submission.Value;
  Record.Item = Key.Item.Value;
  Record.Run = Each.Chain;
  Record.From = static_cast<int64_t>(Each.Saved);
  Record.Events.assign(Each.Events.begin() +
                           static_cast<std::ptrdiff_t>(Each.Saved),
                       Each.Events.end());
  Each.Saved = Each.Events.size();
  this->Tell.Progress(Record);
}

void ItemTask::saveAll() {
  for (auto &[Key, Each] : this->Runs)
    this->save(Key, Each);
}

void ItemTask::save(const SubmissionId &Id) {
  for (auto &[Key, Each] : this->Runs)
    if (Key.Submission == Id)
      this->save(Key, Each);
}

void ItemTask::look() {
  this->Events.callAfter(LookInterval, [this] { this->look(); });
  const Millis Now = steadyNow();
  std::vector<ItemKey> Silent;
  for (const auto &[Key, Each] : this->Runs) {
    if (Each.Call.Value == 0)
      continue;
    if (Now - Each.LastAt > StallTime)
      Silent.push_back(Key);
  }
  for (const ItemKey &Key : Silent)
    this->setBack(Key, ItemSetback::Broken, WorkEnd::Silent,
                  "no event in time");
  this->Fresh.dropSilent();
  if (this->Options.MoveItems && !this->Stopped)
    this->moveSlow();
  if (this->Scheduler.waiting() > 0)
    this->wake();
  else if (this->Options.SecondRuns && !this->Stopped)
    this->runLeftAgain();
}

void ItemTask::moveSlow() {
  const Millis Now = steadyNow();
  using RunKind =
      std::tuple<EndpointId, std::string_view, std::string_view, int64_t>;
  // Runs that stand alike are not asked for twice in vain.
  std::set<RunKind> Kept;
  for (auto &[Key, Each] : this->Runs) {
    const ScheduledItem *Item = this->Scheduler.find(Key);
    const bool Settled =
        Each.Events.size() >= Each.HadAtStart + MoveAfterEvents;
    if (Each.Call.Value == 0 || Item == nullptr || !Settled ||
        !this->Tell.KnowsEnd(Key.Submission))
      continue;
    const RunKind Kind(Each.Endpoint, Item->Service, Item->Model,
                       Item->MinVersion);
    if (Kept.contains(Kind))
      continue;
    const EndpointQuery Query{Item->Service, Item->Model, Item->MinVersion};
    if (this->Pool.faster(Each.Endpoint, Query, Now) == nullptr) {
      Kept.insert(Kind);
      continue;
    }
    this->setBack(Key, ItemSetback::Moved, WorkEnd::Abandoned,
                  "another engine is much faster");
    // One at a time: each fills a slot that the next may not have.
    return;
  }
}

} // namespace camphornotch
