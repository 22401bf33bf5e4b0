/// @file
/// The endpoints of all services, and the choice among them.

#include "core/gateway/endpoint_pool_base.h"

#include <algorithm>
#include <array>

namespace camphornotch {

namespace {

/// Round trip by nearness, in milliseconds; from the sites' link delays.
constexpr std::array<double, 3> RoundTripMs{1.0, 4.0, 26.0};
/// Time of work at an endpoint not measured yet, in milliseconds: the mean of
/// the sites' shortest kind of request.
constexpr double UnknownTypicalMs = 20.0;
/// Part of a new measurement in the smoothed time.
constexpr double NewPart = 0.2;
/// How many times as fast another engine must be for a stream to move there:
/// above the differences between sound engines of the sites.
constexpr double MuchFaster = 1.4;
/// A loader's words older than this are not used: several of its intervals.
constexpr Millis LoadMaxAge{1'500};
/// Time that an endpoint is avoided after its first failure; doubles.
constexpr Millis AvoidFirst{150};
/// Longest time that an endpoint is avoided; engines restart within seconds.
constexpr Millis AvoidMost{2'000};
/// Time that an endpoint is avoided after it was full.
constexpr Millis AvoidRefusing{60};
/// A measurement older than this no longer speaks against an endpoint: the
/// sites' neighbours slow an endpoint for seconds at a time.
constexpr Millis MeasurementMaxAge{3'000};
/// Factor on the expected time of an endpoint that is to be avoided.
constexpr double AvoidFactor = 50.0;

} // namespace

EndpointPool::EndpointPool(Geography Places, EndpointChoice Choice)
    : Places(std::move(Places)), Choice(Choice) {}

bool EndpointPool::put(EndpointRecord Record) {
  const auto Found = this->Endpoints.find(Record.Id);
  const bool Same = Found != this->Endpoints.end() &&
                    Found->second.Record.BornMs == Record.BornMs &&
                    Found->second.Record.Where == Record.Where;
  if (!Same) {
    EndpointState State;
    State.Near = this->nearnessOf(Record.DataCentre);
    const EndpointId Id = Record.Id;
    State.Record = std::move(Record);
    this->Endpoints.insert_or_assign(Id, std::move(State));
    return true;
  }
  EndpointRecord &Known = Found->second.Record;
  const bool News = Known.Draining != Record.Draining ||
                    Known.Versions != Record.Versions ||
                    Known.Service != Record.Service;
  Known = std::move(Record);
  return News;
}

void EndpointPool::remove(const EndpointId &Id) { this->Endpoints.erase(Id); }

void EndpointPool::loadReported(const Address &Where, const EngineLoad &Load,
                                Millis Now) {
  for (auto &[Id, State] : this->Endpoints) {
    if (State.Record.Where != Where)
      continue;
    State.Load = Load;
    State.LoadAt = Now;
    State.BegunSince = 0;
  }
}

bool EndpointPool::hasFreshLoad(const EndpointState &State, Millis Now) {
  return State.Load.has_value() && Now - State.LoadAt <= LoadMaxAge;
}

int64_t EndpointPool::versionOf(const EndpointState &State,
                                const std::string &Model, Millis Now) {
  const auto In = [&Model](const ModelVersions &Versions) -> int64_t {
    const auto Version = Versions.find(Model);
    return Version == Versions.end() ? 0 : Version->second;
  };
  if (!State.Load.has_value())
    return In(State.Record.Versions);
  const int64_t Told = In(State.Load->Versions);
  // The registry lags behind a loader, and goes on where one was lost.
  return EndpointPool::hasFreshLoad(State, Now)
             ? Told
             : std::max(Told, In(State.Record.Versions));
}

int64_t EndpointPool::newestVersion(std::string_view Service,
                                    const std::string &Model,
                                    Millis Now) const {
  int64_t Newest = 0;
  for (const auto &[Id, State] : this->Endpoints)
    if (State.Record.Service == Service)
      Newest = std::max(Newest, EndpointPool::versionOf(State, Model, Now));
  return Newest;
}

bool EndpointPool::eligible(const EndpointState &State,
                            const EndpointQuery &Query, Millis Now) {
  const EndpointRecord &Record = State.Record;
  if (Record.Service != Query.Service || Record.Draining ||
      Query.Except.contains(Record.Id))
    return false;
  if (Query.Model.empty())
    return true;
  if (EndpointPool::versionOf(State, std::string(Query.Model), Now) <
      std::max<int64_t>(Query.MinVersion, 1))
    return false;
  return !EndpointPool::hasFreshLoad(State, Now) ||
         State.Load->LoadingModel != Query.Model;
}

int64_t EndpointPool::workAt(const EndpointState &State, Millis Now) const {
  if (!EndpointPool::hasFreshLoad(State, Now))
    return State.Outstanding;
  const int64_t Told =
      State.Load->Running + State.Load->Waiting + State.BegunSince;
  return std::max(Told, State.Outstanding);
}

bool EndpointPool::isMeasured(const EndpointState &State, Millis Now) {
  return State.TypicalMs > 0 && Now - State.MeasuredAt < MeasurementMaxAge;
}

double EndpointPool::bestTypical(std::string_view Service, Millis Now) const {
  double Best = 0;
  for (const auto &[Id, State] : this->Endpoints)
    if (State.Record.Service == Service &&
        EndpointPool::isMeasured(State, Now) &&
        (Best == 0 || State.TypicalMs < Best))
      Best = State.TypicalMs;
  return Best > 0 ? Best : UnknownTypicalMs;
}

double EndpointPool::expectedTime(const EndpointState &State, double Unmeasured,
                                  Millis Now) const {
  const bool Measured = EndpointPool::isMeasured(State, Now);
  const double Trip = RoundTripMs[static_cast<size_t>(State.Near)];
  const double Own = Measured ? State.TypicalMs : Unmeasured + Trip;
  const auto Slots =
      static_cast<double>(std::max<int64_t>(State.Record.Slots, 1));
  const double Work = static_cast<double>(this->workAt(State, Now)) / Slots;
  // Work shares the endpoint before it waits for it.
  const double Stretch = 1.0 + 0.5 * Work + (Work >= 1.0 ? Work : 0.0);
  return Now < State.AvoidUntil ? Own * Stretch * AvoidFactor : Own * Stretch;
}

double EndpointPool::rank(const EndpointState &State, double Unmeasured,
                          Millis Now) const {
  struct Visitor {
    const EndpointPool &Pool;
    const EndpointState &State;
    double Unmeasured;
    Millis Now;
    double operator()(const ByExpectedTime & /*By*/) const {
      return this->Pool.expectedTime(this->State, this->Unmeasured, this->Now);
    }
    double operator()(const ByLeastOutstanding & /*By*/) const {
      return static_cast<double>(this->State.Outstanding);
    }
    double operator()(const ByTurn & /*By*/) const {
      return static_cast<double>(this->State.LastTurn);
    }
  };
  return std::visit(Visitor{*this, State, Unmeasured, Now}, this->Choice);
}

const EndpointState *EndpointPool::choose(const EndpointQuery &Query,
                                          Millis Now) const {
  const double Unmeasured = this->bestTypical(Query.Service, Now);
  const EndpointState *Best = nullptr;
  double BestRank = 0;
  for (const auto &[Id, State] : this->Endpoints) {
    if (!EndpointPool::eligible(State, Query, Now))
      continue;
    if (Query.FreeSlots > 0 &&
        (Now < State.AvoidUntil ||
         this->workAt(State, Now) + Query.FreeSlots > State.Record.Slots))
      continue;
    const double Rank = this->rank(State, Unmeasured, Now);
    if (Best == nullptr || Rank < BestRank) {
      Best = &State;
      BestRank = Rank;
    }
  }
  return Best;
}

void EndpointPool::begun(const EndpointId &Id) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  ++Found->second.Outstanding;
  ++Found->second.BegunSince;
  Found->second.LastTurn = ++this->Turns;
}

void EndpointPool::ended(const EndpointId &Id, WorkEnd End, Millis Took,
                         Millis Now) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  EndpointState &State = Found->second;
  State.Outstanding = std::max<int64_t>(State.Outstanding - 1, 0);
  if (Took > Millis{0})
    EndpointPool::measure(State, Took, Now);
  switch (End) {
  case WorkEnd::Answered:
    State.Failures = 0;
    State.AvoidUntil = Millis{0};
    return;
  case WorkEnd::Refused:
    State.AvoidUntil = std::max(State.AvoidUntil, Now + AvoidRefusing);
    return;
  case WorkEnd::Misdirected:
    State.AvoidUntil = Now + AvoidMost;
    return;
  case WorkEnd::Broken:
  case WorkEnd::Silent: {
    const auto Doublings = std::min<int64_t>(State.Failures, 8);
    const Millis Avoid = std::min(AvoidFirst * (1LL << Doublings), AvoidMost);
    State.AvoidUntil = std::max(State.AvoidUntil, Now + Avoid);
    ++State.Failures;
    return;
  }
  case WorkEnd::Abandoned:
    return;
  }
}

void EndpointPool::measure(EndpointState &State, Millis Took, Millis Now) {
  const auto New = static_cast<double>(Took.Count);
  State.TypicalMs = State.TypicalMs > 0
                        ? State.TypicalMs * (1 - NewPart) + New * NewPart
                        : New;
  State.MeasuredAt = Now;
}

void EndpointPool::paceSeen(const EndpointId &Id, Millis Gap, Millis Now) {
  const auto Found = this->Endpoints.find(Id);
  if (Found != this->Endpoints.end())
    EndpointPool::measure(Found->second, Gap, Now);
}

const EndpointState *EndpointPool::faster(const EndpointId &Id,
                                          EndpointQuery Query,
                                          Millis Now) const {
  const EndpointState *Present = this->find(Id);
  if (Present == nullptr || !EndpointPool::isMeasured(*Present, Now))
    return nullptr;
  Query.Except.insert(Id);
  Query.FreeSlots = 1;
  const EndpointState *Other = this->choose(Query, Now);
  const bool Worth = Other != nullptr &&
                     EndpointPool::isMeasured(*Other, Now) &&
                     Present->TypicalMs > Other->TypicalMs * MuchFaster;
  return Worth ? Other : nullptr;
}

void EndpointPool::versionSeen(const EndpointId &Id, const std::string &Model,
                               int64_t Version) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  Found->second.Record.Versions[Model] = Version;
  if (Found->second.Load.has_value())
    Found->second.Load->Versions[Model] = Version;
}

const EndpointState *EndpointPool::find(const EndpointId &Id) const {
  const auto Found = this->Endpoints.find(Id);
  return Found == this->Endpoints.end() ? nullptr : &Found->second;
}

Nearness EndpointPool::nearnessOf(const std::string &DataCentre) const {
  if (DataCentre == this->Places.Here)
    return Nearness::SameDataCentre;
  const auto Here = this->Places.Regions.find(this->Places.Here);
  const auto There = this->Places.Regions.find(DataCentre);
  const bool Known =
      Here != this->Places.Regions.end() && There != this->Places.Regions.end();
  return Known && Here->second == There->second ? Nearness::SameRegion
                                                : Nearness::OtherRegion;
}

} // namespace camphornotch
