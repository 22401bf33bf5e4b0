/// @file
/// Decides where one caller's request is sent, and how it ends.

#include "core/gateway/forward_plan_base.h"

#include "base/http_status_type.h"
#include "core/gateway/route_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Pause after every endpoint has refused once: queues move within it.
constexpr Millis RefusedPause{20};
/// Part of the objective after which a request that nobody takes is refused,
/// so that its caller can come back within the objective.
constexpr int64_t RefuseDivisor = 4;
/// Time until such a refusal on routes without an objective.
constexpr Millis RefuseDefault{250};
/// Part of the objective after which a second endpoint is asked.
constexpr int64_t HedgeDivisor = 2;
/// Least time before a second endpoint is asked: twice the round trip between
/// the sites' regions.
constexpr Millis HedgeLeast{60};
/// Time before a second endpoint is asked on routes without an objective.
constexpr Millis HedgeDefault{500};
/// Retry-After where no endpoint can take the request; they restart in seconds.
constexpr Millis RetryNoEndpoint{300};
/// Retry-After where all endpoints are full: several requests' time.
constexpr Millis RetryFull{120};

} // namespace

ForwardPlan::ForwardPlan(ForwardNeed Need) : Need(std::move(Need)) {}

bool ForwardPlan::mayStart(Millis Now) const {
  if (this->Runs >= this->Need.By.Attempts || Now < this->NotBefore)
    return false;
  if (this->Runs == 0)
    return true;
  if (!mayRepeat(this->Need.By))
    return false;
  if (this->Running.empty())
    return true;
  if (this->Need.By.Kind == RouteKind::Stream)
    return false;
  const Millis Objective = this->Need.By.Objective;
  const Millis Hedge =
      Objective > Millis{0}
          ? std::max(Millis{Objective.Count / HedgeDivisor}, HedgeLeast)
          : HedgeDefault;
  Millis Latest{0};
  for (const auto &[Endpoint, SentAt] : this->Running)
    Latest = std::max(Latest, SentAt);
  return Now >= Latest + Hedge;
}

ForwardStep ForwardPlan::giveUp(Millis Now) const {
  if (this->HasFailure)
    return PassFailure{};
  if (this->MaybeRun)
    return Now >= this->Need.Deadline
               ? EndRequest{StatusGatewayTimeout, "deadline", Millis{0}}
               : EndRequest{StatusBadGateway, "endpoint_failed", Millis{0}};
  if (this->Refusals > 0)
    return EndRequest{StatusUnavailable, "endpoints_full", RetryFull};
  return EndRequest{StatusUnavailable, "no_endpoint", RetryNoEndpoint};
}

ForwardStep ForwardPlan::next(const EndpointPool &Pool, Millis Now) {
  if (Now >= this->Need.Deadline)
    return this->Running.empty()
               ? this->giveUp(Now)
               : EndRequest{StatusGatewayTimeout, "deadline", Millis{0}};
  const bool Exhausted = this->Runs >= this->Need.By.Attempts ||
                         (this->MaybeRun && !mayRepeat(this->Need.By));
  if (this->Running.empty() && Exhausted)
    return this->giveUp(Now);
  EndpointQuery Query{this->Need.Service, this->Need.Model, 0, this->Tried, 0};
  const Millis Objective = this->Need.By.Objective;
  const Millis RefuseAt =
      this->Need.Arrived + (Objective > Millis{0}
                                ? Millis{Objective.Count / RefuseDivisor}
                                : RefuseDefault);
  if (this->mayStart(Now)) {
    for (const auto &[Endpoint, SentAt] : this->Running)
      Query.Except.insert(Endpoint);
    if (const EndpointState *Chosen = Pool.choose(Query, Now))
      return SendAttempt{Chosen->Record.Id};
    if (this->Running.empty()) {
      if (this->Tried.empty() || Now >= RefuseAt)
        return this->giveUp(Now);
      // Every endpoint failed or refused: all may be asked once more.
      this->Tried.clear();
      this->NotBefore = Now + RefusedPause;
      return AwaitAttempt{this->NotBefore};
    }
  }
  Millis Wake = this->Need.Deadline;
  if (this->Running.empty())
    Wake = std::min(Wake, std::max(this->NotBefore, Now + Millis{1}));
  else if (!Exhausted && mayRepeat(this->Need.By))
    Wake = std::min(Wake, Now + HedgeLeast);
  return AwaitAttempt{Wake};
}

void ForwardPlan::begun(const EndpointId &Endpoint, Millis Now) {
  this->Running[Endpoint] = Now;
  ++this->Runs;
}

void ForwardPlan::ended(const EndpointId &Endpoint, AttemptEnd End) {
  this->Running.erase(Endpoint);
  this->Tried.insert(Endpoint);
  switch (End) {
  case AttemptEnd::NotSent:
    --this->Runs;
    return;
  case AttemptEnd::Refused:
    --this->Runs;
    ++this->Refusals;
    return;
  case AttemptEnd::Failed:
    this->MaybeRun = true;
    return;
  case AttemptEnd::Errored:
    this->MaybeRun = true;
    this->HasFailure = true;
    return;
  }
}

} // namespace camphornotch
