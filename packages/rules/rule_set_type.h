/// @file
/// The rules of a published rule file, as aggregates.

#ifndef CAMPHORNOTCH_RULES_RULE_SET_TYPE_H
#define CAMPHORNOTCH_RULES_RULE_SET_TYPE_H

#include "base/millis_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphornotch {

/// Where a rule comes from.
struct RuleSource {
  /// The name in front of the "=".
  std::string Name;
  /// The line's number; 0: a built-in default.
  int Line = 0;
  /// Who asked for it: the line's comment.
  std::string AskedBy;
  /// The rule without its comment, in one fixed spelling.
  std::string Text;
};

/// What to do with calls that may run at most once while the log is down.
enum class OutagePolicy : uint8_t {
  Refuse, ///< Refuse them as not run.
  Pinned, ///< Send a key to the one agent that the service is pinned to.
};

/// How endpoints are chosen.
enum class RoutingPolicy : uint8_t {
  Probing,          ///< By requests in flight and latency.
  RoundRobin,       ///< In turn.
  LeastOutstanding, ///< The fewest requests in flight.
};

/// How work is ordered in agents.
enum class PriorityClass : uint8_t {
  Short,   ///< Desks and portals.
  Rollout, ///< Samples for trainers.
};

/// [trainers]: what a trainer may draw on, and how stale samples may be.
struct TrainerRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Patterns of endpoint names.
  std::vector<std::string> Engines;
  /// How many versions older than the newest one a sample may be.
  int64_t MaxAgeVersions = 0;
  /// How long ago a sample may have been finished; 0: no bound.
  Millis MaxAge;
  /// The share of engines against other trainers'.
  int64_t Weight = 0;
  /// Samples in flight at once.
  int64_t MaxInFlight = 0;
};

/// [services]: calls of a plain service.
struct ServiceRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Pattern of service names.
  std::string Service;
  /// Pattern of methods.
  std::string Method;
  /// Pattern of paths.
  std::string Path;
  /// The call may run at most once.
  bool NonIdempotent = false;
  /// What to do with such calls while the log is down.
  OutagePolicy Outage = OutagePolicy::Refuse;
  /// The longest that a call may take.
  Millis Deadline;
};

/// [hosts]: how long a leaving host keeps its work.
struct HostRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Time for running work to finish after the order to leave.
  Millis LeaveGrace;
};

/// [limits]: what one caller may use.
struct LimitRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Requests of the caller in flight at once, for each entry.
  int64_t MaxInFlight = 0;
  /// Requests a second, for each entry.
  int64_t RatePerSecond = 0;
  /// The longest expected wait at which work is still taken.
  Millis MaxWait;
};

/// [priorities]: the order of a caller's work.
struct PriorityRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Short work goes before rollouts and may use the reserve.
  PriorityClass Class = PriorityClass::Short;
  /// Larger goes first within the class.
  int64_t Priority = 0;
};

/// [routing]: choice of endpoint for a model or service.
struct RoutingRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// The choice of endpoint.
  RoutingPolicy Policy = RoutingPolicy::Probing;
  /// Hedged attempts, in percent of attempts.
  int64_t HedgeBudgetPercent = 0;
  /// Retries, in percent of successes.
  int64_t RetryBudgetPercent = 0;
  /// Send equal prompt prefixes to the same endpoints.
  bool PrefixAffinity = false;
  /// Bytes a second that may cross regions, for each entry.
  int64_t CrossRegionBytesPerSecond = 0;
};

/// [weights]: how new weights reach the engines of a model.
struct WeightRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// The share of engines that keep serving during a change.
  int64_t MinCapacityPercent = 0;
  /// Swaps at once, over all engines of the model.
  int64_t ConcurrentSwaps = 0;
  /// What the store is asked for, over all engines.
  int64_t StoreBytesPerSecond = 0;
  /// In waves; else every engine swaps as soon as it hears of a version.
  bool Staggered = true;
};

/// [admission]: what runs at an endpoint, and what waits.
struct AdmissionRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// By class and fair among callers; else in the order of arrival.
  bool ByClass = true;
  /// Waiting short work may stop the longest rollout.
  bool Preempt = true;
  /// Places that only short work may take; negative: the agent's setting.
  int64_t ShortReserve = -1;
  /// Long work expected to wait longer is refused.
  Millis MaxLongWait;
  /// Short work expected to wait longer is refused.
  Millis MaxShortWait;
};

/// [quarantine]: requests that crash endpoints.
struct QuarantineRule {
  /// Where the rule comes from.
  RuleSource Source;
  /// Crashes at which a request is kept away.
  int64_t Crashes = 0;
  /// For how long.
  Millis Duration;
};

/// A whole rule file. In each section the first rule whose name (a pattern;
/// for services the fields) matches decides, else the built-in default.
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
