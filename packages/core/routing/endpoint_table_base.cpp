/// @file
/// The entry's table of endpoints and their load.

#include "core/routing/endpoint_table_base.h"

#include "base/text_func.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

namespace {

/// Weight of the newest sample in smoothed figures.
constexpr double SmoothingWeight = 0.2;
/// How long one failure keeps work away.
constexpr Millis FirstAvoidance{250};
/// The longest time that failures in a row keep work away.
constexpr Millis LongestAvoidance{8000};
/// Failures in a row after which the time no longer doubles.
constexpr int32_t MostDoublings = 5;

/// @param Old the smoothed value; 0: none yet.
/// @param Sample the newest sample.
/// @return the new smoothed value.
double smoothed(double Old, double Sample) {
  if (Old <= 0)
    return Sample;
  return Old + SmoothingWeight * (Sample - Old);
}

/// Shared by all unknown pools.
const EndpointPool EmptyPool;

} // namespace

EndpointTable::EndpointTable(DataCentreId HomeCentre, RegionId HomeRegion)
    : HomeCentre(std::move(HomeCentre)), HomeRegion(std::move(HomeRegion)) {}

EndpointIndex EndpointTable::upsert(const EndpointInfo &Info) {
  if (const auto Known = this->find(Info.Endpoint)) {
    this->leavePool(*Known);
    this->States[Known->Value].Info = Info;
    this->joinPool(*Known);
    return *Known;
  }
  EndpointIndex Index{static_cast<uint32_t>(this->States.size())};
  if (this->Unused.empty()) {
    this->States.emplace_back();
  } else {
    Index = this->Unused.back();
    this->Unused.pop_back();
    this->States[Index.Value] = EndpointState{};
  }
  this->States[Index.Value].Info = Info;
  this->ByName.emplace(Info.Endpoint.Value, Index);
  this->joinPool(Index);
  return Index;
}

void EndpointTable::remove(const EndpointId &Endpoint) {
  const auto Known = this->find(Endpoint);
  if (!Known)
    return;
  this->leavePool(*Known);
  this->ByName.erase(Endpoint.Value);
  this->States[Known->Value] = EndpointState{};
  this->Unused.push_back(*Known);
}

std::optional<EndpointIndex>
EndpointTable::find(const EndpointId &Endpoint) const {
  const auto Found = this->ByName.find(Endpoint.Value);
  if (Found == this->ByName.end())
    return std::nullopt;
  return Found->second;
}

const EndpointState &EndpointTable::at(EndpointIndex Index) const {
  assert(Index.Value < this->States.size());
  return this->States[Index.Value];
}

const EndpointPool &EndpointTable::pool(std::string_view Serves) const {
  const auto Found = this->Pools.find(toAbsl(Serves));
  return Found == this->Pools.end() ? EmptyPool : Found->second;
}

void EndpointTable::setReachable(EndpointIndex Index, bool Reachable) {
  EndpointState &State = this->States[Index.Value];
  State.Reachable = Reachable;
  if (Reachable)
    State.AvoidUntil = Millis{};
}

void EndpointTable::setLeaving(EndpointIndex Index, bool Leaving) {
  this->States[Index.Value].Leaving = Leaving;
}

void EndpointTable::noteLoad(EndpointIndex Index, const wire::LoadFigure &Load,
                             Millis Now) {
  EndpointState &State = this->States[Index.Value];
  const int32_t OwnBefore = this->ownWaiting(Index);
  State.Load = Load;
  if (Load.OwnQueued < 0)
    State.Load.OwnQueued = std::min(OwnBefore, Load.Queued);
  State.LoadAt = Now;
  State.SentSince = 0;
  State.TokensSince = 0;
  if (Load.TokenMicros <= 0)
    return;
  EndpointPool &Pool = this->Pools[State.Info.Serves];
  Pool.TokenMicros =
      smoothed(Pool.TokenMicros, static_cast<double>(Load.TokenMicros));
}

void EndpointTable::noteSent(EndpointIndex Index, int64_t Tokens) {
  EndpointState &State = this->States[Index.Value];
  ++State.SentSince;
  State.TokensSince += Tokens;
  ++State.InFlight;
  State.InFlightTokens += Tokens;
}

void EndpointTable::noteSettled(EndpointIndex Index, int64_t Tokens) {
  EndpointState &State = this->States[Index.Value];
  State.InFlight = std::max(0, State.InFlight - 1);
  State.InFlightTokens = std::max<int64_t>(0, State.InFlightTokens - Tokens);
}

void EndpointTable::noteShortLatency(EndpointIndex Index, Millis Latency) {
  EndpointState &State = this->States[Index.Value];
  State.ShortLatencyMs =
      smoothed(State.ShortLatencyMs, static_cast<double>(Latency.Count));
}

void EndpointTable::noteFailure(EndpointIndex Index, Millis Now) {
  EndpointState &State = this->States[Index.Value];
  const int32_t Doublings = std::min(State.Failures, MostDoublings);
  ++State.Failures;
  const Millis Span = FirstAvoidance * (int64_t{1} << Doublings);
  State.AvoidUntil = Now + std::min(Span, LongestAvoidance);
}

void EndpointTable::noteSuccess(EndpointIndex Index) {
  EndpointState &State = this->States[Index.Value];
  State.Failures = 0;
  State.AvoidUntil = Millis{};
}

bool EndpointTable::isEligible(EndpointIndex Index, Millis Now) const {
  const EndpointState &State = this->at(Index);
  if (!State.Reachable || State.Leaving || State.Load.Leaving)
    return false;
  return State.AvoidUntil <= Now;
}

int32_t EndpointTable::ownWaiting(EndpointIndex Index) const {
  const EndpointState &State = this->at(Index);
  const wire::LoadFigure &Load = State.Load;
  const int32_t FreeThen =
      std::max(0, Load.Slots - Load.ShortReserve - Load.Running - Load.Queued);
  const int32_t Told = std::max(0, Load.OwnQueued);
  return Told + std::max(0, State.SentSince - FreeThen);
}

int32_t EndpointTable::outstanding(EndpointIndex Index) const {
  const EndpointState &State = this->at(Index);
  const int32_t Reported =
      State.Load.Running + State.Load.Queued + State.SentSince;
  return std::max(State.InFlight, Reported);
}

Distance EndpointTable::distanceTo(const EndpointInfo &Info) const {
  if (Info.DataCentre == this->HomeCentre)
    return Distance::SameDataCentre;
  if (Info.Region == this->HomeRegion)
    return Distance::SameRegion;
  return Distance::OtherRegion;
}

void EndpointTable::joinPool(EndpointIndex Index) {
  EndpointState &State = this->States[Index.Value];
  State.Away = this->distanceTo(State.Info);
  EndpointPool &Pool = this->Pools[State.Info.Serves];
  Pool.ByDistance[static_cast<size_t>(State.Away)].push_back(Index);
}

void EndpointTable::leavePool(EndpointIndex Index) {
  const EndpointState &State = this->at(Index);
  EndpointPool &Pool = this->Pools[State.Info.Serves];
  std::erase(Pool.ByDistance[static_cast<size_t>(State.Away)], Index);
}

} // namespace camphornotch
