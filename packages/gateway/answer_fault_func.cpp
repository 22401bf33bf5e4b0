/// @file
/// Checks whether an endpoint's answer may be used.

#include "gateway/answer_fault_func.h"

#include "base/http_status_type.h"

namespace camphornotch {

namespace {

/// @param Status an HTTP status.
/// @return whether the status tells callers that the request was not executed.
///   It is passed on only from an endpoint that confirms this.
bool promisesNotRun(int Status) {
  constexpr int RequestTimeout = 408;
  constexpr int Misdirected = 421;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  return Status == RequestTimeout || Status == Misdirected ||
         Status == TooMany || Status == Unavailable;
}

} // namespace

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

std::string_view executionFault(const platform::EngineAnswer &Answer,
                                const platform::EngineRequest &Request,
                                bool Framed) {
  if (Answer.NotRun)
    return refusalFault(Answer, Request.RequestId);
  const std::string_view Fault = answerFault(Answer, Request.RequestId, Framed);
  if (!Fault.empty())
    return Fault;
  if (Answer.Status < StatusFirstFailure && Answer.Receipt.empty())
    return "the answer has no receipt";
  return promisesNotRun(Answer.Status)
             ? "a refusal without the not-executed header"
             : "";
}

} // namespace camphornotch
