/// @file
/// Which rule decides. Each function returns the first rule that matches, or
/// the built-in default (whose Source.Line is 0).

#ifndef CAMPHORNOTCH_RULES_LOOKUP_FUNC_H
#define CAMPHORNOTCH_RULES_LOOKUP_FUNC_H

#include "rules/rule_set_type.h"

#include <string_view>

namespace camphornotch {

/// @param Pattern text in which each "*" stands for any run of characters.
/// @param Text what to compare with it.
/// @return whether the whole text matches.
bool matchesPattern(std::string_view Pattern, std::string_view Text);

/// @param Rules the rules in force.
/// @param Trainer the trainer's name.
/// @return the rule that decides.
const TrainerRule &trainerRule(const RuleSet &Rules, std::string_view Trainer);

/// @param Rule a trainer's rule.
/// @param Endpoint an engine's endpoint name.
/// @return whether the trainer may draw on the engine.
bool mayDraw(const TrainerRule &Rule, std::string_view Endpoint);

/// @param Rules the rules in force.
/// @param Service the service's name.
/// @param Method the HTTP method.
/// @param Path the path at the service, without the query.
/// @return the rule that decides.
const ServiceRule &serviceRule(const RuleSet &Rules, std::string_view Service,
                               std::string_view Method, std::string_view Path);

/// @param Rules the rules in force.
/// @param Host the host's name.
/// @return the rule that decides.
const HostRule &hostRule(const RuleSet &Rules, std::string_view Host);

/// @param Rules the rules in force.
/// @param Caller the caller's name.
/// @return the rule that decides.
const LimitRule &limitRule(const RuleSet &Rules, std::string_view Caller);

/// @param Rules the rules in force.
/// @param Caller the caller's name.
/// @return the rule that decides.
const PriorityRule &priorityRule(const RuleSet &Rules, std::string_view Caller);

/// @param Rules the rules in force.
/// @param Serves a model or service.
/// @return the rule that decides.
const RoutingRule &routingRule(const RuleSet &Rules, std::string_view Serves);

/// @param Rules the rules in force.
/// @param Model a model.
/// @return the rule that decides.
const WeightRule &weightRule(const RuleSet &Rules, std::string_view Model);

/// @param Rules the rules in force.
/// @param Serves a model or service.
/// @return the rule that decides.
const AdmissionRule &admissionRule(const RuleSet &Rules,
                                   std::string_view Serves);

/// @param Rules the rules in force.
/// @param Serves a model or service.
/// @return the rule that decides.
const QuarantineRule &quarantineRule(const RuleSet &Rules,
                                     std::string_view Serves);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_LOOKUP_FUNC_H
