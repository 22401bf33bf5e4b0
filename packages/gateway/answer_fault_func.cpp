/// @file
/// What is wrong with an endpoint's answer.

#include "gateway/answer_fault_func.h"

namespace camphornotch {

std::string_view answerFault(const platform::EngineAnswer &Answer,
                             std::string_view RequestId, bool Framed) {
  if (Answer.RequestId != RequestId)
    return "the answer is for another request";
  if (Answer.HasContentEncoding)
    return "the body is encoded";
  if (!Framed)
    return "the end of the body cannot be told";
  return "";
}

} // namespace camphornotch
