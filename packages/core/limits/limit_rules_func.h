/// @file
/// The limits of a process, from its settings.

#ifndef CAMPHORNOTCH_CORE_LIMITS_LIMIT_RULES_FUNC_H
#define CAMPHORNOTCH_CORE_LIMITS_LIMIT_RULES_FUNC_H

#include "base/settings_type.h"
#include "core/limits/limit_type.h"

namespace camphornotch {

/// @param BodyBytes the largest request body. Room for one more is kept free,
///   because the HTTP library copies its buffer when it grows.
/// @return the limits; those that the settings do not give are off.
LimitRules limitRules(const CommonSettings &Settings, int64_t BodyBytes);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LIMITS_LIMIT_RULES_FUNC_H
