/// @file
/// Choice of an endpoint: the default policy and the baselines.

#include "core/routing/choice_func.h"

#include "base/hash_func.h"
#include "base/text_func.h"
#include "rules/lookup_func.h"

#include <algorithm>
#include <limits>

namespace camphornotch {

namespace {

/// One-way network time to another data centre of the region, there and back.
constexpr double OtherCentreMs = 3;
/// Network time to another region, there and back.
constexpr double OtherRegionMs = 20;
/// Assumed time of short work at an endpoint that has not answered any.
constexpr double UnknownLatencyMs = 1;
/// Assumed microseconds per token before any figure.
constexpr double UnknownTokenMicros = 10000;
/// Endpoint whose figure is missing: assumed places.
constexpr int32_t UnknownSlots = 4;

/// A candidate and its cost.
struct Candidate {
  /// Which endpoint.
  EndpointIndex Index;
  /// Lower is better.
  double Cost = std::numeric_limits<double>::infinity();
};

/// Everything one choice reads.
struct ChoiceContext {
  /// The endpoints.
  const EndpointTable &Table;
  /// What is needed.
  const ChoiceRequest &Request;
  /// The time.
  Millis Now;
  /// The generator.
  RandomSource &Random;
};

/// @param Context the choice.
/// @param Index an endpoint.
/// @return whether the work may go there.
bool isUsable(const ChoiceContext &Context, EndpointIndex Index) {
  if (!Context.Table.isEligible(Index, Context.Now))
    return false;
  const auto *Excluded = Context.Request.Excluded;
  if (Excluded &&
      std::find(Excluded->begin(), Excluded->end(), Index) != Excluded->end())
    return false;
  const auto *Engines = Context.Request.Engines;
  if (Engines && !allowsEndpoint(*Engines, Context.Table.at(Index)))
    return false;
  return !Context.Request.NeedsPlace ||
         hasPlace(Context.Table, Index, Context.Request.Lookahead);
}

/// @param State an endpoint.
/// @return network milliseconds there and back.
double networkMs(const EndpointState &State) {
  switch (State.Away) {
  case Distance::SameDataCentre:
    return 0;
  case Distance::SameRegion:
    return OtherCentreMs;
  case Distance::OtherRegion:
    return OtherRegionMs;
  }
  return 0;
}

/// @param State an endpoint.
/// @param Pool its pool.
/// @return microseconds per token there.
double tokenMicros(const EndpointState &State, const EndpointPool &Pool) {
  if (State.Load.TokenMicros > 0)
    return static_cast<double>(State.Load.TokenMicros);
  return Pool.TokenMicros > 0 ? Pool.TokenMicros : UnknownTokenMicros;
}

/// @param State an endpoint.
/// @return its places, assumed if it has sent no figure.
int32_t slotsOf(const EndpointState &State) {
  return State.Load.Slots > 0 ? State.Load.Slots : UnknownSlots;
}

/// @param Table the endpoints.
/// @param Index a plain service.
/// @return the expected milliseconds of one call there.
double serviceEstimateMs(const EndpointTable &Table, EndpointIndex Index) {
  const EndpointState &State = Table.at(Index);
  const double OneCall =
      State.ShortLatencyMs > 0 ? State.ShortLatencyMs : UnknownLatencyMs;
  const double Waiting =
      static_cast<double>(Table.outstanding(Index)) / slotsOf(State);
  return OneCall * (1 + Waiting);
}

/// @param Policy the default policy.
/// @param Away a distance.
/// @return by how much estimates at that distance are raised.
double distanceFactor(const ProbingPolicy &Policy, Distance Away) {
  switch (Away) {
  case Distance::SameDataCentre:
    return 1;
  case Distance::SameRegion:
    return Policy.OtherCentreFactor;
  case Distance::OtherRegion:
    return Policy.OtherRegionFactor;
  }
  return 1;
}

/// Compares one endpoint with the best so far.
/// @param Policy the default policy.
/// @param Context the choice.
/// @param Index the endpoint.
/// @param Best updated if this one is better.
void consider(const ProbingPolicy &Policy, const ChoiceContext &Context,
              EndpointIndex Index, Candidate &Best) {
  if (!isUsable(Context, Index))
    return;
  const Distance Away = Context.Table.at(Index).Away;
  const double Cost = estimateMs(Context.Table, Index, Context.Request) *
                      distanceFactor(Policy, Away);
  if (Cost < Best.Cost)
    Best = Candidate{Index, Cost};
}

/// Compares some or all members of one list.
/// @param Policy the default policy.
/// @param Context the choice.
/// @param Members the list.
/// @param Best updated with the best one.
void considerList(const ProbingPolicy &Policy, const ChoiceContext &Context,
                  const std::vector<EndpointIndex> &Members, Candidate &Best) {
  const size_t Size = Members.size();
  if (Size <= Policy.CompareAllUpTo) {
    // A random start breaks ties evenly.
    const size_t Start = Size == 0 ? 0 : Context.Random() % Size;
    for (size_t Step = 0; Step < Size; ++Step)
      consider(Policy, Context, Members[(Start + Step) % Size], Best);
    return;
  }
  for (uint32_t Draw = 0; Draw < Policy.Candidates; ++Draw)
    consider(Policy, Context, Members[Context.Random() % Size], Best);
}

/// @param Context the choice.
/// @param Members candidates for an affinity key.
/// @return the usable one that the key ranks first.
std::optional<EndpointIndex>
affineEndpoint(const ChoiceContext &Context,
               const std::vector<EndpointIndex> &Members) {
  std::optional<EndpointIndex> First;
  uint64_t Highest = 0;
  for (const EndpointIndex Index : Members) {
    const std::string &Name = Context.Table.at(Index).Info.Endpoint.Value;
    const uint64_t Score = rendezvousScore(Context.Request.Affinity, Name);
    if (First && Score <= Highest)
      continue;
    if (!isUsable(Context, Index))
      continue;
    First = Index;
    Highest = Score;
  }
  return First;
}

/// @param Context the choice.
/// @return whether a distance may be used, by the narrow link's budget.
/// @param Away the distance.
bool isAllowed(const ChoiceContext &Context, Distance Away) {
  return Away != Distance::OtherRegion || Context.Request.OtherRegionAllowed;
}

/// Chooses by the default policy.
/// @param Policy the policy.
/// @param Context the choice.
/// @return the endpoint, if any is usable.
std::optional<EndpointIndex> choose(ProbingPolicy &Policy,
                                    const ChoiceContext &Context) {
  const EndpointPool &Pool = Context.Table.pool(Context.Request.Serves);
  Candidate Best;
  for (size_t Away = 0; Away < DistanceCount; ++Away)
    if (isAllowed(Context, static_cast<Distance>(Away)))
      considerList(Policy, Context, Pool.ByDistance[Away], Best);
  if (Best.Cost == std::numeric_limits<double>::infinity())
    return std::nullopt;
  if (Context.Request.Affinity.empty())
    return Best.Index;
  const auto Affine = affineEndpoint(Context, Pool.ByDistance[0]);
  if (!Affine)
    return Best.Index;
  const double AffineCost = estimateMs(Context.Table, *Affine, Context.Request);
  return AffineCost <= Best.Cost * Policy.AffinityFactor ? *Affine : Best.Index;
}

/// @param Context the choice.
/// @return every usable endpoint, at any distance.
std::vector<EndpointIndex> usableEverywhere(const ChoiceContext &Context) {
  const EndpointPool &Pool = Context.Table.pool(Context.Request.Serves);
  std::vector<EndpointIndex> Usable;
  for (const auto &Members : Pool.ByDistance)
    for (const EndpointIndex Index : Members)
      if (isUsable(Context, Index))
        Usable.push_back(Index);
  return Usable;
}

/// Chooses each usable endpoint in turn.
/// @param Policy the policy, whose turn advances.
/// @param Context the choice.
/// @return the endpoint, if any is usable.
std::optional<EndpointIndex> choose(RoundRobinPolicy &Policy,
                                    const ChoiceContext &Context) {
  const auto Usable = usableEverywhere(Context);
  if (Usable.empty())
    return std::nullopt;
  return Usable[Policy.Turn++ % Usable.size()];
}

/// Chooses the usable endpoint with the fewest own requests.
/// @param Context the choice.
/// @return the endpoint, if any is usable.
std::optional<EndpointIndex> choose(LeastOutstandingPolicy & /*Policy*/,
                                    const ChoiceContext &Context) {
  const auto Usable = usableEverywhere(Context);
  if (Usable.empty())
    return std::nullopt;
  const auto Fewer = [&](EndpointIndex Left, EndpointIndex Right) {
    return Context.Table.at(Left).InFlight < Context.Table.at(Right).InFlight;
  };
  const size_t Start = Context.Random() % Usable.size();
  const auto Middle = Usable.begin() + static_cast<ptrdiff_t>(Start);
  const auto Best = std::min_element(Middle, Usable.end(), Fewer);
  const auto Other = std::min_element(Usable.begin(), Middle, Fewer);
  if (Other != Middle && Fewer(*Other, *Best))
    return *Other;
  return *Best;
}

} // namespace

bool allowsEndpoint(std::span<const std::string> Patterns,
                    const EndpointState &Endpoint) {
  if (Patterns.empty())
    return true;
  return std::any_of(
      Patterns.begin(), Patterns.end(), [&](const std::string &Pattern) {
        return matchesPattern(Pattern, Endpoint.Info.Endpoint.Value);
      });
}

std::optional<EndpointIndex> chooseEndpoint(ChoicePolicy &Policy,
                                            const EndpointTable &Table,
                                            const ChoiceRequest &Request,
                                            Millis Now, RandomSource &Random) {
  const ChoiceContext Context{Table, Request, Now, Random};
  return std::visit([&](auto &Chosen) { return choose(Chosen, Context); },
                    Policy);
}

double estimateMs(const EndpointTable &Table, EndpointIndex Index,
                  const ChoiceRequest &Request) {
  const EndpointState &State = Table.at(Index);
  const double Network = networkMs(State);
  if (State.Info.Kind == EndpointKind::Service)
    return Network + serviceEstimateMs(Table, Index);
  const EndpointPool &Pool = Table.pool(State.Info.Serves);
  const double PerToken = tokenMicros(State, Pool) / 1000;
  const bool IsShort = Request.Class == wire::WorkClass::Short;
  const double Reported = static_cast<double>(
      IsShort ? State.Load.ShortWaitMs : State.Load.ExpectedWaitMs);
  // What was sent since the figure waits or runs there too.
  const double Added = static_cast<double>(State.TokensSince) * PerToken /
                       static_cast<double>(slotsOf(State));
  const double Busy = static_cast<double>(Table.outstanding(Index)) /
                      static_cast<double>(slotsOf(State));
  const double Tokens =
      std::max<double>(1, static_cast<double>(Request.ExpectedTokens));
  return Network + Reported + Added + Tokens * PerToken + Busy;
}

int32_t freePlaces(const EndpointTable &Table, EndpointIndex Index) {
  const EndpointState &State = Table.at(Index);
  if (State.Load.Swapping)
    return 0;
  return slotsOf(State) - State.Load.ShortReserve - Table.outstanding(Index);
}

bool hasPlace(const EndpointTable &Table, EndpointIndex Index,
              int32_t Lookahead) {
  if (freePlaces(Table, Index) > 0)
    return true;
  const EndpointState &State = Table.at(Index);
  if (State.Load.Swapping)
    return false;
  return Table.ownWaiting(Index) < Lookahead;
}

Result<ChoicePolicy> parseChoicePolicy(std::string_view Name) {
  if (Name == "probing")
    return ChoicePolicy{ProbingPolicy{}};
  if (Name == "round_robin")
    return ChoicePolicy{RoundRobinPolicy{}};
  if (Name == "least_outstanding")
    return ChoicePolicy{LeastOutstandingPolicy{}};
  return Error{ErrorKind::BadRule,
               concat("unknown routing policy \"", Name, "\""),
               "write probing, round_robin or least_outstanding"};
}

} // namespace camphornotch
