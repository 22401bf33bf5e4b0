/// @file
/// Second runs of items under newer weights, for the submission after.

#include "gateway/fresh_run_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/batch/partition_fold_base.h"
#include "gateway/answer_fault_func.h"
#include "gateway/item_request_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Slots that must be free at an engine: one for the run, and some for items
/// that may come meanwhile from other gateways.
constexpr int64_t SlotsToSpare = 3;
/// Most second runs at once; two groups of the sites' larger size.
constexpr size_t MostRuns = 16;
/// Silence after which a run ends; that of an item's own run.
constexpr Millis SilentMost{1'200};

} // namespace

void FreshRuns::consider(const ItemKey &Key, const ScheduledItem &Item,
                         int64_t Oldest, const SubmissionState &State,
                         const EndpointId &Own) {
  const int64_t Newest =
      this->Pool.newestVersion(Item.Service, Item.Model, steadyNow());
  const bool Suspect = Item.Breaks > 0 || Item.Failures > 0;
  if (this->Runs.contains(Key) || Suspect || Oldest < 0 || Oldest >= Newest ||
      this->running() >= MostRuns)
    return;
  const EndpointQuery Query{
      Item.Service, Item.Model, Newest, {Own}, SlotsToSpare};
  const EndpointState *At = this->Pool.choose(Query, steadyNow());
  const wire::BatchItemField *Field = findItem(State, Key.Item);
  if (At == nullptr || Field == nullptr)
    return;
  Run &Each = this->Runs[Key];
  Each.Endpoint = At->Record.Id;
  Each.Size = TextSize(Field->Tokens);
  logLine(LogLevel::Info, "item runs a second time under newer weights",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"endpoint", Each.Endpoint.Value},
           {"version", concat(Newest)},
           {"oldest_version", concat(Oldest)}});
  this->begin(Key, itemRequest(State, *Field, At->Record, 0));
}

void FreshRuns::begin(const ItemKey &Key, HttpCall Call) {
  HttpEvents Tell;
  Tell.Head = [this, Key](const HttpResponse &Head) {
    this->onHead(Key, Head);
  };
  Tell.Chunk = [this, Key](std::string_view Part) { this->onChunk(Key, Part); };
  Tell.Finished = [this, Key](const HttpResponse &) { this->onEnd(Key); };
  Tell.Failed = [this, Key](const HttpFailure &Failure) {
    this->stop(Key, Failure.Cause.Message);
  };
  Run &Each = this->Runs[Key];
  Each.LastAt = steadyNow();
  this->Pool.workStarted(Each.Endpoint);
  Each.Call = this->Http.start(std::move(Call), std::move(Tell));
}

void FreshRuns::onHead(const ItemKey &Key, const HttpResponse &Response) {
  const platform::EngineAnswer Head = platform::decodeEngineAnswer(Response);
  if (Response.Status != StatusOk ||
      !answerFault(Head, Key.Item.Value, Response.Framed).empty()) {
    this->stop(Key, concat("status ", Response.Status));
    return;
  }
  this->Runs[Key].Version = Head.Version;
}

void FreshRuns::onChunk(const ItemKey &Key, std::string_view Part) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Call.Value == 0)
    return;
  Run &Each = Found->second;
  const bool Good = Each.Stream.add(Part, [&](platform::EngineEvent &Event) {
    if (Event.Id != static_cast<int64_t>(Each.Events.size()) + 1)
      return false;
    if (!Each.Size.add(Event.Data)) {
      Each.Events.clear();
      return false;
    }
    if (Event.Version >= 0)
      Each.Version = Event.Version;
    wire::TextEvent Kept;
    Kept.Data = std::move(Event.Data);
    Kept.Version = Each.Version;
    Each.Events.push_back(std::move(Kept));
    Each.LastAt = steadyNow();
    return true;
  });
  if (!Good)
    this->stop(Key, "an event is too long, too much or does not follow");
}

void FreshRuns::onEnd(const ItemKey &Key) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end())
    return;
  Run &Each = Found->second;
  Each.Whole = !Each.Events.empty() && Each.Stream.atEventEnd();
  this->stop(Key, "its stream ended");
}

void FreshRuns::stop(const ItemKey &Key, std::string_view Cause) {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Call.Value == 0)
    return;
  Run &Each = Found->second;
  this->Http.cancel(std::exchange(Each.Call, HttpCallId{}));
  this->Pool.workEnded(Each.Endpoint, WorkOutcome::Abandoned, Millis{0},
                       steadyNow());
  logLine(LogLevel::Info, "second run ended",
          {{"request_id", Key.Item.Value},
           {"submission", Key.Submission.Value},
           {"events", concat(Each.Events.size())},
           {"cause", Cause}});
}

void FreshRuns::dropSilent() {
  const Millis Now = steadyNow();
  for (const auto &[Key, Each] : this->Runs)
    if (Now - Each.LastAt > SilentMost)
      this->stop(Key, "no event in time");
}

void FreshRuns::forgetAll(const SubmissionId &Id) {
  std::vector<ItemKey> Keys;
  for (const auto &[Key, Each] : this->Runs)
    if (Key.Submission == Id)
      Keys.push_back(Key);
  for (const ItemKey &Key : Keys) {
    this->stop(Key, "its submission is over here");
    this->Runs.erase(Key);
  }
}

std::optional<wire::LeftoverText>
FreshRuns::leftover(const ItemKey &Key) const {
  const auto Found = this->Runs.find(Key);
  if (Found == this->Runs.end() || Found->second.Events.empty())
    return std::nullopt;
  wire::LeftoverText Text;
  Text.Item = Key.Item.Value;
  Text.Whole = Found->second.Whole;
  Text.Events = Found->second.Events;
  return Text;
}

size_t FreshRuns::running() const {
  return static_cast<size_t>(
      std::ranges::count_if(this->Runs, [](const auto &Each) {
        return Each.second.Call.Value != 0;
      }));
}

} // namespace camphornotch
