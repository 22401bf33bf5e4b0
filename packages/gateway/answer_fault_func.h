/// @file
/// Checks whether an endpoint's answer may be used.

#ifndef CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H

#include "platform/engine_func.h"

#include <string_view>

namespace camphornotch {

/// @param Answer one that states that a request was not executed.
/// @param RequestId the id of the request that was sent.
/// @return why it says nothing about that request, which may be executed all
///   the same; empty: that request was not executed.
std::string_view refusalFault(const platform::EngineAnswer &Answer,
                              std::string_view RequestId);

/// @param RequestId the id of the request that was sent.
/// @param Framed whether the head tells where the body ends.
/// @return why it may not be used as the answer to the request; empty: it may.
std::string_view answerFault(const platform::EngineAnswer &Answer,
                             std::string_view RequestId, bool Framed);

/// @param Answer the head of an answer.
/// @param Request the request sent.
/// @param Framed whether the head tells where the body ends.
/// @return why the answer cannot be used; empty: it can be passed on, or states
///   that this request was not executed.
std::string_view executionFault(const platform::EngineAnswer &Answer,
                                const platform::EngineRequest &Request,
                                bool Framed);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ANSWER_FAULT_FUNC_H
