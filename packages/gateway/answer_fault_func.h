/// @file
/// What is wrong with an endpoint's answer.

#ifndef CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H

#include "platform/engine_func.h"

#include <string_view>

namespace camphornotch {

/// @param Answer the head of an answer.
/// @param RequestId the request that it came for.
/// @param Framed whether the end of its body can be told.
/// @return why it may not be taken as the answer to the request; empty: it may.
std::string_view answerFault(const platform::EngineAnswer &Answer,
                             std::string_view RequestId, bool Framed);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
