/// @file
/// The table of the kinds of rules with their sections and fields.

#ifndef CAMPHORNOTCH_RULES_TABLE_RULE_KINDS_H
#define CAMPHORNOTCH_RULES_TABLE_RULE_KINDS_H

#include "rules/rule_set_type.h"

#include <array>
#include <span>
#include <string_view>
#include <tuple>
#include <variant>

namespace camphornotch {

/// The member that a field is assigned to; it also determines the type.
template <typename RuleT>
using RuleTarget =
    std::variant<std::string RuleT::*, std::vector<std::string> RuleT::*,
                 bool RuleT::*, Millis RuleT::*, int64_t RuleT::*,
                 OutagePolicy RuleT::*, RoutingPolicy RuleT::*,
                 PriorityClass RuleT::*>;

/// One field of one kind of rule.
template <typename RuleT> struct RuleField {
  /// The name in the rule file.
  std::string_view Name;
  RuleTarget<RuleT> Target;
  /// The value where the line gives none, and in the built-in rule.
  std::string_view Default;
  /// The smallest valid number; 0 for types that are not numeric.
  int64_t Min;
  /// The largest valid number; 0 for types that are not numeric.
  int64_t Max;
  /// The description shown to authors of rules.
  std::string_view Help;
};

/// One kind of rule.
template <typename RuleT> struct RuleKind {
  std::string_view Section;
  /// The meaning of the name in front of the "=".
  std::string_view NameMeaning;
  /// The member of the rule set that holds the rules.
  std::vector<RuleT> RuleSet::*Rules;
  std::span<const RuleField<RuleT>> Fields;
};

/// Longest duration in a rule: 30 days.
inline constexpr int64_t MaxRuleMs = int64_t{30} * 24 * 3600 * 1000;

// One row for each field.
// clang-format off

/// Fields of [trainers].
inline constexpr std::array TrainerFields{
    RuleField<TrainerRule>{"engines", &TrainerRule::Engines, "*", 0, 0,
        "patterns of endpoint names the trainer may draw on, comma-separated"},
    RuleField<TrainerRule>{"max_age_versions", &TrainerRule::MaxAgeVersions,
        "2", 0, 1000000,
        "how many versions older than the newest a sample may be"},
    RuleField<TrainerRule>{"max_age_ms", &TrainerRule::MaxAge, "0", 0,
        MaxRuleMs, "how long ago a sample may have been finished; 0: no bound"},
    RuleField<TrainerRule>{"weight", &TrainerRule::Weight, "1", 1, 1000,
        "share of the engines against other trainers"},
    RuleField<TrainerRule>{"max_in_flight", &TrainerRule::MaxInFlight, "4096",
        1, 1000000, "samples in flight at once"},
};

/// Fields of [services].
inline constexpr std::array ServiceFields{
    RuleField<ServiceRule>{"service", &ServiceRule::Service, "*", 0, 0,
        "pattern of service names"},
    RuleField<ServiceRule>{"method", &ServiceRule::Method, "*", 0, 0,
        "pattern of HTTP methods"},
    RuleField<ServiceRule>{"path", &ServiceRule::Path, "*", 0, 0,
        "pattern of paths at the service"},
    RuleField<ServiceRule>{"non_idempotent", &ServiceRule::NonIdempotent,
        "no", 0, 0, "whether such a call may run at most once"},
    RuleField<ServiceRule>{"outage", &ServiceRule::Outage, "refuse", 0, 0,
        "what to do with such calls while the log is down"},
    RuleField<ServiceRule>{"deadline_ms", &ServiceRule::Deadline, "30000", 1,
        MaxRuleMs, "the longest that a call may take"},
};

/// Fields of [hosts].
inline constexpr std::array HostFields{
    RuleField<HostRule>{"leave_grace_ms", &HostRule::LeaveGrace, "30000", 0,
        MaxRuleMs, "time for running work to finish on a leaving host"},
};

/// Fields of [limits].
inline constexpr std::array LimitFields{
    RuleField<LimitRule>{"max_in_flight", &LimitRule::MaxInFlight, "1024", 1,
        1000000, "requests of one caller in flight at once, for each entry"},
    RuleField<LimitRule>{"rate_per_second", &LimitRule::RatePerSecond, "1000",
        1, 1000000, "requests a second of one caller, for each entry"},
    RuleField<LimitRule>{"max_wait_ms", &LimitRule::MaxWait, "60000", 0,
        MaxRuleMs, "longest expected wait at which work is still taken"},
};

/// Fields of [priorities].
inline constexpr std::array PriorityFields{
    RuleField<PriorityRule>{"class", &PriorityRule::Class, "short", 0, 0,
        "short work goes first and may use the reserve"},
    RuleField<PriorityRule>{"priority", &PriorityRule::Priority, "0", -100,
        100, "larger goes first within the class"},
};

/// Fields of [routing].
inline constexpr std::array RoutingFields{
    RuleField<RoutingRule>{"policy", &RoutingRule::Policy, "probing", 0, 0,
        "how endpoints are chosen"},
    RuleField<RoutingRule>{"hedge_budget_percent",
        &RoutingRule::HedgeBudgetPercent, "5", 0, 100,
        "hedged attempts, in percent of attempts"},
    RuleField<RoutingRule>{"retry_budget_percent",
        &RoutingRule::RetryBudgetPercent, "10", 0, 100,
        "retries, in percent of successes"},
    RuleField<RoutingRule>{"prefix_affinity", &RoutingRule::PrefixAffinity,
        "yes", 0, 0, "whether equal prompt prefixes go to the same endpoints"},
    RuleField<RoutingRule>{"cross_region_bytes_per_second",
        &RoutingRule::CrossRegionBytesPerSecond, "5000000", 0, 100000000000,
        "bytes a second that may cross regions, for each entry"},
};

/// Fields of [weights].
inline constexpr std::array WeightFields{
    RuleField<WeightRule>{"min_capacity_percent",
        &WeightRule::MinCapacityPercent, "50", 0, 99,
        "share of the engines that keep serving during a change"},
    RuleField<WeightRule>{"concurrent_swaps", &WeightRule::ConcurrentSwaps,
        "8", 1, 100000, "swaps at once, over all engines of the model"},
    RuleField<WeightRule>{"store_bytes_per_second",
        &WeightRule::StoreBytesPerSecond, "50000000", 1, 1000000000000,
        "what the weight store is asked for, over all engines"},
    RuleField<WeightRule>{"staggered", &WeightRule::Staggered, "yes", 0, 0,
        "whether engines swap in waves; no: all at once"},
};

/// Fields of [admission].
inline constexpr std::array AdmissionFields{
    RuleField<AdmissionRule>{"by_class", &AdmissionRule::ByClass, "yes", 0, 0,
        "short work first and fair among callers; no: in order of arrival"},
    RuleField<AdmissionRule>{"preempt", &AdmissionRule::Preempt, "yes", 0, 0,
        "whether waiting short work may stop the longest rollout"},
    RuleField<AdmissionRule>{"short_reserve", &AdmissionRule::ShortReserve,
        "-1", -1, 4096, "places for short work alone; -1: the agent's setting"},
    RuleField<AdmissionRule>{"max_long_wait_ms", &AdmissionRule::MaxLongWait,
        "60000", 0, MaxRuleMs, "longest expected wait of long work"},
    RuleField<AdmissionRule>{"max_short_wait_ms",
        &AdmissionRule::MaxShortWait, "10000", 0, MaxRuleMs,
        "longest expected wait of short work"},
};

/// Fields of [quarantine].
inline constexpr std::array QuarantineFields{
    RuleField<QuarantineRule>{"crashes", &QuarantineRule::Crashes, "3", 2,
        100, "crashes at which a request is kept away"},
    RuleField<QuarantineRule>{"duration_ms", &QuarantineRule::Duration,
        "600000", 1000, MaxRuleMs, "for how long"},
};

/// All kinds of rules.
inline constexpr std::tuple RuleKinds{
    RuleKind<TrainerRule>{"trainers", "pattern of trainers",
                          &RuleSet::Trainers, TrainerFields},
    RuleKind<ServiceRule>{"services", "a name of its own",
                          &RuleSet::Services, ServiceFields},
    RuleKind<HostRule>{"hosts", "pattern of hosts", &RuleSet::Hosts,
                       HostFields},
    RuleKind<LimitRule>{"limits", "pattern of callers", &RuleSet::Limits,
                        LimitFields},
    RuleKind<PriorityRule>{"priorities", "pattern of callers",
                           &RuleSet::Priorities, PriorityFields},
    RuleKind<RoutingRule>{"routing", "pattern of models and services",
                          &RuleSet::Routing, RoutingFields},
    RuleKind<WeightRule>{"weights", "pattern of models", &RuleSet::Weights,
                         WeightFields},
    RuleKind<AdmissionRule>{"admission", "pattern of models and services",
                            &RuleSet::Admission, AdmissionFields},
    RuleKind<QuarantineRule>{"quarantine", "pattern of models and services",
                             &RuleSet::Quarantine, QuarantineFields},
};

// clang-format on

/// Calls a function with each kind of rule.
/// @param Function takes a RuleKind<RuleT>.
template <typename FunctionT> void forEachRuleKind(FunctionT Function) {
  std::apply([&](const auto &...Kinds) { (Function(Kinds), ...); }, RuleKinds);
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_TABLE_RULE_KINDS_H
