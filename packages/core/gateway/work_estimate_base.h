/// @file
/// Estimates how much work requests cause, from completed ones.

#ifndef CAMPHORNOTCH_CORE_GATEWAY_WORK_ESTIMATE_BASE_H
#define CAMPHORNOTCH_CORE_GATEWAY_WORK_ESTIMATE_BASE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphornotch {

/// What is known about a request or item whose work is estimated.
struct WorkTraits {
  /// The route's name; requests of one route are alike.
  std::string_view Route;
  /// The caller's expected length, in any unit; 0: none given.
  int64_t LengthHint = 0;
  /// Work already done, in the unit that is learned.
  double Done = 0;
};

/// Decayed distribution of positive values, in buckets of equal ratio.
class DecayedDistribution {
public:
  /// Adds a value; all earlier ones lose a little of their weight.
  void add(double Value);

  /// Adds up the excess of the values over a threshold.
  /// @param[out] Weight gets the weight of the values over the threshold.
  /// @return the weighted sum of (value - threshold) over these values.
  double excessOver(double Threshold, double &Weight) const;

  /// @return a value that is below most of the values over the threshold: the
  ///   mean of the bucket in which their given share is reached; the threshold
  ///   if there are none.
  double quantileOver(double Threshold, double Share) const;

private:
  /// Two buckets for each doubling, from 2^-8 to 2^16.
  static constexpr size_t BucketCount = 48;

  static size_t bucketOf(double Value);

  std::array<double, BucketCount> Weights{};
  /// Weighted sums of the values in each bucket.
  std::array<double, BucketCount> Sums{};
};

/// Expected work of requests by route: events of items, or milliseconds of
/// plain requests; one object learns one unit. With a length hint, the ratio of
/// work to hint is learned, so that the hint's unit and bias do not matter.
/// Memory is bounded by MaxRoutes. Deterministic, without I/O.
class WorkEstimator {
public:
  /// Routes remembered at once; the one learned least recently is dropped.
  static constexpr size_t MaxRoutes = 128;

  /// @param PriorMean expected work of a request of a route that has not been
  ///   seen; the prior is a Pareto-like distribution with this mean.
  explicit WorkEstimator(double PriorMean) : PriorMean(PriorMean) {}

  /// Learns from a completed request.
  /// @param Total its work in all; ignored unless it is positive.
  void learn(std::string_view Route, int64_t LengthHint, double Total);

  /// @return the expected work that remains; above 0. It grows with what was
  ///   done where the completed requests had a long tail.
  double remaining(const WorkTraits &Traits) const;

  /// @return work that remains with a probability of about nine in ten, for
  ///   decisions that need to be right about too little time.
  double leastRemaining(const WorkTraits &Traits) const;

  /// @return the expected remaining work of a request that an endpoint is
  ///   running, seen at a random moment: half of the usual work for equal
  ///   lengths, and more for long tails.
  double typicalRemaining(std::string_view Route) const;

private:
  struct RouteHistory {
    DecayedDistribution Totals;
    /// Work of requests with a hint, divided by the hint.
    DecayedDistribution Ratios;
    /// Decayed sums of totals and of their squares, for typicalRemaining().
    double TotalSum = 0;
    double SquareSum = 0;
    /// When something was last learned, as a number of all learned requests.
    int64_t LearnedAt = 0;
  };

  const RouteHistory *find(std::string_view Route) const;
  /// @return the history of a route, for learning.
  RouteHistory &obtain(std::string_view Route);

  double PriorMean;
  int64_t LearnedCount = 0;
  std::map<std::string, RouteHistory, std::less<>> Routes;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_GATEWAY_WORK_ESTIMATE_BASE_H
