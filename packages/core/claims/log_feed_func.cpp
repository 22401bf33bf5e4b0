/// @file
/// Which records of the log are passed on to the controllers.

#include "core/claims/log_feed_func.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// @param Change one change.
/// @return whether it says that its record counts for nobody.
bool isVoid(const FoldChange &Change) {
#ifdef CAMPHORNOTCH_MUTATION_IGNORE_EPOCH
  return std::holds_alternative<DuplicateDropped>(Change);
#else
  return std::holds_alternative<DuplicateDropped>(Change) ||
         std::holds_alternative<RecordVoid>(Change) ||
         std::holds_alternative<ClaimLost>(Change);
#endif
}

} // namespace

bool recordStands(const std::vector<FoldChange> &Changes) {
  return std::none_of(Changes.begin(), Changes.end(), isVoid);
}

} // namespace camphornotch
