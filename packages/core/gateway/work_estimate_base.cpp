/// @file
/// Estimates how much work requests cause, from completed ones.

#include "core/gateway/work_estimate_base.h"

#include <algorithm>
#include <cmath>

namespace camphornotch {

namespace {

/// Weight that earlier values keep at each new one: the last 200 count.
constexpr double KeptWeight = 0.995;
/// log2 of the lower bound of the first bucket.
constexpr double FirstExponent = -8;
constexpr double BucketsPerDoubling = 2;
/// Weight of the prior, in completed requests.
constexpr double PriorWeight = 4;
/// Weight of the route's totals beside the ratios to the hint: hints are right
/// in the median, but often far off.
constexpr double TotalsBesideHints = 0.25;
/// Expected remaining work by the prior, as a share of the work done; that of a
/// Pareto distribution with exponent 3.
constexpr double PriorTail = 0.5;
/// Share of requests whose remaining work is below leastRemaining().
constexpr double LeastShare = 0.1;
/// Lower bound of the estimates: one that runs still has something to do.
constexpr double MinRemaining = 0.5;

/// @return the share of the prior's requests with more than the work done.
double priorSurvival(double Done, double Mean) {
  // Lomax distribution with shape 3: its scale is twice the mean.
  const double Base = 1 + Done / (2 * Mean);
  return 1 / (Base * Base * Base);
}

} // namespace

size_t DecayedDistribution::bucketOf(double Value) {
  const double Position =
      (std::log2(Value) - FirstExponent) * BucketsPerDoubling;
  return static_cast<size_t>(
      std::clamp(Position, 0.0, static_cast<double>(BucketCount - 1)));
}

void DecayedDistribution::add(double Value) {
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    this->Weights[Index] *= KeptWeight;
    this->Sums[Index] *= KeptWeight;
  }
  const size_t Bucket = DecayedDistribution::bucketOf(Value);
  this->Weights[Bucket] += 1;
  this->Sums[Bucket] += Value;
}

double DecayedDistribution::excessOver(double Threshold, double &Weight) const {
  const size_t First =
      Threshold > 0 ? DecayedDistribution::bucketOf(Threshold) : 0;
  double Excess = 0;
  Weight = 0;
  for (size_t Index = First; Index < BucketCount; ++Index) {
    // Values of the threshold's own bucket count as its mean.
    if (this->Weights[Index] <= 0 ||
        this->Sums[Index] <= Threshold * this->Weights[Index])
      continue;
    Excess += this->Sums[Index] - Threshold * this->Weights[Index];
    Weight += this->Weights[Index];
  }
  return Excess;
}

double DecayedDistribution::quantileOver(double Threshold, double Share) const {
  double Total = 0;
  this->excessOver(Threshold, Total);
  double Seen = 0;
  for (size_t Index = 0; Index < BucketCount; ++Index) {
    if (this->Weights[Index] <= 0 ||
        this->Sums[Index] <= Threshold * this->Weights[Index])
      continue;
    Seen += this->Weights[Index];
    if (Seen >= Total * Share)
      return this->Sums[Index] / this->Weights[Index];
  }
  return Threshold;
}

const WorkEstimator::RouteHistory *
WorkEstimator::find(std::string_view Route) const {
  const auto Found = this->Routes.find(Route);
  return Found == this->Routes.end() ? nullptr : &Found->second;
}

WorkEstimator::RouteHistory &WorkEstimator::obtain(std::string_view Route) {
  const auto Found = this->Routes.find(Route);
  if (Found != this->Routes.end())
    return Found->second;
  if (this->Routes.size() >= MaxRoutes)
    this->Routes.erase(
        std::ranges::min_element(this->Routes, {}, [](const auto &Each) {
          return Each.second.LearnedAt;
        }));
  return this->Routes[std::string(Route)];
}

void WorkEstimator::learn(std::string_view Route, int64_t LengthHint,
                          double Total) {
  if (!(Total > 0) || !std::isfinite(Total))
    return;
  RouteHistory &History = this->obtain(Route);
  History.LearnedAt = ++this->LearnedCount;
  History.Totals.add(Total);
  History.TotalSum = History.TotalSum * KeptWeight + Total;
  History.SquareSum = History.SquareSum * KeptWeight + Total * Total;
  if (LengthHint > 0)
    History.Ratios.add(Total / static_cast<double>(LengthHint));
}

double WorkEstimator::remaining(const WorkTraits &Traits) const {
  const double Done = std::max(Traits.Done, 0.0);
  const double Survival = priorSurvival(Done, this->PriorMean);
  double Weight = PriorWeight * Survival;
  double Excess = Weight * (this->PriorMean + PriorTail * Done);
  if (const RouteHistory *History = this->find(Traits.Route)) {
    double TotalWeight = 0;
    const double TotalExcess = History->Totals.excessOver(Done, TotalWeight);
    double HintWeight = 0;
    if (Traits.LengthHint > 0) {
      const auto Hint = static_cast<double>(Traits.LengthHint);
      Excess += Hint * History->Ratios.excessOver(Done / Hint, HintWeight);
      Weight += HintWeight;
    }
    const double Share = HintWeight > 0 ? TotalsBesideHints : 1;
    Excess += TotalExcess * Share;
    Weight += TotalWeight * Share;
  }
  return std::max(Excess / Weight, MinRemaining);
}

double WorkEstimator::leastRemaining(const WorkTraits &Traits) const {
  const double Done = std::max(Traits.Done, 0.0);
  const RouteHistory *History = this->find(Traits.Route);
  if (History == nullptr)
    return MinRemaining;
  double Least = History->Totals.quantileOver(Done, LeastShare);
  if (Traits.LengthHint > 0) {
    const auto Hint = static_cast<double>(Traits.LengthHint);
    const double ByHint =
        Hint * History->Ratios.quantileOver(Done / Hint, LeastShare);
    if (ByHint > Done)
      Least = std::min(Least, ByHint);
  }
  return std::max(Least - Done, MinRemaining);
}

double WorkEstimator::typicalRemaining(std::string_view Route) const {
  // Long requests are met more often while they run: the mean remaining work
  // is half of the mean square over the mean.
  const double PriorSquare = 2 * this->PriorMean * this->PriorMean;
  double Sum = PriorWeight * this->PriorMean;
  double Squares = PriorWeight * PriorSquare;
  if (const RouteHistory *History = this->find(Route)) {
    Sum += History->TotalSum;
    Squares += History->SquareSum;
  }
  return std::max(Squares / Sum / 2, MinRemaining);
}

} // namespace camphornotch
