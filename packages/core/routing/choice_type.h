/// @file
/// The policies for choosing an endpoint, and what they are asked.

#ifndef CAMPHORNOTCH_CORE_ROUTING_CHOICE_TYPE_H
#define CAMPHORNOTCH_CORE_ROUTING_CHOICE_TYPE_H

#include "core/routing/endpoint_type.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphornotch {

/// Baseline: each endpoint in turn, whatever its load.
struct RoundRobinPolicy {
  /// How many choices were made.
  uint64_t Turn = 0;
};

/// Baseline: the endpoint with the fewest of this entry's own requests.
struct LeastOutstandingPolicy {};

/// Default: a few random candidates, compared by the time that the figures in
/// their replies promise; near ones before far ones.
struct ProbingPolicy {
  /// Candidates drawn from each distance.
  uint32_t Candidates = 4;
  /// Pools up to this size are compared whole.
  uint32_t CompareAllUpTo = 16;
  /// How much better another region must be, as a factor on its estimate.
  double OtherRegionFactor = 1.5;
  /// How much better another data centre must be.
  double OtherCentreFactor = 1.05;
  /// How far above the best candidate's estimate the affine endpoint may be.
  double AffinityFactor = 1.25;
};

/// One of the policies.
using ChoicePolicy =
    std::variant<ProbingPolicy, RoundRobinPolicy, LeastOutstandingPolicy>;

/// What an endpoint is needed for.
struct ChoiceRequest {
  /// The model or service.
  std::string_view Serves;
  /// Class of the work.
  wire::WorkClass::type Class = wire::WorkClass::Short;
  /// Tokens the work is expected to generate; 0 for services.
  int64_t ExpectedTokens = 0;
  /// Bytes that would cross the link to another region, both ways.
  int64_t Bytes = 0;
  /// Key whose work should meet on one endpoint; empty: none.
  std::string_view Affinity;
  /// Endpoints not to use again.
  const std::vector<EndpointIndex> *Excluded = nullptr;
  /// Patterns of the endpoints that may be used; empty or absent: all.
  const std::vector<std::string> *Engines = nullptr;
  /// Whether the narrow link's budget allows another region.
  bool OtherRegionAllowed = true;
  /// Only endpoints with a place free now, or with less than Lookahead of
  /// this entry's own work waiting.
  bool NeedsPlace = false;
  /// See NeedsPlace.
  int32_t Lookahead = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_ROUTING_CHOICE_TYPE_H
