/// @file
/// Chooses the items of a submission that run a second time with newer weights.

#ifndef CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H
#define CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H

#include "core/batch/batch_type.h"

#include <set>
#include <vector>

namespace camphornotch {

/// Predicts which items will have no result when the caller ends the
/// submission. The caller ends it once enough groups are complete and submits
/// the remaining items again, demanding a newer version than the one that
/// makes their texts now. A second run with the newest version gives the next
/// submission a text to continue from; without it, a long item that is
/// submitted again in every step would start from nothing each time.
/// @param CompleteItems items whose texts are complete but have no result yet.
/// @param ResubmittedItems items that an earlier submission left unfinished;
///   the caller waits for their groups in any case, so they are not chosen.
/// @return the items, those of the group with the longest expected length
///   first; empty while too many groups are incomplete for a prediction.
std::vector<ItemId>
predictUnfinishedItems(const SubmissionState &State,
                       const std::set<ItemId> &CompleteItems,
                       const std::set<ItemId> &ResubmittedItems);

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_FRESH_RUN_FUNC_H
