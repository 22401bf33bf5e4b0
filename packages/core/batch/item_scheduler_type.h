/// @file
/// Items that wait for an engine, and decisions of the item scheduler.

#ifndef CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H
#define CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H

#include "core/batch/batch_type.h"
#include "core/gateway/work_forecast_type.h"

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

namespace camphornotch {

/// An item that waits for an engine or runs on one.
struct ScheduledItem {
  ItemKey Key;
  /// The client account that submitted it; empty: none.
  std::string Account;
  /// Its group in the submission.
  std::string Group;
  /// Name of its submission's current route.
  std::string RouteName;
  /// The service whose engines can run it, by its submission's current route.
  std::string Service;
  std::string Model;
  /// The oldest weight version that may make its text.
  int64_t MinVersion = 0;
  /// Whether one version must make all of its text.
  bool SingleVersion = false;
  /// Priority of its route; 0 goes first.
  int64_t Priority = 0;
  /// Answers with status 500 after which it is given up. It belongs to the
  /// submission: it stays when the route is removed or allows fewer.
  int64_t Attempts = 1;
  /// Sequence number of its submission in this process.
  int64_t Arrival = 0;
  /// Position among the items added with its submission, from 1.
  int64_t IndexInSubmission = 0;
  /// Expected output in tokens; 0: unknown.
  int64_t LengthHint = 0;
  /// Estimate of its prompt, in tokens.
  int64_t PromptTokens = 0;
  /// Work that it is expected to take, in tokens of output; 0: not estimated.
  double ExpectedWork = 0;
  /// Work that its account was charged with at its first start; 0: not started.
  double ChargedWork = 0;
  /// Whether an earlier submission left an item of its group unfinished.
  bool Resubmitted = false;
  /// Its group's position in the order of the submission's groups: first the
  /// resubmitted groups, then the others by expected length.
  int64_t GroupRank = 0;
  /// Number of complete groups that the caller waits for.
  int64_t WantedGroups = 0;
  /// Earliest time of its next start.
  Millis NotBefore{0};
  /// The endpoint of its last attempt, avoided while another one has room.
  std::set<EndpointId> ExcludedEndpoints;
  /// Version of software of the engines that made its text so far, which no
  /// other can go on with; absent: no text.
  std::optional<std::string> Software;
  /// Until then it waits for room at one of these engines.
  Millis SoftwareUntil{0};
  /// Consecutive broken connections while it ran.
  int64_t Breaks = 0;
  /// Answers with status 500 so far.
  int64_t Failures = 0;
  bool Running = false;
};

/// Items start in an order that completes the groups that callers wait for.
struct WantedGroupsFirst {};
/// Items start in the order of their submissions, and within a submission in
/// the order in which it lists them. Serves as a baseline for comparisons.
struct ArrivalOrder {};
/// As WantedGroupsFirst, but accounts of equal priority share the engines by
/// expected work, and the wanted groups are those that can still be complete
/// first. Items without an account start as by WantedGroupsFirst.
struct FairShareOrder {};
/// Which waiting items start first.
using ItemOrder = std::variant<WantedGroupsFirst, ArrivalOrder, FairShareOrder>;

/// @param Name a value of the setting item_order.
/// @pre the setting was validated.
ItemOrder parseItemOrder(std::string_view Name);

/// @return the work to expect of an item that starts now.
using ItemWorkSource = std::function<ExpectedWork(const ScheduledItem &)>;
/// How an item ended.
struct ItemEnd {
  /// Whether it has a text; otherwise it was given up.
  bool Completed = true;
  /// Work that it took, in tokens of output; 0: not known.
  double Work = 0;
};

/// A decision to send an item to an engine.
struct ItemStart {
  ItemKey Key;
  EndpointId Endpoint;
  /// The work to expect of it; used by RemainingWorkChoice.
  ExpectedWork Work{};
  /// When the engine is expected to end it; only under RemainingWorkChoice.
  WorkForecast Forecast{};
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H
