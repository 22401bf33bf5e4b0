/// @file
/// Has the texts of items scored.

#include "gateway/item_task_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/gateway/route_func.h"

namespace camphornotch {

namespace {

/// Time for one scoring call; it is sent again after that.
constexpr Millis ScoringTimeout{2'000};
/// Pause before a scoring call is sent again.
constexpr Millis ScoringPause{80};

} // namespace

void ItemTask::score(const ItemKey &Key) {
  Run *Each = this->find(Key);
  const SubmissionState *State = this->Tell.Submission(Key.Submission);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Each == nullptr || Item == nullptr)
    return;
  if (!Item->__isset.Scoring) {
    this->report(Key, true, "", "");
    return;
  }
  const wire::ScoringCallField &Wanted = Item->Scoring;
  const Route *By = findRoute(this->Tell.Routes(), Wanted.Host, Wanted.Path);
  if (By == nullptr) {
    this->scoreAgain(Key, "no route for the scoring call");
    return;
  }
  // Only the item's route says how many failures are enough.
  if (Each->ScoringFailures > 0 && this->routeOf(Key) == nullptr) {
    this->scoreAgain(Key, "no route for the item");
    return;
  }
  const Millis Now = steadyNow();
  ForwardJob Job;
  Job.Need.MatchedRoute = *By;
  // A scoring call may be repeated whatever its route is for.
  Job.Need.MatchedRoute.Kind = RouteKind::Idempotent;
  Job.Need.Service = drawService(*By, this->Draws());
  Job.Need.ArrivedAt = Now;
  Job.Need.Deadline = Now + ScoringTimeout;
  Job.Request.Path = Wanted.Path;
  Job.Request.Host = Wanted.Host;
  Job.Request.Body = Wanted.Body;
  Job.Request.RequestId = Wanted.Id;
  ForwardSink Sink;
  Sink.Answer = [this, Key](const HttpResponse &Response) {
    this->onScored(Key, Response);
  };
  Sink.Errored = [this, Key](int Status) {
    Run *Still = this->find(Key);
    if (Still != nullptr && Status == StatusServerError)
      ++Still->ScoringFailures;
  };
  Sink.Refuse = [this, Key](const EndRequest &End) {
    this->scoreAgain(Key, End.Reason);
  };
  Each->Scoring = ForwardId{};
  const ForwardId Id = this->Forward.start(std::move(Job), std::move(Sink));
  // A call that ended at once has changed the run already.
  Run *Still = this->find(Key);
  if (Still != nullptr && this->Forward.isRunning(Id))
    Still->Scoring = Id;
}

void ItemTask::onScored(const ItemKey &Key, const HttpResponse &Response) {
  Run *Each = this->find(Key);
  if (Each == nullptr)
    return;
  Each->Scoring = ForwardId{};
  if (Response.Status < StatusFirstFailure) {
    this->report(Key, true, platform::decodeEngineAnswer(Response).Receipt, "");
    return;
  }
  const SubmissionState *State = this->Tell.Submission(Key.Submission);
  const wire::BatchItemField *Item =
      State == nullptr ? nullptr : findItem(*State, Key.Item);
  if (Item == nullptr)
    return;
  const Route *Own = this->routeOf(Key);
  const Route *By =
      findRoute(this->Tell.Routes(), Item->Scoring.Host, Item->Scoring.Path);
  const auto Enough = [Each](const Route &Which) {
    return Each->ScoringFailures >= Which.Attempts;
  };
  if (Own != nullptr && Enough(*Own) && (By == nullptr || Enough(*By)))
    this->report(Key, false, "", "its scoring call failed too often");
  else
    this->scoreAgain(Key, concat("status ", Response.Status));
}

void ItemTask::scoreAgain(const ItemKey &Key, std::string_view Cause) {
  Run *Each = this->find(Key);
  if (Each == nullptr)
    return;
  logLine(LogLevel::Info, "scoring call gave no score",
          {{"request_id", Key.Item.Value}, {"cause", Cause}});
  this->Counts.countRetry(RetryReason::ScorerFailed);
  Each->Scoring = ForwardId{};
  this->Events.callAfter(ScoringPause, [this, Key] {
    const Run *Still = this->find(Key);
    if (Still != nullptr && Still->Whole && Still->Scoring.Value == 0)
      this->score(Key);
  });
}

} // namespace camphornotch
