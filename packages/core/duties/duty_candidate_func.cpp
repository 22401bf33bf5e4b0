/// @file
/// Chooses the processes that may claim a duty.

#include "core/duties/duty_candidate_func.h"

#include "base/hash_func.h"
#include "base/text_func.h"

#include <utility>

namespace camphornotch {

namespace {

/// Processes that may claim a duty: enough to outlive the loss of two at once.
constexpr int CandidateCount = 3;

std::pair<uint64_t, std::string_view> rankOf(std::string_view Duty,
                                             const EndpointId &Engine) {
  return {hashBytes(concat(Duty, "/", Engine.Value)), Engine.Value};
}

} // namespace

bool isDutyCandidate(std::string_view Duty,
                     const std::map<EndpointId, EndpointState> &Endpoints,
                     const EndpointId &Engine) {
  if (!Endpoints.contains(Engine))
    return false;
  const auto Own = rankOf(Duty, Engine);
  int Before = 0;
  for (const auto &[Id, State] : Endpoints) {
    // Endpoints without models are plain services, which have no loader.
    if (State.Record.Versions.empty() || Id == Engine)
      continue;
    Before += rankOf(Duty, Id) < Own ? 1 : 0;
    if (Before >= CandidateCount)
      return false;
  }
  return true;
}

} // namespace camphornotch
