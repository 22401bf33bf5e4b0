/// @file
/// The part of a rule file that can apply at one agent.

#ifndef CAMPHORNOTCH_BENCH_PROGRAMS_CONFIG_FANOUT_PRUNE_FUNC_H
#define CAMPHORNOTCH_BENCH_PROGRAMS_CONFIG_FANOUT_PRUNE_FUNC_H

#include "rules/rule_set_type.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// What an agent's rules depend on.
struct RuleAudience {
  /// The agent's host.
  std::string_view Host;
  /// Its endpoint.
  std::string_view Endpoint;
  /// The model or service.
  std::string_view Serves;
};

/// Keeps the lines that can apply at an agent: trainers that may draw on its
/// endpoint, calls of its service, its host, its weights, its quarantine.
/// Limits, priorities and routing are decided at entries. For the agent's own
/// host and model, for calls of its service and for trainers that may draw on
/// its endpoint, look-ups give the same rules as with the whole file.
/// The idea of sending each destination only the constraints that can match
/// there is that of ClickHouse's per-shard rewrite of IN sets.
/// @param Rules the rules of the text.
/// @param Text the whole rule file.
/// @param Audience the agent.
/// @return a rule file of those lines, without blank and comment lines.
std::string pruneRules(const RuleSet &Rules, std::string_view Text,
                       const RuleAudience &Audience);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BENCH_PROGRAMS_CONFIG_FANOUT_PRUNE_FUNC_H
