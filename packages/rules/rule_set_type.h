/// @file
/// The types of the rules of a rule file.

#ifndef CAMPHORNOTCH_RULES_RULE_SET_TYPE_H
#define CAMPHORNOTCH_RULES_RULE_SET_TYPE_H

#include "base/millis_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// The origin of a rule.
struct RuleSource {
  /// The name in front of the "=".
  std::string Name;
  /// The line number; 0: a built-in default.
  int Line = 0;
  /// Who asked for the rule, from the comment of the line.
  std::string AskedBy;
  /// The rule in canonical form, without its comment.
  std::string Text;
};

/// What to do, while the log is unavailable, with calls that may run at most
/// once.
enum class OutagePolicy : uint8_t {
  Refuse, ///< Refuse them and report that they did not run.
  Pinned, ///< Send them, by key, to the one agent that the service is
          ///< pinned to.
};

/// How endpoints are chosen.
enum class RoutingPolicy : uint8_t {
  Probing,          ///< By requests in flight and latency.
  RoundRobin,       ///< Each in turn.
  LeastOutstanding, ///< By the fewest requests in flight.
};

/// The class by which agents order work.
enum class PriorityClass : uint8_t {
  Short,   ///< Work of desks and portals.
  Rollout, ///< Samples for trainers.
};

/// [trainers]: the engines that a trainer may use and the age of its samples.
struct TrainerRule {
  RuleSource Source;
  /// Patterns of the endpoint names of engines that it may use.
  std::vector<std::string> Engines;
  /// How many versions older than the newest one a sample may be.
  int64_t MaxAgeVersions = 0;
  /// How long ago a sample may have been finished; 0: no limit.
  Millis MaxAge;
  /// The share of engines relative to other trainers.
  int64_t Weight = 0;
  /// Maximum number of samples in flight.
  int64_t MaxInFlight = 0;
};

/// [services]: calls to a plain service.
struct ServiceRule {
  RuleSource Source;
  /// Pattern of service names.
  std::string Service;
  /// Pattern of methods.
  std::string Method;
  /// Pattern of paths.
  std::string Path;
  /// Whether the call may run at most once.
  bool NonIdempotent = false;
  /// What to do with such calls while the log is unavailable.
  OutagePolicy Outage = OutagePolicy::Refuse;
  /// The maximum duration of a call.
  Millis Deadline;
};

/// [hosts]: how a host leaves.
struct HostRule {
  RuleSource Source;
  /// Time that running work has to finish after the host is told to leave.
  Millis LeaveGrace;
};

/// [limits]: limits for one caller.
struct LimitRule {
  RuleSource Source;
  /// Maximum number of requests of the caller in flight, for each entry.
  int64_t MaxInFlight = 0;
  /// Maximum number of requests per second, for each entry.
  int64_t RatePerSecond = 0;
  /// The longest expected wait at which work is still accepted.
  Millis MaxWait;
};

/// [priorities]: the priority of the work of a caller.
struct PriorityRule {
  RuleSource Source;
  /// Short work runs before rollouts and may use the reserved slots.
  PriorityClass Class = PriorityClass::Short;
  /// Higher values run first within the class.
  int64_t Priority = 0;
};

/// [routing]: choice of endpoint for a model or service.
struct RoutingRule {
  RuleSource Source;
  RoutingPolicy Policy = RoutingPolicy::Probing;
  /// Maximum number of hedged attempts, in percent of all attempts.
  int64_t HedgeBudgetPercent = 0;
  /// Maximum number of retries, in percent of successes.
  int64_t RetryBudgetPercent = 0;
  /// Whether equal prompt prefixes go to the same endpoints.
  bool PrefixAffinity = false;
  /// Maximum traffic between regions, for each entry.
  int64_t CrossRegionBytesPerSecond = 0;
};

/// [weights]: how engines of a model change to new weights.
struct WeightRule {
  RuleSource Source;
  /// The share of engines that must keep serving during a change.
  int64_t MinCapacityPercent = 0;
  /// Maximum number of concurrent swaps over all engines of the model.
  int64_t ConcurrentSwaps = 0;
  /// Maximum rate of reads from the weight store, over all engines.
  int64_t StoreBytesPerSecond = 0;
  /// Whether engines swap in waves; otherwise every engine swaps as soon as it
  /// learns of a version.
  bool Staggered = true;
};

/// [admission]: the order and limits of waiting work at an endpoint.
struct AdmissionRule {
  RuleSource Source;
  /// Whether work is ordered by class and fairly among callers; otherwise in
  /// the order of arrival.
  bool ByClass = true;
  /// Whether waiting short work may stop the longest rollout.
  bool Preempt = true;
  /// Number of slots reserved for short work; negative: the setting of the
  /// agent applies.
  int64_t ShortReserve = -1;
  /// Long work is refused if its expected wait is longer.
  Millis MaxLongWait;
  /// Short work is refused if its expected wait is longer.
  Millis MaxShortWait;
};

/// [quarantine]: requests that crash endpoints.
struct QuarantineRule {
  RuleSource Source;
  /// Number of crashes at which a request is quarantined.
  int64_t Crashes = 0;
  /// How long a request stays quarantined.
  Millis Duration;
};

/// A whole rule file. In each section the first rule whose pattern matches
/// applies, otherwise the built-in default. The pattern is the name of the
/// rule; for services it is the fields.
struct RuleSet {
  std::vector<TrainerRule> Trainers;
  std::vector<ServiceRule> Services;
  std::vector<HostRule> Hosts;
  std::vector<LimitRule> Limits;
  std::vector<PriorityRule> Priorities;
  std::vector<RoutingRule> Routing;
  std::vector<WeightRule> Weights;
  std::vector<AdmissionRule> Admission;
  std::vector<QuarantineRule> Quarantine;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_RULE_SET_TYPE_H
