/// @file
/// Forwards callers' calls to the owners of the partitions they concern.

#include "gateway/owner_call_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/caller_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Names the requested member, in calls and answers.
constexpr const char *MemberHeader = "x-asked-member";
/// The submission's id within this system, which the path of a caller's call
/// does not have.
constexpr const char *SubmissionHeader = "x-asked-submission";
/// Time for an owner's answer beyond OwnerCall::Wait: the delay between regions
/// and a read of the store.
constexpr Millis AnswerMargin{1'000};
/// Time to connect to an owner. A call that fails within it on a kept
/// connection is sent again on a new one.
constexpr Millis ConnectTimeout{300};
/// Pause before the retry of a call that no owner can serve yet.
constexpr Millis RetryPause{100};
/// How long such a call is retried before its caller has to retry.
constexpr Millis MaxRetryTime{500};
/// Limit of the steps of one call.
constexpr int MaxSteps = 16;

/// @return the counter of calls to owners that had the given outcome.
prometheus::Counter &callCounter(Metrics &Counts, const char *Outcome) {
  return Counts.counter("owner_calls_total",
                        "Calls to owners of partitions by outcome.",
                        {{"outcome", Outcome}});
}

/// @return the counter of calls that no owner served and that ended with the
/// given step.
prometheus::Counter &unservedCounter(Metrics &Counts, const char *Step) {
  return Counts.counter("calls_without_owner_total",
                        "Calls that no owner served, by what was done.",
                        {{"step", Step}});
}

} // namespace

std::string_view requestedMember(const HttpRequest &Request) {
  return findHeader(Request.Headers, MemberHeader);
}

std::string_view requestedSubmissionId(const HttpRequest &Request) {
  return findHeader(Request.Headers, SubmissionHeader);
}

void addMemberHeader(const HttpRequest &Request, HttpResponse &Response) {
  const std::string_view Member = requestedMember(Request);
  if (!Member.empty())
    Response.Headers.push_back(HttpHeader{MemberHeader, std::string(Member)});
}

OwnerCallTask::OwnerCallTask(Loop &Events, HttpClient &Http,
                             platform::StoreClient &Store, Metrics &Counts,
                             std::string Group)
    : Events(Events), Http(Http), Store(Store), Group(std::move(Group)),
      Answered(callCounter(Counts, "answered")),
      Refused(callCounter(Counts, "refused")),
      CatchingUp(callCounter(Counts, "reading")),
      Unanswered(callCounter(Counts, "silent")),
      ToldToRetry(unservedCounter(Counts, "come_again")),
      ServedLocally(unservedCounter(Counts, "read_here")) {}

void OwnerCallTask::dispatch(OwnerCall Call) {
  this->proceed(std::make_shared<PendingCall>(
      PendingCall{std::move(Call), 0, steadyNow()}));
}

void OwnerCallTask::proceed(const std::shared_ptr<PendingCall> &Pending) {
  if (Pending->Call.Exchange->gone() || Pending->Call.ServeIfFollowed())
    return;
  OwnerDecision Decision =
      this->Owners.decide(Pending->Call.Partition, steadyNow());
  if (++Pending->Steps > MaxSteps)
    Decision = OwnerDecision{OwnerAction::ReadLocally, {}, "too many steps"};
  this->applyDecision(Pending, Decision);
  this->lookUp();
}

void OwnerCallTask::applyDecision(const std::shared_ptr<PendingCall> &Pending,
                                  const OwnerDecision &Decision) {
  const OwnerCall &Call = Pending->Call;
  if (Decision.Action == OwnerAction::AwaitLookup) {
    this->AwaitingLookup.push_back(Pending);
    return;
  }
  if (Decision.Action == OwnerAction::AskOwner) {
    this->send(Pending, Decision.Owner, false);
    return;
  }
  if (Decision.Action == OwnerAction::RetryLater) {
    this->retryOrRefuse(Pending, Decision.Cause);
    return;
  }
  logLine(LogLevel::Info, "owner not available; reading its partition here",
          {{"path", Call.Exchange->request().Path},
           {"partition", concat(Call.Partition.Number)},
           {"cause", Decision.Cause}});
  this->ServedLocally.Increment();
  Call.ServeLocally();
}

void OwnerCallTask::retryOrRefuse(const std::shared_ptr<PendingCall> &Pending,
                                  std::string_view Cause) {
  if (steadyNow() - Pending->StartedAt < MaxRetryTime) {
    this->Events.callAfter(RetryPause,
                           [this, Pending] { this->proceed(Pending); });
    return;
  }
  this->ToldToRetry.Increment();
  Pending->Call.RetryLater(Cause);
}

void OwnerCallTask::send(const std::shared_ptr<PendingCall> &Pending,
                         const OwnerMember &Owner, bool NewConnection) {
  const OwnerCall &Call = Pending->Call;
  HttpCall Forwarded = platform::encodePeerRequest(Call.Exchange->request());
  Forwarded.Target = HttpTarget{Owner.PeerAddress.Ip, Owner.PeerAddress.Port};
  Forwarded.Headers.push_back(HttpHeader{MemberHeader, Owner.Name});
  Forwarded.Headers.push_back(
      HttpHeader{SubmissionHeader, Call.Submission.Value});
  Forwarded.Timeout = Call.Wait + AnswerMargin;
  Forwarded.ConnectTimeout = ConnectTimeout;
  Forwarded.Reuse = !NewConnection;
  const Millis SentAt = steadyNow();
  HttpCallbacks Callbacks;
  Callbacks.Finished = [this, Pending, Owner, SentAt](HttpResponse Response) {
    Pending->Call.Exchange->onGone(nullptr);
    this->onAnswer(Pending, Owner, SentAt, std::move(Response));
  };
  Callbacks.Failed = [this, Pending, Owner, SentAt,
                      NewConnection](const HttpFailure &Failure) {
    Pending->Call.Exchange->onGone(nullptr);
    // The owner may have closed the kept connection.
    if (!NewConnection && steadyNow() - SentAt < ConnectTimeout)
      this->send(Pending, Owner, true);
    else
      this->onNoAnswer(Pending, Owner, SentAt, Failure.Cause.Message);
  };
  const HttpCallId Id =
      this->Http.start(std::move(Forwarded), std::move(Callbacks));
  Call.Exchange->onGone([this, Id] { this->Http.cancel(Id); });
}

void OwnerCallTask::logUnserved(const PendingCall &Pending,
                                const OwnerMember &Owner, Millis SentAt,
                                std::string_view Cause) {
  logLine(LogLevel::Info, "owner did not serve a call",
          {{"path", Pending.Call.Exchange->request().Path},
           {"partition", concat(Pending.Call.Partition.Number)},
           {"owner", Owner.Name},
           {"took_ms", concat((steadyNow() - SentAt).Count)},
           {"cause", Cause}});
}

void OwnerCallTask::onAnswer(const std::shared_ptr<PendingCall> &Pending,
                             const OwnerMember &Owner, Millis SentAt,
                             HttpResponse Response) {
  const PartitionId &Partition = Pending->Call.Partition;
  if (findHeader(Response.Headers, MemberHeader) != Owner.Name) {
    this->onNoAnswer(Pending, Owner, SentAt, "answer from another process");
    return;
  }
  if (Response.Status == StatusMisdirected) {
    this->Refused.Increment();
    logUnserved(*Pending, Owner, SentAt, "it does not own the partition");
    this->Owners.ownerRefused(Partition, Owner, steadyNow());
    this->proceed(Pending);
    return;
  }
  if (Response.Status == StatusUnavailable) {
    this->CatchingUp.Increment();
    logUnserved(*Pending, Owner, SentAt, Response.Body);
    this->applyDecision(Pending,
                        this->Owners.ownerCatchingUp(Partition, steadyNow()));
    this->lookUp();
    return;
  }
  this->Answered.Increment();
  this->Owners.ownerAnswered(Partition, Owner);
  HttpResponse Answer;
  Answer.Status = Response.Status;
  Answer.ContentType = std::move(Response.ContentType);
  Answer.Body = std::move(Response.Body);
  const std::string_view Retry = findHeader(Response.Headers, "retry-after");
  if (!Retry.empty())
    Answer.Headers.push_back(HttpHeader{"retry-after", std::string(Retry)});
  Pending->Call.Exchange->answer(Answer);
}

void OwnerCallTask::onNoAnswer(const std::shared_ptr<PendingCall> &Pending,
                               const OwnerMember &Owner, Millis SentAt,
                               std::string_view Cause) {
  this->Unanswered.Increment();
  logUnserved(*Pending, Owner, SentAt, Cause);
  this->Owners.ownerFailed(Pending->Call.Partition, Owner, SentAt, steadyNow());
  this->proceed(Pending);
}

void OwnerCallTask::lookUp() {
  const Millis Now = steadyNow();
  if (!this->Owners.isLookupDue(Now))
    return;
  this->Owners.lookupStarted(Now);
  this->Store.readOwners(
      this->Group,
      [this, Now](const StoreResult<std::vector<PartitionOwner>> &Found) {
        this->onOwners(Found, steadyNow() - Now);
      });
}

void OwnerCallTask::onOwners(
    const StoreResult<std::vector<PartitionOwner>> &Found, Millis Elapsed) {
  if (Found.has_value()) {
    this->Owners.lookupSucceeded(Found.value(), steadyNow());
    logLine(LogLevel::Info, "owners looked up",
            {{"partitions", concat(Found.value().size())},
             {"took_ms", concat(Elapsed.Count)}});
  } else {
    this->Owners.lookupFailed();
    logLine(LogLevel::Warn, "owners not looked up",
            {{"took_ms", concat(Elapsed.Count)},
             {"cause", Found.error().Cause.Message}});
  }
  for (const std::shared_ptr<PendingCall> &Pending :
       std::exchange(this->AwaitingLookup, {}))
    this->proceed(Pending);
}

} // namespace camphornotch
