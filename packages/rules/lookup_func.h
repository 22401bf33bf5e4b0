/// @file
/// Look-up of the rule that applies. Each function returns the first rule that
/// matches, or the built-in default (whose Source.Line is 0).

#ifndef CAMPHORNOTCH_RULES_LOOKUP_FUNC_H
#define CAMPHORNOTCH_RULES_LOOKUP_FUNC_H

#include "rules/rule_set_type.h"

#include <string_view>

namespace camphornotch {

/// @param Pattern text in which each "*" matches any number of characters.
/// @return whether the whole text matches.
bool matchesPattern(std::string_view Pattern, std::string_view Text);

const TrainerRule &trainerRule(const RuleSet &Rules, std::string_view Trainer);

/// @param Endpoint the endpoint name of an engine.
/// @return whether the trainer may use the engine.
bool mayUseEngine(const TrainerRule &Rule, std::string_view Endpoint);

/// @param Path the path at the service, without the query string.
const ServiceRule &serviceRule(const RuleSet &Rules, std::string_view Service,
                               std::string_view Method, std::string_view Path);

const HostRule &hostRule(const RuleSet &Rules, std::string_view Host);

const LimitRule &limitRule(const RuleSet &Rules, std::string_view Caller);

const PriorityRule &priorityRule(const RuleSet &Rules, std::string_view Caller);

/// @param Serves a model or service.
const RoutingRule &routingRule(const RuleSet &Rules, std::string_view Serves);

const WeightRule &weightRule(const RuleSet &Rules, std::string_view Model);

/// @param Serves a model or service.
const AdmissionRule &admissionRule(const RuleSet &Rules,
                                   std::string_view Serves);

/// @param Serves a model or service.
const QuarantineRule &quarantineRule(const RuleSet &Rules,
                                     std::string_view Serves);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_LOOKUP_FUNC_H
