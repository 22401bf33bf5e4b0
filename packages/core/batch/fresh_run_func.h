/// @file
/// Which items of a submission are worth a second run under newer weights.

#ifndef CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H
#define CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H

#include "core/batch/batch_type.h"

#include <set>
#include <vector>

namespace camphornotch {

/// Finds the items that a submission will probably leave open: its caller ends
/// it once enough groups are complete, and submits the others again, with a
/// newer version demanded than the one that makes their texts now. A second
/// run under the newest version gives the next submission a text to go on
/// from. Answers the load of steps whose longest item comes again each time and
/// would begin anew each time.
/// @param State the submission.
/// @param Whole items whose texts are whole, without a result yet.
/// @param Returned items that an earlier submission left open: their groups
///   are waited for in any case.
/// @return the items, the longest group's first; empty while too much is open
///   to tell.
std::vector<ItemId> likelyLeftOpen(const SubmissionState &State,
                                   const std::set<ItemId> &Whole,
                                   const std::set<ItemId> &Returned);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H
