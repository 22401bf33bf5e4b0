/// @file
/// Which groups of a submission can still be among those that its caller waits
/// for.

#ifndef CAMPHORNOTCH_CORE_BATCH_STEP_PROGRESS_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_STEP_PROGRESS_BASE_H

#include "core/batch/batch_type.h"

#include <map>
#include <set>
#include <string>

namespace camphornotch {

/// The groups of one submission and what is left of them. The caller waits for
/// a number of complete groups; a group with an item that was given up never
/// becomes one. Deterministic, without I/O.
class StepProgress {
public:
  /// @param ResubmittedGroups groups that the caller waits for in any case.
  /// @param AssumedWork work of items without an expected length.
  StepProgress(const SubmissionState &State,
               std::set<std::string> ResubmittedGroups, double AssumedWork);

  /// Notes an item's result.
  /// @param Completed whether it has a text; otherwise it was given up.
  void itemEnded(const ItemId &Item, bool Completed);

  /// @return each group's rank: complete groups first, then open ones by the
  ///   longest item that is left of them, the shortest first, resubmitted ones
  ///   before the others; groups that cannot become complete last.
  const std::map<std::string, int64_t> &ranks();

  /// @return the number of a group's items without a result.
  size_t openItems(const std::string &Group) const;

private:
  struct GroupState {
    /// Expected work of the items without a result.
    std::map<ItemId, double> Open;
    /// Whether an item was given up.
    bool Lost = false;
  };

  std::map<std::string, GroupState> Groups;
  std::map<ItemId, std::string> GroupOf;
  std::set<std::string> ResubmittedGroups;
  std::map<std::string, int64_t> Ranks;
  bool RanksValid = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_STEP_PROGRESS_BASE_H
