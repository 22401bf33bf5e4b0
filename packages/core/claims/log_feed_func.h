/// @file
/// Which records of the log are passed on to the controllers.

#ifndef CAMPHORNOTCH_CORE_CLAIMS_LOG_FEED_FUNC_H
#define CAMPHORNOTCH_CORE_CLAIMS_LOG_FEED_FUNC_H

#include "core/fold/fold_change_type.h"

#include <vector>

namespace camphornotch {

/// Decides whether RecordCommitted is due for a record.
/// @param Changes what the fold said of the record.
/// @return whether it stands: it is no duplicate, was not written under an
///         ended epoch and did not lose a race. Records without a change stand.
bool recordStands(const std::vector<FoldChange> &Changes);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CLAIMS_LOG_FEED_FUNC_H
