/// @file
/// Look-ups in the table of refusal reasons.

#ifndef CAMPHORNOTCH_BASE_REFUSAL_FUNC_H
#define CAMPHORNOTCH_BASE_REFUSAL_FUNC_H

#include "base/table/refusal_reasons.h"

namespace camphornotch {

/// @param Reason a reason.
/// @return its row of the table.
const RefusalSpec &refusalSpec(RefusalReason Reason);

/// @param State a run state.
/// @return its name in answers: "not_run" or "unknown".
std::string_view runStateName(RunState State);

/// @param Number a reason as a peer sent it.
/// @return the reason; Internal for numbers of a later version.
RefusalReason refusalFromWire(int32_t Number);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_REFUSAL_FUNC_H
