/// @file
/// Second runs of items under newer weights, for the next submission.

#include "gateway/second_run_base.h"

#include "base/clock_func.h"
#include "base/hash_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/answer_fault_func.h"
#include "gateway/item_request_func.h"
#include "gateway/leaving_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Slots that must be free at an engine: one for the run, and two for items
/// that other gateways may send meanwhile.
constexpr int64_t MinFreeSlots = 3;
/// Limit of concurrent second runs: two groups of the sites' larger size.
constexpr size_t MaxRuns = 16;
/// Time without an event after which a run ends; the same as for first runs.
constexpr Millis StallTimeout{1'200};

} // namespace

void SecondRuns::startIfPossible(const ItemKey &Key, const ScheduledItem &Item,
                                 int64_t OldestVersion,
                                 const SubmissionState &State,
                                 const EndpointId &FirstRunEngine) {
  const int64_t NewestVersion =
      this->Pool.newestVersion(Item.Service, Item.Model, steadyNow());
  const bool Suspect = Item.Breaks > 0 || Item.Failures > 0;
  if (this->Runs.contains(Key) || Suspect || OldestVersion < 0 ||
      OldestVersion >= NewestVersion || this->running() >= MaxRuns)
    return;
  EndpointQuery Query{
      Item.Service, Item.Model, NewestVersion, {FirstRunEngine}, MinFreeSlots};
  Query.Work.Draw =
      hashBytes(Key.Item.Value, static_cast<uint64_t>(NewestVersion));
  const EndpointState *Engine = this->Pool.choose(Query, steadyNow());
  const wire::BatchItemField *Field = findItem(State, Key.Item);
  if (Engine == nullptr || Field == nullptr)
    return;
  Run &Active = this->Runs[Key];
  Active.Endpoint = Engine->Record.Id;
  Active.EngineStartedAtMs = Engine->Record.StartedAtMs;
  Active.Software = Engine->Record.Software;
  Active.Size = TextSize(Field->Tokens);
  logLine(LogLevel::Info, "item runs a second time under newer weights",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"endpoint", Active.Endpoint.Value},
           {"version", concat(NewestVersion)},
           {"oldest_version", concat(OldestVersion)}});
  this->startCall(Key, itemRequest(State, *Field, Engine->Record, 0));
}

void SecondRuns::startCall(const ItemKey &Key, HttpCall Call) {
  HttpCallbacks Callbacks;
  Callbacks.Head = [this, Key](const HttpResponse &Head) {
    this->onHead(Key, Head);
  };
  Callbacks.Chunk = [this, Key](std::string_view Part) {
    this->onChunk(Key, Part);
  };
  Callbacks.Finished = [this, Key](const HttpResponse &) {
    this->onFinished(Key);
  };
  Callbacks.Failed = [this, Key](const HttpFailure &Failure) {
    this->stop(Key, Failure.Cause.Message);
  };
  Run &Active = this->Runs[Key];
  Active.LastEventAt = steadyNow();
  this->Pool.workStarted(Active.Endpoint);
  Active.Call = this->Http.start(std::move(Call), std::move(Callbacks));
}

void SecondRuns::onHead(const ItemKey &Key, const HttpResponse &Response) {
  const platform::EngineAnswer Head = platform::decodeEngineAnswer(Response);
  const Run &Active = this->Runs[Key];
  noteLeaving(Head, EndpointLifetime{Active.Endpoint, Active.EngineStartedAtMs},
              Key.Item.Value, this->Pool, this->Counts);
  if (Response.Status != StatusOk ||
      !answerFault(Head, Key.Item.Value, Response.Framed).empty()) {
    this->stop(Key, concat("status ", Response.Status));
    return;
  }
  this->Runs[Key].Version = Head.Version;
}

void SecondRuns::onChunk(const ItemKey &Key, std::string_view Part) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Call.Value == 0)
    return;
  Run &Active = Found->second;
  const bool Good = Active.Stream.add(Part, [&](platform::EngineEvent &Event) {
    if (Event.Id != static_cast<int64_t>(Active.Events.size()) + 1)
      return false;
    if (!Active.Size.add(Event.Data) ||
        !this->Pool.keepsSoftware(Active.Endpoint, Active.Software)) {
      Active.Events.clear();
      return false;
    }
    if (Event.Version >= 0)
      Active.Version = Event.Version;
    wire::TextEvent Stored;
    Stored.Data = std::move(Event.Data);
    Stored.Version = Active.Version;
    Active.Events.push_back(std::move(Stored));
    Active.LastEventAt = steadyNow();
    return true;
  });
  if (!Good)
    this->stop(Key, "an event is too long, exceeds a limit of the text or does "
                    "not continue it");
}

void SecondRuns::onFinished(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  Run &Active = Found->second;
  Active.Complete = !Active.Events.empty() && Active.Stream.atEventEnd();
  this->stop(Key, "its stream ended");
}

void SecondRuns::stop(const ItemKey &Key, std::string_view Cause) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Call.Value == 0)
    return;
  Run &Active = Found->second;
  this->Http.cancel(std::exchange(Active.Call, HttpCallId{}));
  this->Pool.workEnded(Active.Endpoint, WorkOutcome::Abandoned, Millis{0},
                       steadyNow());
  logLine(LogLevel::Info, "second run ended",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"events", concat(Active.Events.size())},
           {"cause", Cause}});
}

void SecondRuns::stopStalled() {
  const Millis Now = steadyNow();
  for (const auto &[Key, Each] : this->Runs)
    if (Now - Each.LastEventAt > StallTimeout)
      this->stop(Key, "no event in time");
}

void SecondRuns::removeSubmission(const SubmissionId &Id) {
  std::vector<ItemKey> Keys;
  for (const auto &[Key, Each] : this->Runs)
    if (Key.Submission == Id)
      Keys.push_back(Key);
  for (const ItemKey &Key : Keys) {
    this->stop(Key, "its submission has ended or changed its owner");
    this->Runs.erase(Key);
  }
}

std::optional<wire::LeftoverText>
SecondRuns::leftover(const ItemKey &Key) const {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Events.empty())
    return std::nullopt;
  wire::LeftoverText Text;
  Text.Item = Key.Item.Value;
  Text.Whole = Found->second.Complete;
  Text.Events = Found->second.Events;
  Text.__set_Software(Found->second.Software);
  return Text;
}

size_t SecondRuns::running() const {
  return static_cast<size_t>(
      std::ranges::count_if(this->Runs, [](const auto &Each) {
        return Each.second.Call.Value != 0;
      }));
}

} // namespace camphornotch
