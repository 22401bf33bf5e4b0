/// @file
/// Sends the scoring calls of complete texts.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Timeout of a scoring call; it is retried after that.
constexpr Millis ScoringTimeout{2'000};
/// Pause before a scoring call is retried.
constexpr Millis ScoringPause{80};

} // namespace

void ItemTask::startScoring(const ItemKey &Key) {
  Run *Active = this->find(Key);
  const SubmissionState *State = this->Callbacks.FindSubmission(Key.Submission);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Active == nullptr || Item == nullptr)
    return;
  if (!Item->__isset.Scoring) {
    this->reportResult(Key, true, "", "");
    return;
  }
  const wire::ScoringCallField &ScoringCall = Item->Scoring;
  const Route *ScoringRoute = findRoute(this->Callbacks.CurrentRoutes(),
                                        ScoringCall.Host, ScoringCall.Path);
  if (ScoringRoute == nullptr) {
    this->retryScoring(Key, "no route for the scoring call");
    return;
  }
  const Millis Now = steadyNow();
  ForwardJob Job;
  Job.Params.MatchedRoute = *ScoringRoute;
  // A scoring call may be repeated whatever kind its route has.
  Job.Params.MatchedRoute.Kind = RouteKind::Idempotent;
  Job.Params.Service = drawService(*ScoringRoute, this->Random());
  Job.Params.ArrivedAt = Now;
  Job.Params.Deadline = Now + ScoringTimeout;
  if (this->Pool.usesForecasts())
    Job.Params.Work.Draw = this->Random();
  Job.Request.Path = ScoringCall.Path;
  Job.Request.Host = ScoringCall.Host;
  Job.Request.Body = ScoringCall.Body;
  Job.Request.RequestId = ScoringCall.Id;
  ForwardCallbacks Callbacks;
  Callbacks.OnAnswer = [this, Key](const HttpResponse &Response) {
    this->onScored(Key, Response);
  };
  Callbacks.OnServerError = [this, Key](int Status) {
    Run *Current = this->find(Key);
    if (Current != nullptr && Status == StatusServerError)
      ++Current->ScoringFailures;
  };
  Callbacks.OnRefusal = [this, Key](const EndRequest &End) {
    this->retryScoring(Key, End.Reason);
  };
  // Scoring calls of an ended submission must not reach a service either.
  Callbacks.MaySend = [this, Key] {
    return this->Callbacks.KnowsEnd(Key.Submission);
  };
  Active->Scoring = ForwardId{};
  const ForwardId Id =
      this->Forward.start(std::move(Job), std::move(Callbacks));
  // The call may have ended before start() returned, and changed the run.
  Run *Current = this->find(Key);
  if (Current != nullptr && this->Forward.isRunning(Id))
    Current->Scoring = Id;
}

void ItemTask::onScored(const ItemKey &Key, const HttpResponse &Response) {
  Run *Active = this->find(Key);
  if (Active == nullptr)
    return;
  Active->Scoring = ForwardId{};
  if (Response.Status < StatusFirstFailure) {
    this->reportResult(Key, true,
                       platform::decodeEngineAnswer(Response).Receipt, "");
    return;
  }
  const SubmissionState *State = this->Callbacks.FindSubmission(Key.Submission);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Item == nullptr)
    return;
  const ScheduledItem *Scheduled = this->Scheduler.find(Key);
  const Route *ScoringRoute = findRoute(this->Callbacks.CurrentRoutes(),
                                        Item->Scoring.Host, Item->Scoring.Path);
  const int64_t Allowed =
      std::max(Scheduled == nullptr ? 1 : Scheduled->Attempts,
               ScoringRoute == nullptr ? 1 : ScoringRoute->Attempts);
  if (Active->ScoringFailures >= Allowed)
    this->reportResult(Key, false, "", "its scoring call failed too often");
  else
    this->retryScoring(Key, concat("status ", Response.Status));
}

void ItemTask::retryScoring(const ItemKey &Key, std::string_view Cause) {
  Run *Active = this->find(Key);
  if (Active == nullptr)
    return;
  logLine(LogLevel::Info, "scoring call gave no score",
          {{"request_id", Key.Item.Value}, {"cause", Cause}});
  this->Counts.countRetry(RetryReason::ScorerFailed);
  Active->Scoring = ForwardId{};
  this->Events.callAfter(ScoringPause, [this, Key] {
    const Run *Current = this->find(Key);
    if (Current != nullptr && Current->Complete && Current->Scoring.Value == 0)
      this->startScoring(Key);
  });
}

} // namespace camphornotch
