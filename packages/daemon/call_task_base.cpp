/// @file
/// Calls that may run at most once.

#include "daemon/call_task_base.h"

#include "base/clock_func.h"

namespace camphornotch {

namespace {

/// Ends each part of a key's scope; no header can hold it.
constexpr char ScopeEnd = '\n';

/// @param Context a call.
/// @param Service the service.
/// @return the key with the scope in which it is unique. A caller without a
///         name may come back from another address, so that its address is
///         no part of the scope.
std::string scopedKey(const RequestContext &Context,
                      const std::string &Service) {
  std::string Key = Service;
  Key += ScopeEnd;
  Key += Context.CallerHeader;
  Key += ScopeEnd;
  Key += Context.KeyHeader;
  return Key;
}

} // namespace

CallTask::CallTask(Loop &Events, WorkLinks &Works, LogTask &Log,
                   EndpointTable &Table, const LinkTask &Links,
                   WorkIdSource &WorkIds)
    : Events(Events), Works(Works), Log(Log), Table(Table), Links(Links),
      Controller(CallSettings{}, WorkIds), Random(std::random_device{}()) {}

std::optional<CallTarget> CallTask::targetFor(const std::string &Service) {
  ChoiceRequest Wanted;
  Wanted.Serves = Service;
  const auto Index = chooseEndpoint(this->Choice, this->Table, Wanted,
                                    steadyNow(), this->Random);
  if (!Index)
    return std::nullopt;
  const EndpointInfo &Info = this->Table.at(*Index).Info;
  const auto Peer = this->Links.peers().find(Info.Host);
  if (Peer == this->Links.peers().end())
    return std::nullopt;
  return CallTarget{Info.Endpoint, Info.Host, BootId{Peer->second.Hello.Boot}};
}

void CallTask::call(const std::shared_ptr<CallerExchange> &Exchange,
                    const ServiceRequest &Wanted) {
  const RequestContext &Context = Exchange->Context;
  CallReceived Event;
  Event.Request = this->Waiting.keep(Exchange, [this](RequestHandle Handle) {
    this->handle(RequestGone{Handle});
  });
  Event.Key = scopedKey(Context, Wanted.Service);
  Event.Digest = Context.Digest;
  Event.Caller = Context.Caller;
  Event.RequestId = Context.RequestId;
  Event.FirstUse = Context.FirstUseHeader == "true";
  Event.Target = this->targetFor(Wanted.Service);
  Event.Method = Context.Method;
  Event.Path = Wanted.Path;
  Event.ContentType = Context.ContentType;
  Event.Body = Context.Body;
  this->handle(Event);
}

void CallTask::take(const WorkEvent &Event) {
  if (const auto *Finished = std::get_if<wire::WorkFinished>(&Event.Answer))
    this->handle(CallFinished{*Finished});
  if (const auto *Refused = std::get_if<wire::WorkRefused>(&Event.Answer))
    this->handle(CallRefused{*Refused});
}

void CallTask::handle(const CallEvent &Event) {
  const auto Actions = this->Controller.handle(Event, steadyNow());
  for (const CallAction &Action : Actions)
    std::visit([this](const auto &One) { this->act(One); }, Action);
  this->planTick();
}

void CallTask::act(const AppendRecord &Action) {
  this->Log.append(Action.Record);
}

void CallTask::act(const SendIntent &Action) {
  wire::StartWork Work = Action.Message;
  // The service gets the key as the caller sent it.
  Work.IdempotencyKey.erase(0, Work.IdempotencyKey.rfind(ScopeEnd) + 1);
  this->Works.start(Action.Agent, Work, WorkOwner::Intent);
}

void CallTask::act(const AckIntent &Action) {
  this->Works.acknowledge(Action.Agent, Action.Work);
}

void CallTask::act(const AnswerCall &Action) {
  if (const auto Exchange = this->Waiting.take(Action.Request))
    Exchange->answer(
        CallerAnswer{Action.Status, Action.ContentType, Action.Body, 0});
}

void CallTask::act(const RefuseRequest &Action) {
  if (const auto Exchange = this->Waiting.take(Action.Request))
    Exchange->refuse(Action.Why);
}

void CallTask::planTick() {
  this->Events.cancel(this->TickTimer);
  const Millis Next = this->Controller.nextDeadline();
  if (Next < Never)
    this->TickTimer =
        this->Events.callAt(Next, [this] { this->handle(Tick{}); });
}

} // namespace camphornotch
