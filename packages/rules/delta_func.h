/// @file
/// Changes between two texts, by lines.

#ifndef CAMPHORNOTCH_RULES_DELTA_FUNC_H
#define CAMPHORNOTCH_RULES_DELTA_FUNC_H

#include "base/error_type.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// @param Before a text.
/// @param After another text.
/// @return the change, one step a line: "=N" keeps N lines, "-N" drops N
///         lines, "+LINE" adds a line.
std::string encodeDelta(std::string_view Before, std::string_view After);

/// @param Before the text that the change was made against.
/// @param Delta the change.
/// @return the text after it; an error if it does not fit the text.
Result<std::string> applyDelta(std::string_view Before, std::string_view Delta);

} // namespace camphornotch

#endif // CAMPHORNOTCH_RULES_DELTA_FUNC_H
