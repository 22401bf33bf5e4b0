/// @file
/// Brings requests to the entry that owns their shard.

#include "daemon/owner_task_base.h"

#include "base/clock_func.h"
#include "base/log_func.h"
#include "base/text_func.h"
#include "core/filters/filter_chain_base.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Times that a request is forwarded; views of who owns a shard may differ.
constexpr int32_t MaxHops = 3;
/// How long a request waits for its shard to have an owner.
constexpr Millis OwnerWait = seconds(15);
/// How often waiting requests are tried.
constexpr Millis RetryInterval{50};
/// When a caller may try again.
constexpr Millis RetryAfter{500};

/// @param Exchange a request.
/// @param Id its forward number.
/// @return the message that hands it to another entry.
wire::ForwardRequest forwardOf(const CallerExchange &Exchange, int64_t Id) {
  const RequestContext &Context = Exchange.Context;
  wire::ForwardRequest Request;
  Request.Id = Id;
  Request.Method = std::string(Context.Method);
  Request.Path = std::string(Context.Path);
  if (!Context.Query.empty())
    Request.Path += concat("?", Context.Query);
  Request.Body = std::string(Context.Body);
  Request.Caller = Context.Caller;
  Request.RequestId = Context.RequestId;
  Request.IdempotencyKey = std::string(Context.KeyHeader);
  Request.ContentType = std::string(Context.ContentType);
  const wire::ForwardRequest *Before = Exchange.forwarded();
  Request.Hops = Before == nullptr ? 1 : Before->Hops + 1;
  return Request;
}

} // namespace

OwnerTask::OwnerTask(Loop &Events, LinkTask &Links, LogTask &Log,
                     const CommonSettings &Settings, BootId Boot,
                     Metrics &Counters)
    : Events(Events), Links(Links), Log(Log), Settings(Settings),
      Counters(Counters),
      Controller(ClaimSettings{HostId{Settings.Host}, Boot}) {}

void OwnerTask::handle(const ClaimEvent &Event) {
  const auto Actions = this->Controller.handle(Event, steadyNow());
  for (const ClaimAction &Action : Actions)
    std::visit([this](const auto &One) { this->act(One); }, Action);
  this->planTick();
}

void OwnerTask::reload() {
  this->Controller.load(this->Log.fold().claims());
  this->handle(Tick{});
}

void OwnerTask::planTick() {
  this->Events.cancel(this->TickTimer);
  const Millis Next = this->Controller.nextDeadline();
  if (Next < Never)
    this->TickTimer =
        this->Events.callAt(Next, [this] { this->handle(Tick{}); });
}

void OwnerTask::act(const AppendRecord &Action) {
  this->Log.append(Action.Record);
}

void OwnerTask::act(const ShardGained &Action) {
  logLine(LogLevel::Info, "shard gained", {{"shard", Action.Shard.Value}});
  this->Tell.Gained(Action);
}

void OwnerTask::act(const ShardLost &Action) {
  logLine(LogLevel::Info, "shard lost", {{"shard", Action.Shard.Value}});
  this->Tell.Lost(Action);
}

void OwnerTask::act(const StopReady & /*Action*/) { this->Tell.Released(); }

void OwnerTask::route(const ShardId &Shard,
                      const std::shared_ptr<CallerExchange> &Exchange,
                      const ServeHere &Serve) {
  this->handle(ShardNeeded{Shard});
  this->advance(
      Routed{Shard, Exchange, Serve, steadyNow() + OwnerWait, HostId{}});
}

void OwnerTask::advance(Routed Request) {
  if (Request.Exchange->gone())
    return;
  if (this->Controller.owns(Request.Shard)) {
    Request.Serve(Request.Exchange);
    return;
  }
  const HostId Owner = this->Controller.ownerOrCandidate(Request.Shard);
  const bool Elsewhere =
      !Owner.Value.empty() && Owner.Value != this->Settings.Host;
  if (Elsewhere && this->forward(Request, Owner))
    return;
  if (steadyNow() >= Request.Until) {
    Request.Exchange->refuse(notRun(RefusalReason::OwnerUnavailable,
                                    Request.Shard.Value, RetryAfter));
    return;
  }
  this->Waiting.push_back(std::move(Request));
  if (std::exchange(this->RetryPlanned, true))
    return;
  this->RetryTimer =
      this->Events.callAfter(RetryInterval, [this] { this->retryWaiting(); });
}

void OwnerTask::retryWaiting() {
  this->RetryPlanned = false;
  std::deque<Routed> Again;
  Again.swap(this->Waiting);
  for (Routed &Request : Again)
    this->advance(std::move(Request));
}

bool OwnerTask::forward(Routed &Request, const HostId &Owner) {
  const int64_t Id = ++this->LastForward;
  wire::PeerMessage Message;
  Message.__set_ForwardRequestMsg(forwardOf(*Request.Exchange, Id));
  if (Message.ForwardRequestMsg.Hops > MaxHops)
    return false;
  if (!this->Links.hub().send(Owner, Message))
    return false;
  Request.Peer = Owner;
  Request.Exchange->onGone([this, Id] { this->Forwarded.erase(Id); });
  this->Forwarded.emplace(Id, std::move(Request));
  return true;
}

void OwnerTask::takeForward(const HostId &Peer,
                            const wire::ForwardRequest &Request) {
  const int64_t Id = Request.Id;
  auto Sink = [this, Peer, Id](CallerAnswer Answer) {
    wire::ForwardReply Reply;
    Reply.Id = Id;
    Reply.Status = Answer.Status;
    Reply.ContentType = std::move(Answer.ContentType);
    Reply.Body = std::move(Answer.Body);
    Reply.RetryAfterMs = Answer.RetryAfterMs;
    wire::PeerMessage Message;
    Message.__set_ForwardReplyMsg(Reply);
    this->Links.hub().send(Peer, Message);
  };
  this->Tell.Forwarded(
      std::make_shared<CallerExchange>(Request, std::move(Sink), steadyNow()));
}

void OwnerTask::takeReply(const wire::ForwardReply &Reply) {
  auto Node = this->Forwarded.extract(Reply.Id);
  if (Node.empty())
    return;
  Node.mapped().Exchange->answer(CallerAnswer{Reply.Status, Reply.ContentType,
                                              Reply.Body, Reply.RetryAfterMs});
}

void OwnerTask::recall(const HostId &Peer) {
  std::vector<Routed> Lost;
  for (auto &[Id, Request] : this->Forwarded)
    if (Request.Peer == Peer)
      Lost.push_back(std::move(Request));
  std::erase_if(this->Forwarded, [](const auto &Entry) {
    return Entry.second.Exchange == nullptr;
  });
  // Steps and pulls are idempotent, so that a second owner may take them.
  for (Routed &Request : Lost) {
    this->Counters.countRetry(RetryReason::OwnerMoved);
    this->advance(std::move(Request));
  }
}

void OwnerTask::linkDown(const HostId &Peer) { this->recall(Peer); }

void OwnerTask::linkUp(const LinkUp &Up) {
  if (Up.SameBoot)
    this->recall(Up.Peer);
}

} // namespace camphornotch
