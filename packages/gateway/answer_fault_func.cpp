/// @file
/// Checks whether an endpoint's answer may be used.

#include "gateway/answer_fault_func.h"

namespace camphornotch {

std::string_view refusalFault(const platform::EngineAnswer &Answer,
                              std::string_view RequestId) {
  return Answer.RequestId == RequestId ? ""
                                       : "the refusal is for another request";
}

std::string_view answerFault(const platform::EngineAnswer &Answer,
                             std::string_view RequestId, bool Framed) {
  if (Answer.RequestId != RequestId)
    return "the answer is for another request";
  if (Answer.HasContentEncoding)
    return "the body is encoded";
  if (!Framed)
    return "the head does not tell where the body ends";
  return "";
}

} // namespace camphornotch
