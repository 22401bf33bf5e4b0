/// @file
/// Checks whether an endpoint's answer may be used.

#ifndef CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H

#include "platform/engine_func.h"

#include <string_view>

namespace camphornotch {

/// @param RequestId the id of the request that was sent.
/// @param Framed whether the head tells where the body ends.
/// @return why it may not be used as the answer to the request; empty: it may.
std::string_view answerFault(const platform::EngineAnswer &Answer,
                             std::string_view RequestId, bool Framed);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
