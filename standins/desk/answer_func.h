/// @file
/// Checks whether an answer is complete and belongs to the desk's call.

#ifndef CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H
#define CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H

#include "standins/desk/desk_type.h"

#include <string_view>

namespace camphornotch::standin {

/// Result of the check of an answer with status 200.
enum class AnswerCheck : uint8_t {
  Complete,    ///< Complete and correct.
  Interrupted, ///< No final event, such as after an error event.
  Wrong,       ///< Looks complete but is not, or belongs to another call.
};

/// @return the name of a kind of call in the record.
const char *kindName(DeskCallKind Kind);

/// @param Body the body of an answer with status 200.
AnswerCheck checkAnswer(const DeskCall &Call, const DeskSettings &Settings,
                        std::string_view Body);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H
