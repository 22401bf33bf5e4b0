/// @file
/// Requests that are answered whole or streamed, and calls of our own.

#include "daemon/route_task_base.h"

#include "base/clock_func.h"
#include "base/hash_func.h"
#include "base/http_status_type.h"
#include "base/refusal_func.h"
#include "base/text_func.h"

#include <random>
#include <utility>

namespace camphornotch {

namespace {

/// Tokens expected of a completion that names no bound.
constexpr int64_t DefaultExpectedTokens = 128;
/// Time beyond the deadline for the agent's own answer to arrive.
constexpr Millis DeadlineSlack{250};
/// Deadline of calls of our own.
constexpr Millis OwnCallDeadline = seconds(30);
/// Most bytes of a stream that wait for a slow caller.
constexpr size_t MaxUnsentBytes = size_t{8} << 20;

/// @param Message a refusal as a peer sent it.
/// @return the refusal.
Refusal refusalOf(const wire::RefusalMessage &Message) {
  Refusal Why;
  Why.Reason = refusalFromWire(Message.Reason);
  const bool NotRun =
      Message.RunState == static_cast<int32_t>(RunState::NotRun);
  Why.State = NotRun ? RunState::NotRun : RunState::Unknown;
  Why.RetryAfterMs = Message.RetryAfterMs;
  Why.Detail = Message.Detail;
  return Why;
}

/// @param Context a caller's request.
/// @return the work for an agent, as far as the request says it.
wire::StartWork workOf(const RequestContext &Context) {
  wire::StartWork Work;
  Work.Class = Context.Class;
  Work.Method = std::string(Context.Method);
  Work.Body = std::string(Context.Body);
  Work.Caller = Context.Caller;
  Work.RequestId = Context.RequestId;
  Work.Digest = Context.Digest;
  Work.ContentType = std::string(Context.ContentType);
  Work.MinVersion = -1;
  return Work;
}

} // namespace

RouteTask::RouteTask(Loop &Events, WorkLinks &Works, EndpointTable &Table,
                     WorkIdSource &WorkIds, Metrics &Counters)
    : Events(Events), Works(Works), Table(Table), Counters(Counters),
      Controller(RouteSettings{}, Table, WorkIds, std::random_device{}()) {}

void RouteTask::complete(std::shared_ptr<CallerExchange> Exchange,
                         const CompletionRequest &Wanted) {
  RouteJob Job;
  Job.Work = workOf(Exchange->Context);
  Job.Work.Kind = wire::WorkKind::Completion;
  Job.Work.Path = std::string(Exchange->Context.Path);
  Job.Work.Stream = Wanted.Stream;
  Job.Work.ExpectedTokens =
      Wanted.MaxTokens > 0 ? Wanted.MaxTokens : DefaultExpectedTokens;
  Job.Spec.Serves = Wanted.Model;
  Job.Spec.ExpectedTokens = Job.Work.ExpectedTokens;
  Job.Spec.Repeatable = true;
  if (!Wanted.PromptPrefix.empty())
    Job.Spec.Affinity = std::to_string(hashBytes(Wanted.PromptPrefix));
  Job.Work.Affinity = Job.Spec.Affinity;
  Job.Style.Id = Exchange->Context.RequestId;
  Job.Style.Model = Wanted.Model;
  Job.Style.Chat = Wanted.Chat;
  Job.Exchange = std::move(Exchange);
  this->submit(std::move(Job));
}

void RouteTask::callService(std::shared_ptr<CallerExchange> Exchange,
                            const ServiceRequest &Wanted) {
  RouteJob Job;
  Job.Work = workOf(Exchange->Context);
  Job.Work.Kind = wire::WorkKind::ServiceCall;
  Job.Work.Path = Wanted.Path;
  Job.Spec.Serves = Wanted.Service;
  Job.Spec.Repeatable = true;
  Job.Exchange = std::move(Exchange);
  this->submit(std::move(Job));
}

void RouteTask::submit(RouteJob Job) {
  const RequestRef Ref{++this->LastRef};
  Job.Spec.Request = Ref;
  Job.Spec.Class = Job.Work.Class;
  Job.Spec.Bytes = static_cast<int64_t>(Job.Work.Body.size());
  OpenJob Open;
  const Millis Deadline = Job.Exchange == nullptr
                              ? OwnCallDeadline
                              : Job.Exchange->Context.Deadline;
  Job.Spec.Deadline = steadyNow() + Deadline;
  Open.Timer = this->Events.callAfter(
      Deadline + DeadlineSlack, [this, Ref] { this->deadlinePassed(Ref); });
  if (Job.Exchange != nullptr)
    Job.Exchange->onGone([this, Ref] { this->callerGone(Ref); });
  const RouteRequested Requested{Job.Spec};
  Open.Job = std::move(Job);
  this->Jobs.emplace(Ref, std::move(Open));
  this->handle(Requested);
}

void RouteTask::handle(const RouteEvent &Event) {
  const auto Actions = this->Controller.handle(Event, steadyNow());
  for (const RouteAction &Action : Actions)
    std::visit([this](const auto &One) { this->act(One); }, Action);
  this->planTick();
}

void RouteTask::act(const SendRequest &Action) {
  const auto Found = this->Jobs.find(Action.Request);
  if (Found == this->Jobs.end())
    return;
  wire::StartWork Work = Found->second.Job.Work;
  Work.Work = Action.Work.Value;
  Work.Attempt = Action.Attempt;
  Work.DeadlineMs = Action.TimeLeft == Never ? 0 : Action.TimeLeft.Count;
  this->Attempts.emplace(Action.Work, Action.Request);
  const HostId &Agent = this->Table.at(Action.Endpoint).Info.Host;
  if (this->Works.start(Agent, Work, WorkOwner::Route))
    return;
  // The link broke just now; the controller is told in a later turn.
  this->Events.defer([this, Id = Action.Work] {
    this->Attempts.erase(Id);
    this->handle(RouteRefused{
        Id, Refusal{RefusalReason::PeerLost, RunState::NotRun, 0, ""}});
  });
}

void RouteTask::act(const StopRequest &Action) {
  this->Attempts.erase(Action.Work);
  this->Works.abandon(Action.Work);
}

void RouteTask::act(const UseAnswer &Action) {
  const auto Found = this->Jobs.find(Action.Request);
  if (Found != this->Jobs.end())
    Found->second.Winner = Action.Work;
}

void RouteTask::act(const RefuseRoute &Action) {
  this->refuse(Action.Request, Action.Why);
}

void RouteTask::act(const CountRouteRetry &Action) {
  this->Counters.countRetry(Action.Reason);
}

void RouteTask::take(const WorkEvent &Event) {
  std::visit([this](const auto &One) { this->on(One); }, Event.Answer);
}

void RouteTask::on(const wire::WorkChunk &Chunk) {
  const auto Attempt = this->Attempts.find(WorkId{Chunk.Work});
  if (Attempt == this->Attempts.end())
    return;
  const RequestRef Ref = Attempt->second;
  this->handle(RouteStarted{WorkId{Chunk.Work}});
  const auto Found = this->Jobs.find(Ref);
  if (Found != this->Jobs.end() && Found->second.Winner.Value == Chunk.Work)
    this->passOn(Ref, Chunk.Data);
}

void RouteTask::passOn(RequestRef Ref, std::string_view Bytes) {
  const RouteJob &Job = this->Jobs.at(Ref).Job;
  const auto Exchange = Job.Exchange;
  if (Exchange == nullptr)
    return;
  Exchange->stream(renderPart(Job.Style, Bytes));
  if (Exchange->unsentBytes() <= MaxUnsentBytes)
    return;
  this->handle(RouteCallerGone{Ref});
  this->refuse(Ref, Refusal{RefusalReason::Cancelled, RunState::Unknown, 0,
                            "the caller does not read its answer"});
}

void RouteTask::on(const wire::WorkFinished &Finished) {
  const WorkId Work{Finished.Work};
  const auto Attempt = this->Attempts.find(Work);
  if (Attempt == this->Attempts.end())
    return;
  const RequestRef Ref = Attempt->second;
  this->Attempts.erase(Attempt);
  this->handle(RouteFinished{Work});
  const auto Found = this->Jobs.find(Ref);
  if (Found != this->Jobs.end() && Found->second.Winner == Work)
    this->deliver(Ref, Finished);
}

void RouteTask::on(const wire::WorkRefused &Refused) {
  const WorkId Work{Refused.Work};
  if (this->Attempts.erase(Work) > 0)
    this->handle(RouteRefused{Work, refusalOf(Refused.Refusal)});
}

void RouteTask::deliver(RequestRef Ref, const wire::WorkFinished &Finished) {
  auto Open = this->close(Ref);
  if (!Open)
    return;
  if (Open->Job.Done) {
    Open->Job.Done(Finished);
    return;
  }
  const bool Output = Open->Job.Work.Kind == wire::WorkKind::Completion &&
                      Finished.Status == StatusOk;
  if (Output)
    RouteTask::deliverCompletion(Open->Job, Finished);
  else
    Open->Job.Exchange->answer(
        CallerAnswer{Finished.Status, Finished.ContentType, Finished.Body, 0});
}

void RouteTask::deliverCompletion(const RouteJob &Job,
                                  const wire::WorkFinished &Finished) {
  CallerExchange &Exchange = *Job.Exchange;
  if (!Job.Work.Stream) {
    Exchange.answer(CallerAnswer{StatusOk, "application/json",
                                 renderWhole(Job.Style, Finished), 0});
    return;
  }
  if (!Finished.Body.empty())
    Exchange.stream(renderPart(Job.Style, Finished.Body));
  Exchange.stream(renderEnd(Job.Style, Finished));
  Exchange.finishStream();
}

void RouteTask::refuse(RequestRef Ref, const Refusal &Why) {
  const auto Open = this->close(Ref);
  if (!Open)
    return;
  if (Open->Job.Done)
    Open->Job.Done(Why);
  else if (!Open->Job.Exchange->gone())
    Open->Job.Exchange->refuse(Why);
}

std::optional<RouteTask::OpenJob> RouteTask::close(RequestRef Ref) {
  auto Node = this->Jobs.extract(Ref);
  if (Node.empty())
    return std::nullopt;
  this->Events.cancel(Node.mapped().Timer);
  return std::move(Node.mapped());
}

void RouteTask::callerGone(RequestRef Ref) {
  this->handle(RouteCallerGone{Ref});
  this->close(Ref);
}

void RouteTask::deadlinePassed(RequestRef Ref) {
  this->handle(RouteCallerGone{Ref});
  this->refuse(Ref, Refusal{RefusalReason::DeadlineTooShort, RunState::Unknown,
                            0, "the deadline has passed"});
}

void RouteTask::endpointLost(EndpointIndex Endpoint) {
  this->handle(RouteEndpointGone{Endpoint});
}

void RouteTask::planTick() {
  const Millis Next = this->Controller.nextDeadline();
  if (Next >= this->TickAt)
    return;
  this->Events.cancel(this->Tick);
  this->TickAt = Next;
  this->Tick = this->Events.callAt(Next, [this] {
    this->TickAt = Never;
    this->handle(RouteTick{});
  });
}

} // namespace camphornotch
