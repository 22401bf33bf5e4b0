/// @file
/// Decides which waiting items start next, and on which endpoints.

#ifndef CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H

#include "core/batch/account_quota_func.h"
#include "core/batch/fair_share_base.h"
#include "core/batch/item_scheduler_type.h"
#include "core/batch/step_progress_base.h"
#include "core/batch/work_mean_base.h"
#include "core/gateway/endpoint_pool_base.h"
#include "core/gateway/route_type.h"

#include <utility>

namespace camphornotch {

/// Why a running item waits for an engine again.
enum class RequeueReason : uint8_t {
  NotRun,           ///< The engine did not run it.
  ConnectionBroken, ///< The connection broke or the answer was invalid.
  Failed,           ///< The engine answered with status 500.
  VersionTooOld,    ///< The engine had an older version than it reported.
  Moved,            ///< Another engine is much faster.
  Held,             ///< It was not sent, as its submission may have ended.
};

/// Schedules the items of the submissions that this process owns.
/// Deterministic, without I/O.
class ItemScheduler {
public:
  /// @param WorkOf asked for each item that is placed under
  ///   RemainingWorkChoice; empty: nothing is known of their work.
  explicit ItemScheduler(ItemOrder Order = WantedGroupsFirst{},
                         ItemWorkSource WorkOf = {})
      : Order(Order), WorkOf(std::move(WorkOf)) {}

  /// Adds the items of a submission that have no result yet.
  /// @param SubmissionRoute the submission's route.
  /// @param ResubmittedItems those of its items that an earlier submission
  ///   left unfinished.
  void add(const SubmissionState &State, const Route &SubmissionRoute,
           const std::set<ItemId> &ResubmittedItems = {});

  /// @return the submissions that have items here.
  std::set<SubmissionId> submissions() const;

  /// Applies a changed route to the items of a submission. Running items end
  /// where they are; their next start follows the route.
  /// @return whether the items belong to another service now.
  bool updateRoute(const SubmissionId &Id, const Route &SubmissionRoute);

  /// Removes an item that has its result.
  void drop(const ItemKey &Key, ItemEnd End = {});

  /// Sets the work that an item is expected to take. Without it, an item is
  /// expected to take its length hint, or else the mean of its route.
  /// @param Work in tokens of output; 0: not estimated.
  void setExpectedWork(const ItemKey &Key, double Work);

  /// @return the work that an item is expected to take, in tokens of output.
  double expectedWork(const ScheduledItem &Item) const;

  /// Removes all items of a submission.
  /// @return those that were running.
  std::vector<ItemKey> dropSubmission(const SubmissionId &Id);

  /// Chooses the items that start now. WantedGroupsFirst is meant for steps
  /// whose items all arrive at once: items of the groups that the caller waits
  /// for go first, then those of older submissions, then those of resubmitted
  /// groups, then the longest, so that the item that ends last started early.
  /// FairShareOrder gives the turns of items of equal urgency to the accounts
  /// by the work that they were given (see FairShare).
  /// @param Pool the endpoints; each start is recorded in it.
  /// @return the items to start, which count as running from now on.
  std::vector<ItemStart> plan(EndpointPool &Pool, Millis Now);

  /// Bounds the running items of accounts, which compete with the same accounts
  /// at other gateways; used by FairShareOrder alone.
  /// @param Most of each account (see accountQuotas()); others have no bound.
  void setQuotas(std::map<std::string, int64_t> Most) {
    this->Quotas = std::move(Most);
  }

  /// @return the items of each account; items without one are left out.
  AccountLoads accountLoads() const;

  /// Makes a running item wait again.
  /// @param Endpoint where it ran.
  void requeue(const ItemKey &Key, RequeueReason Reason,
               const EndpointId &Endpoint, Millis Now);

  /// Notes that an item made progress, which resets its count of consecutive
  /// broken connections.
  void noteProgress(const ItemKey &Key);

  /// Sets which software made the text of an item. For a short time, it waits
  /// for an engine of the same one; after that any will do, where the text
  /// begins anew.
  /// @param Software the version; absent: it has no text.
  void setSoftware(const ItemKey &Key, std::optional<std::string> Software,
                   Millis Now);

  /// @return the item, or null.
  const ScheduledItem *find(const ItemKey &Key) const;

  /// @return the items that wait or run.
  const std::map<ItemKey, ScheduledItem> &all() const { return this->Items; }

  /// @return the number of items of its group without a result, itself
  ///   included; 0: not known, as the order does not need it.
  size_t openInGroup(const ScheduledItem &Item) const;

  /// @return number of items waiting.
  size_t waiting() const;

  /// @return number of items running.
  size_t running() const { return this->RunningCount; }

private:
  /// @return the endpoint that should run a waiting item now, or null.
  static const EndpointState *chooseEndpoint(const ScheduledItem &Item,
                                             const ExpectedWork &Work,
                                             const EndpointPool &Pool,
                                             Millis Now);

  /// Notes that an item with an account has its result.
  void noteEnd(const ScheduledItem &Item, const ItemEnd &End);
  /// @return the work to charge the item's account with at this start.
  double charge(ScheduledItem &Item) const;
  /// Ranks the groups of submissions again that got results.
  void updateRanks();

  ItemOrder Order;
  ItemWorkSource WorkOf;
  std::map<ItemKey, ScheduledItem> Items;
  /// Work given to accounts; used by FairShareOrder alone, as the next two.
  FairShare Shares;
  /// Of submissions with an account whose callers wait for some of the groups.
  std::map<SubmissionId, StepProgress> Steps;
  /// Submissions that got results since the last plan.
  std::set<SubmissionId> ChangedSteps;
  /// Most running items by account.
  std::map<std::string, int64_t> Quotas;
  /// Work of finished items by route.
  WorkMean Means;
  size_t RunningCount = 0;
  /// Number of submissions added so far.
  int64_t Arrivals = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_BASE_H
