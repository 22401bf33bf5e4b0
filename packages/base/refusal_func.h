/// @file
/// Look-ups in the table of refusal reasons.

#ifndef CAMPHORNOTCH_BASE_REFUSAL_FUNC_H
#define CAMPHORNOTCH_BASE_REFUSAL_FUNC_H

#include "base/table/refusal_reasons.h"

namespace camphornotch {

/// @return the row of the reason in RefusalTable.
const RefusalSpec &refusalSpec(RefusalReason Reason);

/// @return the name of the state in answers: "not_run" or "unknown".
std::string_view runStateName(RunState State);

/// @param Number the reason that a peer sent.
/// @return the reason; Internal if this version does not know the number.
RefusalReason refusalFromWire(int32_t Number);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_REFUSAL_FUNC_H
