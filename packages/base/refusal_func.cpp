/// @file
/// Look-ups in the table of refusal reasons.

#include "base/refusal_func.h"

#include <cassert>

namespace camphornotch {

const RefusalSpec &refusalSpec(RefusalReason Reason) {
  const auto Index = static_cast<size_t>(Reason);
  assert(Index < RefusalTable.size());
  assert(RefusalTable[Index].Reason == Reason);
  return RefusalTable[Index];
}

std::string_view runStateName(RunState State) {
  return State == RunState::NotRun ? "not_run" : "unknown";
}

RefusalReason refusalFromWire(int32_t Number) {
  if (Number < 0 || Number >= static_cast<int32_t>(RefusalTable.size()))
    return RefusalReason::Internal;
  return static_cast<RefusalReason>(Number);
}

} // namespace camphornotch
