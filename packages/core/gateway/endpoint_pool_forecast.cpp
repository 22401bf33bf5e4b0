/// @file
/// Chooses endpoints by when they are expected to finish a request.

#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/endpoint_pool_internal.h"

#include <algorithm>
#include <array>

namespace camphornotch {

namespace {

/// Candidates drawn in all, in the region and in the own data centre. Fewer
/// miss the fast engines when half of all are slowed; more send the gateways
/// that have the same old view to the same engines
/// (docs/design/cost-placement.md has the figures).
constexpr size_t Candidates = 5;
constexpr size_t CandidatesInRegion = 4;
constexpr size_t CandidatesInDataCentre = 1;
/// Endpoints of each distance that are looked at, as some may not be chosen.
constexpr size_t MaxDraws = 6;
/// Candidates drawn when few endpoints may be chosen.
constexpr size_t LastCandidates = 3;
/// Endpoints looked at for an item when these draws find none. Bounds the time
/// while all engines are full: below 50 microseconds.
constexpr size_t MaxLookedForItems = 1'024;
/// Time of an event at an engine without other work, and time of a plain
/// request, where nothing is measured.
constexpr double PriorPaceMs = 27.0;
/// Events of an item and milliseconds of a request of which nothing is known.
constexpr double PriorEvents = 12.0;
constexpr double PriorMs = 20.0;
/// How much longer an event takes at an engine with all slots in use than at
/// one without other work, as a share; expectedTime() assumes the same.
constexpr double SlotSlowdown = 0.5;
/// Tokens of a prompt that an engine reads in a millisecond: the lowest of the
/// sites, so that prompts are rather not moved.
constexpr double PromptTokensPerMs = 341.0;
/// A report is not believed if this process's own runs there are slower by more
/// than this factor, ...
constexpr double Contradiction = 2.0;
/// ... measured within this time. Engines recover within two reports.
constexpr Millis ContradictionMaxAge{600};
/// Interval at which a service's median is updated.
constexpr Millis MedianInterval{250};
/// Endpoints that the median is taken of; bounds its time.
constexpr size_t MedianSample = 128;
/// Factor by which an engine must end a run sooner for it to move there. With
/// 1.4, twice as many runs move and none ends earlier.
constexpr double MinSpeedupMeasured = 1.7;
/// The same if the engine's pace is not known, because nothing runs there.
constexpr double MinSpeedupUnmeasured = 2.0;
/// Slots that must be free for a run to move there: other gateways may move
/// one at the same time.
constexpr int64_t FreeSlotsToMove = 2;
/// Share of the forecast wait that counts when a request is refused by it: the
/// queue may move faster than expected.
constexpr double WaitTrust = 0.5;

/// @return the next number of a SplitMix64 generator.
uint64_t nextDraw(uint64_t &State) {
  State += 0x9E3779B97F4A7C15ULL;
  uint64_t Mixed = State;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

double slotsOf(const EndpointState &State) {
  return static_cast<double>(std::max<int64_t>(State.Record.Slots, 1));
}

/// @return the factor on the time of an event with this many runs.
double crowding(const EndpointState &State, double Runs) {
  const double Slots = slotsOf(State);
  return 1.0 + SlotSlowdown * std::min(Runs, Slots) / Slots;
}

/// @return how many candidates to draw of each distance; where one has too few,
///   the others get its share.
std::array<size_t, 3> candidateShares(const ServiceEndpoints &Service) {
  const auto &[Near, Region, Far] = Service.ByDistance;
  const size_t OfRegion = std::min(
      Region.size(),
      CandidatesInRegion - std::min(CandidatesInDataCentre, Near.size()));
  const size_t OfNear = std::min(Near.size(), CandidatesInRegion - OfRegion);
  return {OfNear, OfRegion,
          std::min(Far.size(), Candidates - OfNear - OfRegion)};
}

double amountOf(const ExpectedWork &Work) {
  if (Work.Amount > 0)
    return Work.Amount;
  return Work.Unit == WorkUnit::Events ? PriorEvents : PriorMs;
}

} // namespace

bool EndpointPool::usesForecasts() const {
  return std::holds_alternative<RemainingWorkChoice>(this->Choice);
}

std::optional<EndpointPool::Pace>
EndpointPool::ownPace(const EndpointState &State, Millis Now) const {
  const bool Reported =
      EndpointPool::hasFreshLoad(State, Now) && State.Load->PaceMs > 0;
  const bool IsEngine = State.Load.has_value() || State.EventMs > 0;
  if (!IsEngine) {
    if (!EndpointPool::isMeasured(State, Now))
      return std::nullopt;
    return Pace{State.SmoothedMs, PaceSource::Measured};
  }
  const Millis MaxAge = Reported ? ContradictionMaxAge : MeasurementMaxAge;
  const bool Measured =
      State.EventMs > 0 && Now - State.EventMeasuredAt < MaxAge;
  const auto ReportedMs =
      Reported ? static_cast<double>(State.Load->PaceMs) : 0.0;
  if (Reported && !(Measured && State.EventMs > ReportedMs * Contradiction))
    return Pace{ReportedMs /
                    crowding(State, static_cast<double>(State.Load->Running)),
                PaceSource::Reported};
  if (!Measured)
    return std::nullopt;
  return Pace{State.EventMs / crowding(State, static_cast<double>(
                                                  this->workAt(State, Now))),
              PaceSource::Measured};
}

void EndpointPool::updateMedian(std::string_view ServiceName, Millis Now) {
  if (!this->usesForecasts())
    return;
  ServiceEndpoints *Service = this->Index.find(ServiceName);
  if (Service == nullptr || Now - Service->MedianAt < MedianInterval)
    return;
  const size_t Stride = 1 + (Service->All.size() - 1) / MedianSample;
  std::vector<double> Times;
  for (size_t At = 0; At < Service->All.size(); At += Stride)
    if (const auto Known = this->ownPace(*Service->All[At], Now))
      Times.push_back(Known->Ms);
  if (Times.empty())
    return;
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::ranges::nth_element(Times, Middle);
  Service->MedianMs = *Middle;
  Service->MedianAt = Now;
}

WorkForecast EndpointPool::forecastAt(const EndpointState &State,
                                      const ServiceEndpoints &Service,
                                      const ExpectedWork &Work,
                                      Millis Now) const {
  WorkForecast Result;
  if (State.Load.has_value())
    Result.ViewAge = Now - State.LoadReceivedAt;
  const bool MedianKnown =
      Service.MedianMs > 0 && Now - Service.MedianAt < MeasurementMaxAge;
  const double Usual = MedianKnown ? Service.MedianMs : PriorPaceMs;
  const std::optional<Pace> Own = this->ownPace(State, Now);
  Result.Source = Own.has_value() ? Own->Source
                  : MedianKnown   ? PaceSource::Median
                                  : PaceSource::Prior;
  const double Alone = Own.has_value() ? Own->Ms : Usual;
  const auto Busy = static_cast<double>(this->workAt(State, Now));
  // Work in milliseconds was measured at endpoints with other work, too.
  const double UnitMs =
      Work.Unit == WorkUnit::Events
          ? Alone * crowding(State, Busy + 1)
          : Alone / Usual * crowding(State, Busy + 1) / crowding(State, 1);
  const double Typical = Work.Typical > 0 ? Work.Typical : amountOf(Work);
  const double Queued = std::max(Busy + 1 - slotsOf(State), 0.0);
  Result.WaitMs = Queued * Typical * UnitMs / slotsOf(State);
  Result.RunMs = amountOf(Work) * UnitMs +
                 static_cast<double>(Work.PromptTokens) / PromptTokensPerMs +
                 RoundTripMs[static_cast<size_t>(State.Distance)];
  return Result;
}

WorkForecast EndpointPool::forecast(const EndpointState &State,
                                    const ExpectedWork &Work,
                                    Millis Now) const {
  const ServiceEndpoints *Service = this->Index.find(State.Record.Service);
  return Service == nullptr ? WorkForecast{}
                            : this->forecastAt(State, *Service, Work, Now);
}

const EndpointState *EndpointPool::chooseDrawn(const EndpointQuery &Query,
                                               Millis Now) const {
  const ServiceEndpoints *Service = this->Index.find(Query.Service);
  if (Service == nullptr)
    return nullptr;
  uint64_t Draw = Query.Work.Draw;
  const EndpointState *Best = nullptr;
  double BestMs = 0;
  const auto Consider = [&](const EndpointState &State) {
    const double EndMs =
        this->forecastAt(State, *Service, Query.Work, Now).endMs();
    if (Best == nullptr || EndMs < BestMs) {
      Best = &State;
      BestMs = EndMs;
    }
  };
  const std::array<size_t, 3> Shares = candidateShares(*Service);
  size_t Wanted = 0;
  for (size_t Distance = 0; Distance < Shares.size(); ++Distance) {
    const std::vector<EndpointState *> &Group = Service->ByDistance[Distance];
    Wanted += Shares[Distance];
    if (Group.empty())
      continue;
    // A random step makes the second candidate another one than the first.
    size_t At = nextDraw(Draw) % Group.size();
    const size_t Stride =
        Group.size() == 1 ? 1 : 1 + nextDraw(Draw) % (Group.size() - 1);
    for (size_t Tries = std::min(MaxDraws, Group.size());
         Tries > 0 && Wanted > 0; --Tries) {
      const EndpointState &State = *Group[At];
      At = (At + Stride) % Group.size();
      if (Now < State.AvoidUntil || !this->mayTake(State, Query, Now))
        continue;
      Consider(State);
      --Wanted;
    }
  }
  if (Best != nullptr)
    return Best;
  // Few may be chosen, if any. An item looks again soon; a request has no other
  // chance.
  const size_t Looked = Query.MinFreeSlots > 0
                            ? std::min(Service->All.size(), MaxLookedForItems)
                            : Service->All.size();
  std::vector<const EndpointState *> Eligible;
  std::vector<const EndpointState *> Avoided;
  size_t At = nextDraw(Draw) % Service->All.size();
  for (size_t Count = 0; Count < Looked; ++Count) {
    const EndpointState *State = Service->All[At];
    At = At + 1 == Service->All.size() ? 0 : At + 1;
    if (this->mayTake(*State, Query, Now))
      (Now < State->AvoidUntil ? Avoided : Eligible).push_back(State);
  }
  if (Eligible.empty())
    Eligible = std::move(Avoided);
  for (size_t Count = 0; Count < LastCandidates && !Eligible.empty(); ++Count)
    Consider(*Eligible[nextDraw(Draw) % Eligible.size()]);
  return Best;
}

const EndpointState *EndpointPool::findSooner(const EndpointState &Current,
                                              EndpointQuery Query,
                                              Millis Now) const {
  const std::optional<Pace> Known = this->ownPace(Current, Now);
  if (!Known.has_value() || Query.Work.Unit != WorkUnit::Events)
    return nullptr;
  Query.ExcludedEndpoints.insert(Current.Record.Id);
  Query.MinFreeSlots = std::min(FreeSlotsToMove, Current.Record.Slots);
  const EndpointState *Other = this->chooseDrawn(Query, Now);
  if (Other == nullptr)
    return nullptr;
  const auto Busy = static_cast<double>(this->workAt(Current, Now));
  const double StayMs =
      amountOf(Query.Work) * Known->Ms * crowding(Current, Busy);
  const WorkForecast There = this->forecast(*Other, Query.Work, Now);
  const bool Measured = There.Source == PaceSource::Reported ||
                        There.Source == PaceSource::Measured;
  const bool Guessed = There.Source == PaceSource::Median &&
                       EndpointPool::hasFreshLoad(*Other, Now);
  if (!Measured && !Guessed)
    return nullptr;
  const double Speedup = Measured ? MinSpeedupMeasured : MinSpeedupUnmeasured;
  return StayMs > There.endMs() * Speedup ? Other : nullptr;
}

bool EndpointPool::canEndBy(const EndpointQuery &Query, Millis Deadline,
                            Millis Now) const {
  const ServiceEndpoints *Service = this->Index.find(Query.Service);
  if (Service == nullptr || Query.Work.Least <= 0)
    return true;
  ExpectedWork Least = Query.Work;
  Least.Amount = Query.Work.Least;
  Least.Typical =
      Query.Work.Typical > 0 ? Query.Work.Typical : Query.Work.Amount;
  const auto TimeLeft = static_cast<double>((Deadline - Now).Count);
  return std::ranges::any_of(Service->All, [&](const EndpointState *State) {
    if (!this->mayTake(*State, Query, Now))
      return false;
    const WorkForecast Each = this->forecastAt(*State, *Service, Least, Now);
    const bool Known = Each.Source == PaceSource::Reported ||
                       Each.Source == PaceSource::Measured;
    // Without a queue it is sent: its time is learned only then.
    return !Known || Each.WaitMs <= 0 ||
           Each.WaitMs * WaitTrust + Each.RunMs <= TimeLeft;
  });
}

} // namespace camphornotch
