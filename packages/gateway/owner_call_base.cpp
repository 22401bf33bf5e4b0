/// @file
/// Brings callers' calls about partitions of others to their owners.

#include "gateway/owner_call_base.h"

#include "base/clock_func.h"
#include "base/http_status_type.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "platform/caller_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// The header that names the member asked, in calls and answers.
constexpr const char *MemberHeader = "x-asked-member";
/// Time for an owner's answer beyond the wait that was asked for: the way
/// between regions and a read of the store.
constexpr Millis AnswerMargin{1'000};
/// Time for a connection to an owner; also within which a broken one was kept
/// from an earlier call.
constexpr Millis ConnectTimeout{300};
/// Pause before a call is tried again that no owner can serve yet.
constexpr Millis HoldPause{100};
/// How long such a call is tried again before its caller has to.
constexpr Millis HoldMost{500};
/// Most steps of one call.
constexpr int MostSteps = 16;

/// @param Counts where metrics are registered.
/// @param Outcome how calls to owners ended.
/// @return their counter.
prometheus::Counter &callCounter(Metrics &Counts, const char *Outcome) {
  return Counts.counter("owner_calls_total",
                        "Calls to owners of partitions by outcome.",
                        {{"outcome", Outcome}});
}

/// @param Counts where metrics are registered.
/// @param Step what was done instead.
/// @return the counter of calls that owners did not serve.
prometheus::Counter &unservedCounter(Metrics &Counts, const char *Step) {
  return Counts.counter("calls_without_owner_total",
                        "Calls that no owner served, by what was done.",
                        {{"step", Step}});
}

} // namespace

std::string_view memberAsked(const HttpRequest &Request) {
  return findHeader(Request.Headers, MemberHeader);
}

void markAnswer(const HttpRequest &Request, HttpResponse &Response) {
  const std::string_view Member = memberAsked(Request);
  if (!Member.empty())
    Response.Headers.push_back(HttpHeader{MemberHeader, std::string(Member)});
}

OwnerCallTask::OwnerCallTask(Loop &Events, HttpClient &Http,
                             platform::StoreClient &Store, Metrics &Counts,
                             std::string Group)
    : Events(Events), Http(Http), Store(Store), Group(std::move(Group)),
      Answered(callCounter(Counts, "answered")),
      Refused(callCounter(Counts, "refused")),
      Reading(callCounter(Counts, "reading")),
      Silent(callCounter(Counts, "silent")),
      ToldToWait(unservedCounter(Counts, "come_again")),
      ReadHere(unservedCounter(Counts, "read_here")) {}

void OwnerCallTask::ask(OwnerCall Call) {
  this->proceed(
      std::make_shared<Course>(Course{std::move(Call), 0, steadyNow()}));
}

void OwnerCallTask::proceed(const std::shared_ptr<Course> &Each) {
  if (Each->Call.Exchange->gone() || Each->Call.ServeIfRead())
    return;
  OwnerAdvice Advice = this->Owners.advise(Each->Call.Where, steadyNow());
  if (++Each->Steps > MostSteps)
    Advice = OwnerAdvice{OwnerStep::ReadHere, {}, "too many steps"};
  this->follow(Each, Advice);
  this->lookUp();
}

void OwnerCallTask::follow(const std::shared_ptr<Course> &Each,
                           const OwnerAdvice &Advice) {
  const OwnerCall &Call = Each->Call;
  if (Advice.Step == OwnerStep::Await) {
    this->Awaiting.push_back(Each);
    return;
  }
  if (Advice.Step == OwnerStep::Ask) {
    this->send(Each, Advice.Owner, false);
    return;
  }
  if (Advice.Step == OwnerStep::ComeAgain) {
    this->hold(Each, Advice.Cause);
    return;
  }
  logLine(LogLevel::Info, "partition of another read here",
          {{"path", Call.Exchange->request().Path},
           {"partition", concat(Call.Where.Part)},
           {"cause", Advice.Cause}});
  this->ReadHere.Increment();
  Call.ReadHere();
}

void OwnerCallTask::hold(const std::shared_ptr<Course> &Each,
                         std::string_view Cause) {
  if (steadyNow() - Each->Since < HoldMost) {
    this->Events.callAfter(HoldPause, [this, Each] { this->proceed(Each); });
    return;
  }
  this->ToldToWait.Increment();
  Each->Call.ComeAgain(Cause);
}

void OwnerCallTask::send(const std::shared_ptr<Course> &Each,
                         const OwnerMember &Owner, bool Fresh) {
  const OwnerCall &Call = Each->Call;
  HttpCall Sent = platform::encodePeerRequest(Call.Exchange->request());
  Sent.Target = HttpTarget{Owner.Where.Ip, Owner.Where.Port};
  Sent.Headers.push_back(HttpHeader{MemberHeader, Owner.Name});
  Sent.Timeout = Call.Wait + AnswerMargin;
  Sent.ConnectTimeout = ConnectTimeout;
  Sent.Reuse = !Fresh;
  const Millis SentAt = steadyNow();
  HttpEvents Tell;
  Tell.Finished = [this, Each, Owner, SentAt](HttpResponse Response) {
    Each->Call.Exchange->onGone(nullptr);
    this->onAnswer(Each, Owner, SentAt, std::move(Response));
  };
  Tell.Failed = [this, Each, Owner, SentAt, Fresh](const HttpFailure &Failure) {
    Each->Call.Exchange->onGone(nullptr);
    // A kept connection may have been closed by its other end.
    if (!Fresh && steadyNow() - SentAt < ConnectTimeout)
      this->send(Each, Owner, true);
    else
      this->onSilence(Each, Owner, SentAt, Failure.Cause.Message);
  };
  const HttpCallId Id = this->Http.start(std::move(Sent), std::move(Tell));
  Call.Exchange->onGone([this, Id] { this->Http.cancel(Id); });
}

void OwnerCallTask::noteUnserved(const Course &Each, const OwnerMember &Owner,
                                 Millis SentAt, std::string_view Cause) {
  logLine(LogLevel::Info, "owner did not serve a call",
          {{"path", Each.Call.Exchange->request().Path},
           {"partition", concat(Each.Call.Where.Part)},
           {"owner", Owner.Name},
           {"took_ms", concat((steadyNow() - SentAt).Count)},
           {"cause", Cause}});
}

void OwnerCallTask::onAnswer(const std::shared_ptr<Course> &Each,
                             const OwnerMember &Owner, Millis SentAt,
                             HttpResponse Response) {
  const PartitionId &Where = Each->Call.Where;
  if (findHeader(Response.Headers, MemberHeader) != Owner.Name) {
    this->onSilence(Each, Owner, SentAt, "the answer is another process's");
    return;
  }
  if (Response.Status == StatusMisdirected) {
    this->Refused.Increment();
    noteUnserved(*Each, Owner, SentAt, "it does not own the partition");
    this->Owners.refused(Where, Owner, steadyNow());
    this->proceed(Each);
    return;
  }
  if (Response.Status == StatusUnavailable) {
    this->Reading.Increment();
    noteUnserved(*Each, Owner, SentAt, Response.Body);
    this->follow(Each, this->Owners.catchingUp(Where, steadyNow()));
    this->lookUp();
    return;
  }
  this->Answered.Increment();
  this->Owners.answered(Where, Owner);
  HttpResponse Passed;
  Passed.Status = Response.Status;
  Passed.ContentType = std::move(Response.ContentType);
  Passed.Body = std::move(Response.Body);
  const std::string_view Retry = findHeader(Response.Headers, "retry-after");
  if (!Retry.empty())
    Passed.Headers.push_back(HttpHeader{"retry-after", std::string(Retry)});
  Each->Call.Exchange->answer(Passed);
}

void OwnerCallTask::onSilence(const std::shared_ptr<Course> &Each,
                              const OwnerMember &Owner, Millis SentAt,
                              std::string_view Cause) {
  this->Silent.Increment();
  noteUnserved(*Each, Owner, SentAt, Cause);
  this->Owners.failed(Each->Call.Where, Owner, SentAt, steadyNow());
  this->proceed(Each);
}

void OwnerCallTask::lookUp() {
  const Millis Now = steadyNow();
  if (!this->Owners.lookUpDue(Now))
    return;
  this->Owners.lookUpBegun(Now);
  this->Store.readOwners(
      this->Group,
      [this, Now](const StoreResult<std::vector<PartitionOwner>> &Found) {
        this->onOwners(Found, steadyNow() - Now);
      });
}

void OwnerCallTask::onOwners(
    const StoreResult<std::vector<PartitionOwner>> &Found, Millis Took) {
  if (Found.has_value()) {
    this->Owners.learnt(Found.value(), steadyNow());
    logLine(LogLevel::Info, "owners looked up",
            {{"partitions", concat(Found.value().size())},
             {"took_ms", concat(Took.Count)}});
  } else {
    this->Owners.lookUpFailed();
    logLine(LogLevel::Warn, "owners not looked up",
            {{"took_ms", concat(Took.Count)},
             {"cause", Found.error().Cause.Message}});
  }
  for (const std::shared_ptr<Course> &Each : std::exchange(this->Awaiting, {}))
    this->proceed(Each);
}

} // namespace camphornotch
