/// @file
/// Line-based deltas between two versions of a text.

#ifndef CAMPHORNOTCH_RULES_DELTA_FUNC_H
#define CAMPHORNOTCH_RULES_DELTA_FUNC_H

#include "base/error_type.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// @return the delta, one step per line: "=N" keeps N lines, "-N" removes N
///         lines, "+LINE" adds a line.
std::string encodeDelta(std::string_view Before, std::string_view After);

/// @param Before the text that the delta was computed against.
/// @return the changed text; an error if the delta does not match the text.
Result<std::string> applyDelta(std::string_view Before, std::string_view Delta);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DELTA_FUNC_H
