/// @file
/// Checks whether an answer to a desk's call is whole and its own.

#ifndef CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H
#define CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H

#include "standins/desk/desk_type.h"

#include <string_view>

namespace camphornotch::standin {

/// How an answer with status 200 turned out.
enum class AnswerCheck : uint8_t {
  Whole,     ///< Whole and right.
  BrokenOff, ///< The stream itself says or shows that it failed.
  Wrong,     ///< It looks whole and is not, or belongs to another call.
};

/// @param Kind a kind of call.
/// @return its name in the record.
const char *kindName(DeskCallKind Kind);

/// @param Call the call.
/// @param Settings the desk's settings.
/// @param Body the body of an answer with status 200.
/// @return how it turned out.
AnswerCheck checkAnswer(const DeskCall &Call, const DeskSettings &Settings,
                        std::string_view Body);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_DESK_ANSWER_FUNC_H
