/// @file
/// Decides which endpoints get a caller's request and how it ends.

#include "core/gateway/forward_plan_base.h"

#include "base/http_status_type.h"
#include "core/gateway/route_func.h"

#include <algorithm>
#include <utility>

namespace camphornotch {

namespace {

/// Pause after every endpoint has refused once; their queues advance within it.
constexpr Millis RefusalPause{20};
/// A request that no endpoint accepts is refused after this fraction of the
/// objective, so that its caller can retry within the objective.
constexpr int64_t RefuseDivisor = 4;
/// Delay of that refusal on routes without an objective.
constexpr Millis DefaultRefuseDelay{250};
/// The request goes to a second endpoint after this fraction of the objective.
constexpr int64_t HedgeDivisor = 2;
/// Lower bound of the hedge delay: twice the round trip between the sites'
/// regions.
constexpr Millis MinHedgeDelay{60};
/// Hedge delay on routes without an objective.
constexpr Millis DefaultHedgeDelay{500};
/// Retry-After when no endpoint is eligible; endpoints restart within seconds.
constexpr Millis NoEndpointRetryAfter{300};
/// Retry-After when all endpoints are full: the time of several requests.
constexpr Millis FullRetryAfter{120};
/// Bounds of Retry-After when no endpoint can end the request in time: the time
/// of several requests, and the time for which a forecast says something.
constexpr Millis MinLateRetryAfter{120};
constexpr Millis MaxLateRetryAfter{5'000};

} // namespace

ForwardPlan::ForwardPlan(ForwardParams Params) : Params(std::move(Params)) {}

bool ForwardPlan::mayStart(Millis Now) const {
  if (this->AttemptCount >= this->Params.MatchedRoute.Attempts ||
      Now < this->NotBefore)
    return false;
  if (this->AttemptCount == 0)
    return true;
  if (!mayRepeat(this->Params.MatchedRoute))
    return false;
  if (this->Running.empty())
    return true;
  if (this->Params.MatchedRoute.Kind == RouteKind::Stream)
    return false;
  const Millis Objective = this->Params.MatchedRoute.Objective;
  const Millis Hedge =
      Objective > Millis{0}
          ? std::max(Millis{Objective.Count / HedgeDivisor}, MinHedgeDelay)
          : DefaultHedgeDelay;
  Millis Latest{0};
  for (const auto &[Endpoint, SentAt] : this->Running)
    Latest = std::max(Latest, SentAt);
  return Now >= Latest + Hedge;
}

bool ForwardPlan::isUnsent() const {
  return this->AttemptCount == 0 && this->Refusals == 0 &&
         this->Tried.empty() && this->Running.empty() && !this->MayHaveRun;
}

EndRequest ForwardPlan::refuseLate(const WorkForecast &Nearest,
                                   Millis Now) const {
  const auto TimeLeft =
      static_cast<double>((this->Params.Deadline - Now).Count);
  const double Excess = std::clamp(
      Nearest.endMs() - TimeLeft, static_cast<double>(MinLateRetryAfter.Count),
      static_cast<double>(MaxLateRetryAfter.Count));
  // The low bits chose the candidates.
  constexpr int DrawShift = 32;
  constexpr double DrawRange = 4294967296.0;
  const double Spread =
      static_cast<double>(this->Params.Work.Draw >> DrawShift) / DrawRange;
  return EndRequest{StatusUnavailable, std::string(ForecastReason),
                    Millis{static_cast<int64_t>(Excess * (1 + Spread))},
                    Nearest};
}

ForwardStep ForwardPlan::giveUp(Millis Now) const {
  if (this->HasEndpointFailure)
    return PassFailure{};
  if (this->MayHaveRun)
    return Now >= this->Params.Deadline
               ? EndRequest{StatusGatewayTimeout, "deadline", Millis{0}}
               : EndRequest{StatusBadGateway, "endpoint_failed", Millis{0}};
  if (this->Refusals > 0)
    return EndRequest{StatusUnavailable, "endpoints_full", FullRetryAfter};
  return EndRequest{StatusUnavailable, "no_endpoint", NoEndpointRetryAfter};
}

ForwardStep ForwardPlan::next(const EndpointPool &Pool, Millis Now) {
  if (Now >= this->Params.Deadline)
    return this->Running.empty()
               ? this->giveUp(Now)
               : EndRequest{StatusGatewayTimeout, "deadline", Millis{0}};
  const bool Exhausted =
      this->Unresumable ||
      this->AttemptCount >= this->Params.MatchedRoute.Attempts ||
      (this->MayHaveRun && !mayRepeat(this->Params.MatchedRoute));
  if (this->Running.empty() && Exhausted)
    return this->giveUp(Now);
  EndpointQuery Query{
      this->Params.Service, this->Params.Model,   0, this->Tried, 0,
      this->Params.Work,    this->Params.Software};
  // Another attempt draws other candidates.
  Query.Work.Draw += static_cast<uint64_t>(this->AttemptCount + this->Refusals);
  const Millis Objective = this->Params.MatchedRoute.Objective;
  const Millis RefuseAt =
      this->Params.ArrivedAt + (Objective > Millis{0}
                                    ? Millis{Objective.Count / RefuseDivisor}
                                    : DefaultRefuseDelay);
  if (this->mayStart(Now)) {
    for (const auto &[Endpoint, SentAt] : this->Running)
      Query.ExcludedEndpoints.insert(Endpoint);
    if (const EndpointState *Chosen = Pool.choose(Query, Now)) {
      if (!Pool.usesForecasts())
        return SendAttempt{Chosen->Record.Id, std::nullopt};
      const WorkForecast Forecast = Pool.forecast(*Chosen, Query.Work, Now);
      if (this->isUnsent() && !Pool.canEndBy(Query, this->Params.Deadline, Now))
        return this->refuseLate(Forecast, Now);
      return SendAttempt{Chosen->Record.Id, Forecast};
    }
    if (this->Running.empty()) {
      if (this->Tried.empty() || Now >= RefuseAt)
        return this->giveUp(Now);
      // Every endpoint failed or refused: try all of them once more.
      this->Tried.clear();
      this->NotBefore = Now + RefusalPause;
      return AwaitAttempt{this->NotBefore};
    }
  }
  Millis Wake = this->Params.Deadline;
  if (this->Running.empty())
    Wake = std::min(Wake, std::max(this->NotBefore, Now + Millis{1}));
  else if (!Exhausted && mayRepeat(this->Params.MatchedRoute))
    Wake = std::min(Wake, Now + MinHedgeDelay);
  return AwaitAttempt{Wake};
}

void ForwardPlan::streamBegan(std::optional<std::string> Software) {
  this->Unresumable = !Software.has_value();
  this->Params.Software = std::move(Software);
}

EndRequest ForwardPlan::stop() const {
  const bool NotRun = this->Running.empty() && !this->MayHaveRun;
  return EndRequest{NotRun ? StatusUnavailable : StatusBadGateway, "stopping",
                    Millis{0}};
}

void ForwardPlan::attemptStarted(const EndpointId &Endpoint, Millis Now) {
  this->Running[Endpoint] = Now;
  ++this->AttemptCount;
}

void ForwardPlan::attemptEnded(const EndpointId &Endpoint,
                               AttemptOutcome Outcome) {
  this->Running.erase(Endpoint);
  this->Tried.insert(Endpoint);
  switch (Outcome) {
  case AttemptOutcome::NotSent:
    --this->AttemptCount;
    return;
  case AttemptOutcome::Refused:
    --this->AttemptCount;
    ++this->Refusals;
    return;
  case AttemptOutcome::Failed:
    this->MayHaveRun = true;
    return;
  case AttemptOutcome::Errored:
    this->MayHaveRun = true;
    this->HasEndpointFailure = true;
    return;
  }
}

} // namespace camphornotch
