/// @file
/// Tracks the endpoints of all services and chooses among them.

#include "core/gateway/endpoint_pool_base.h"

#include "core/gateway/endpoint_pool_internal.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Time assumed for an endpoint not measured yet: the mean of the sites'
/// shortest kind of request.
constexpr double UnmeasuredMs = 20.0;
/// Weight of a new measurement in the smoothed time.
constexpr double SmoothingFactor = 0.2;
/// Factor by which another engine must be faster for a stream to move there;
/// healthy engines of the sites differ by less.
constexpr double MinSpeedup = 1.4;
/// Maximum age of a usable loader report: several report intervals.
constexpr Millis LoadMaxAge{1'500};
/// Factor on the expected time of an avoided endpoint.
constexpr double AvoidPenalty = 50.0;
/// Time that an endpoint is avoided after its first failure; doubles with each
/// further one.
constexpr Millis InitialAvoidTime{150};
/// Upper bound of that time; engines restart within seconds.
constexpr Millis MaxAvoidTime{2'000};
/// Time that an endpoint is avoided after it refused work.
constexpr Millis FullAvoidTime{60};
/// Time for which a lifetime without an entry in the directory stays marked as
/// leaving: the longest time for which the store keeps history.
constexpr Millis LeavingMemory{300'000};
/// Limit on the marks; a release replaces all endpoints of a service. Beyond
/// it, the older half goes.
constexpr size_t MaxLeavingMarks = 8'192;
/// Interval of the search for marks that are no longer needed.
constexpr Millis LeavingTrimInterval{10'000};

} // namespace

EndpointPool::EndpointPool(Geography Locations, EndpointChoice Choice)
    : Locations(std::move(Locations)), Choice(Choice) {}

bool EndpointPool::put(EndpointRecord Record) {
  const auto Found = this->Endpoints.find(Record.Id);
  const bool Same = Found != this->Endpoints.end() &&
                    Found->second.Record.StartedAtMs == Record.StartedAtMs &&
                    Found->second.Record.ListenAddress == Record.ListenAddress;
  if (!Same) {
    EndpointState State;
    State.Distance = this->distanceTo(Record.DataCentre);
    // Without a time of its start, another address or an entry that was gone
    // are the only signs of a new lifetime.
    if (Record.StartedAtMs == 0)
      this->LeavingMarks.erase(Record.lifetime());
    State.Leaving = this->LeavingMarks.contains(Record.lifetime());
    const EndpointId Id = Record.Id;
    State.Record = std::move(Record);
    if (Found != this->Endpoints.end())
      this->Index.remove(Found->second);
    this->Index.add(
        this->Endpoints.insert_or_assign(Id, std::move(State)).first->second);
    return true;
  }
  EndpointRecord &Known = Found->second.Record;
  const bool Changed =
      Known.Draining != Record.Draining || Known.Versions != Record.Versions ||
      Known.Software != Record.Software || Known.Service != Record.Service;
  const bool Reindexed = Known.Service != Record.Service;
  if (Reindexed)
    this->Index.remove(Found->second);
  Known = std::move(Record);
  if (Reindexed)
    this->Index.add(Found->second);
  return Changed;
}

void EndpointPool::noteChange(const EndpointId &Id, Millis Now) {
  const auto Found = this->Endpoints.find(Id);
  if (Found != this->Endpoints.end())
    Found->second.ChangedAt = Now;
}

void EndpointPool::remove(const EndpointId &Id) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  this->Index.remove(Found->second);
  this->Endpoints.erase(Found);
}

bool EndpointPool::leavingSeen(const EndpointLifetime &Lifetime, Millis Now) {
  if (!this->LeavingMarks.insert_or_assign(Lifetime, Now).second)
    return false;
  const auto Found = this->Endpoints.find(Lifetime.Id);
  if (Found != this->Endpoints.end() &&
      Found->second.Record.lifetime() == Lifetime)
    Found->second.Leaving = true;
  this->trimLeavingMarks(Now);
  return true;
}

void EndpointPool::trimLeavingMarks(Millis Now) {
  const bool TooMany = this->LeavingMarks.size() > MaxLeavingMarks;
  if (!TooMany && Now - this->LeavingTrimmedAt < LeavingTrimInterval)
    return;
  this->LeavingTrimmedAt = Now;
  std::erase_if(this->LeavingMarks, [this, Now](const auto &Mark) {
    const EndpointState *State = this->find(Mark.first.Id);
    const bool Registered =
        State != nullptr && State->Record.lifetime() == Mark.first;
    return !Registered && Now - Mark.second >= LeavingMemory;
  });
  if (this->LeavingMarks.size() <= MaxLeavingMarks)
    return;
  std::vector<Millis> Times;
  for (const auto &[Lifetime, At] : this->LeavingMarks)
    Times.push_back(At);
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::ranges::nth_element(Times, Middle);
  std::erase_if(this->LeavingMarks, [OldestKept = *Middle](const auto &Mark) {
    return Mark.second < OldestKept;
  });
  while (this->LeavingMarks.size() > MaxLeavingMarks)
    this->LeavingMarks.erase(this->LeavingMarks.begin());
}

void EndpointPool::loadReported(const Address &ListenAddress,
                                const EngineLoad &Load, Millis Now) {
  for (EndpointState *State : this->Index.at(ListenAddress)) {
    State->Load = Load;
    State->LoadReceivedAt = Now;
    State->StartedSinceLoad = 0;
    this->updateMedian(State->Record.Service, Now);
  }
}

bool EndpointPool::hasFreshLoad(const EndpointState &State, Millis Now) {
  return State.Load.has_value() && Now - State.LoadReceivedAt <= LoadMaxAge;
}

int64_t EndpointPool::versionOf(const EndpointState &State,
                                const std::string &Model, Millis Now) {
  const auto VersionIn = [&Model](const ModelVersions &Versions) -> int64_t {
    const auto Version = Versions.find(Model);
    return Version == Versions.end() ? 0 : Version->second;
  };
  if (!State.Load.has_value())
    return VersionIn(State.Record.Versions);
  const int64_t Reported = VersionIn(State.Load->Versions);
  // The registry lags behind the loader's reports, but stays up to date after
  // the loader is lost.
  return EndpointPool::hasFreshLoad(State, Now)
             ? Reported
             : std::max(Reported, VersionIn(State.Record.Versions));
}

int64_t EndpointPool::newestVersion(std::string_view Service,
                                    const std::string &Model,
                                    Millis Now) const {
  int64_t Newest = 0;
  if (const ServiceEndpoints *Found = this->Index.find(Service))
    for (const EndpointState *State : Found->All)
      Newest = std::max(Newest, EndpointPool::versionOf(*State, Model, Now));
  return Newest;
}

bool EndpointPool::isEligible(const EndpointState &State,
                              const EndpointQuery &Query, Millis Now) {
  const EndpointRecord &Record = State.Record;
  if (Record.Service != Query.Service || Record.Draining || State.Leaving ||
      Query.ExcludedEndpoints.contains(Record.Id) ||
      (Query.Software.has_value() && *Query.Software != Record.Software))
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
  const int64_t Reported =
      State.Load->Running + State.Load->Waiting + State.StartedSinceLoad;
  return std::max(Reported, State.Outstanding);
}

bool EndpointPool::isMeasured(const EndpointState &State, Millis Now) {
  return State.SmoothedMs > 0 && Now - State.MeasuredAt < MeasurementMaxAge;
}

double EndpointPool::shortestSmoothedMs(const ServiceEndpoints &Service,
                                        Millis Now) {
  double Best = 0;
  for (const EndpointState *State : Service.All)
    if (EndpointPool::isMeasured(*State, Now) &&
        (Best == 0 || State->SmoothedMs < Best))
      Best = State->SmoothedMs;
  return Best > 0 ? Best : UnmeasuredMs;
}

double EndpointPool::expectedTime(const EndpointState &State, double Unmeasured,
                                  Millis Now) const {
  const bool Measured = EndpointPool::isMeasured(State, Now);
  const double RoundTrip = RoundTripMs[static_cast<size_t>(State.Distance)];
  const double UnloadedMs =
      Measured ? State.SmoothedMs : Unmeasured + RoundTrip;
  const auto Slots =
      static_cast<double>(std::max<int64_t>(State.Record.Slots, 1));
  const double Work = static_cast<double>(this->workAt(State, Now)) / Slots;
  // Below one load per slot, work only slows other work down; above, it also
  // queues.
  const double LoadFactor = 1.0 + 0.5 * Work + (Work >= 1.0 ? Work : 0.0);
  return Now < State.AvoidUntil ? UnloadedMs * LoadFactor * AvoidPenalty
                                : UnloadedMs * LoadFactor;
}

double EndpointPool::rank(const EndpointState &State, double Unmeasured,
                          Millis Now) const {
  struct Visitor {
    const EndpointPool &Pool;
    const EndpointState &State;
    double Unmeasured;
    Millis Now;
    double operator()(const ExpectedTimeChoice & /*Choice*/) const {
      return this->Pool.expectedTime(this->State, this->Unmeasured, this->Now);
    }
    double operator()(const RemainingWorkChoice & /*Choice*/) const {
      return this->Pool.forecast(this->State, ExpectedWork{}, this->Now)
          .endMs();
    }
    double operator()(const LeastOutstandingChoice & /*Choice*/) const {
      return static_cast<double>(this->State.Outstanding);
    }
    double operator()(const RoundRobinChoice & /*Choice*/) const {
      return static_cast<double>(this->State.LastChoiceNumber);
    }
  };
  return std::visit(Visitor{*this, State, Unmeasured, Now}, this->Choice);
}

bool EndpointPool::mayTake(const EndpointState &State,
                           const EndpointQuery &Query, Millis Now) const {
  if (!EndpointPool::isEligible(State, Query, Now))
    return false;
  return Query.MinFreeSlots == 0 ||
         (Now >= State.AvoidUntil &&
          this->workAt(State, Now) + Query.MinFreeSlots <= State.Record.Slots);
}

const EndpointState *EndpointPool::choose(const EndpointQuery &Query,
                                          Millis Now) const {
  if (this->usesForecasts())
    return this->chooseDrawn(Query, Now);
  const ServiceEndpoints *Service = this->Index.find(Query.Service);
  if (Service == nullptr)
    return nullptr;
  const double Unmeasured = EndpointPool::shortestSmoothedMs(*Service, Now);
  const EndpointState *Best = nullptr;
  double BestRank = 0;
  for (const EndpointState *State : Service->All) {
    if (!this->mayTake(*State, Query, Now))
      continue;
    const double Rank = this->rank(*State, Unmeasured, Now);
    if (Best == nullptr || Rank < BestRank) {
      Best = State;
      BestRank = Rank;
    }
  }
  return Best;
}

bool EndpointPool::serves(const EndpointQuery &Query, Millis Now) const {
  const ServiceEndpoints *Service = this->Index.find(Query.Service);
  return Service != nullptr &&
         std::ranges::any_of(Service->All, [&](const EndpointState *State) {
           return EndpointPool::isEligible(*State, Query, Now);
         });
}

void EndpointPool::workStarted(const EndpointId &Id) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  ++Found->second.Outstanding;
  ++Found->second.StartedSinceLoad;
  Found->second.LastChoiceNumber = ++this->ChoiceCount;
}

void EndpointPool::workEnded(const EndpointId &Id, WorkOutcome Outcome,
                             Millis Elapsed, Millis Now) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  EndpointState &State = Found->second;
  State.Outstanding = std::max<int64_t>(State.Outstanding - 1, 0);
  if (Elapsed > Millis{0}) {
    EndpointPool::addMeasurement(State, Elapsed, Now);
    this->updateMedian(State.Record.Service, Now);
  }
  switch (Outcome) {
  case WorkOutcome::Answered:
    State.ConsecutiveFailures = 0;
    State.AvoidUntil = Millis{0};
    return;
  case WorkOutcome::Refused:
    State.AvoidUntil = std::max(State.AvoidUntil, Now + FullAvoidTime);
    return;
  case WorkOutcome::Misdirected:
    State.AvoidUntil = Now + MaxAvoidTime;
    return;
  case WorkOutcome::ConnectionBroken:
  case WorkOutcome::TimedOut: {
    const auto Doublings = std::min<int64_t>(State.ConsecutiveFailures, 8);
    const Millis Avoid =
        std::min(InitialAvoidTime * (1LL << Doublings), MaxAvoidTime);
    State.AvoidUntil = std::max(State.AvoidUntil, Now + Avoid);
    ++State.ConsecutiveFailures;
    return;
  }
  case WorkOutcome::Abandoned:
    return;
  }
}

void EndpointPool::addMeasurement(EndpointState &State, Millis Elapsed,
                                  Millis Now) {
  const auto New = static_cast<double>(Elapsed.Count);
  State.SmoothedMs =
      State.SmoothedMs > 0
          ? State.SmoothedMs * (1 - SmoothingFactor) + New * SmoothingFactor
          : New;
  State.MeasuredAt = Now;
}

void EndpointPool::paceMeasured(const EndpointId &Id, Millis Gap, Millis Now) {
  const auto Found = this->Endpoints.find(Id);
  if (Found == this->Endpoints.end())
    return;
  EndpointState &State = Found->second;
  EndpointPool::addMeasurement(State, Gap, Now);
  const auto New = static_cast<double>(Gap.Count);
  State.EventMs = State.EventMs > 0 ? State.EventMs * (1 - SmoothingFactor) +
                                          New * SmoothingFactor
                                    : New;
  State.EventMeasuredAt = Now;
  this->updateMedian(State.Record.Service, Now);
}

const EndpointState *EndpointPool::findFaster(const EndpointId &Id,
                                              EndpointQuery Query,
                                              Millis Now) const {
  const EndpointState *Current = this->find(Id);
  if (Current != nullptr && this->usesForecasts())
    return this->findSooner(*Current, std::move(Query), Now);
  if (Current == nullptr || !EndpointPool::isMeasured(*Current, Now))
    return nullptr;
  Query.ExcludedEndpoints.insert(Id);
  Query.MinFreeSlots = 1;
  const EndpointState *Other = this->choose(Query, Now);
  const bool IsWorthMoving =
      Other != nullptr && EndpointPool::isMeasured(*Other, Now) &&
      Current->SmoothedMs > Other->SmoothedMs * MinSpeedup;
  return IsWorthMoving ? Other : nullptr;
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

bool EndpointPool::keepsSoftware(const EndpointId &Id,
                                 std::string_view Software) const {
  const EndpointState *State = this->find(Id);
  return State == nullptr || State->Record.Software == Software;
}

NetworkDistance EndpointPool::distanceTo(const std::string &DataCentre) const {
  if (DataCentre == this->Locations.LocalDataCentre)
    return NetworkDistance::SameDataCentre;
  const auto Here =
      this->Locations.RegionByDataCentre.find(this->Locations.LocalDataCentre);
  const auto There = this->Locations.RegionByDataCentre.find(DataCentre);
  const bool Known = Here != this->Locations.RegionByDataCentre.end() &&
                     There != this->Locations.RegionByDataCentre.end();
  return Known && Here->second == There->second ? NetworkDistance::SameRegion
                                                : NetworkDistance::OtherRegion;
}

} // namespace camphornotch
