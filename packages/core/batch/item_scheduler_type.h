/// @file
/// Items that wait for an engine, and what the scheduler decides for them.

#ifndef CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H
#define CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H

#include "core/batch/batch_type.h"

#include <set>
#include <string_view>
#include <variant>

namespace camphornotch {

/// An item that is to run, or runs.
struct ScheduledItem {
  /// Which.
  ItemKey Key;
  /// Who serves it.
  std::string Service;
  /// The model.
  std::string Model;
  /// The oldest version that may make its text.
  int64_t MinVersion = 0;
  /// Whether one version must make all of its text.
  bool SingleVersion = false;
  /// Rank of its route; 0 goes first.
  int64_t Priority = 0;
  /// Order of its submission among those of this process.
  int64_t Arrival = 0;
  /// Its place in its submission.
  int64_t Place = 0;
  /// Expected output in tokens; 0: not said.
  int64_t LengthHint = 0;
  /// Whether its group comes again: an earlier submission left it open.
  bool Returned = false;
  /// Its group's place among the groups of the submission: those that come
  /// again, then the others by expected length.
  int64_t GroupRank = 0;
  /// Groups that the caller waits for.
  int64_t WantedGroups = 0;
  /// Not before this time.
  Millis NotBefore{0};
  /// Endpoints that just failed it.
  std::set<EndpointId> Except;
  /// Connections broken while it ran, in a row.
  int64_t Breaks = 0;
  /// Answers of status 500 so far.
  int64_t Failures = 0;
  /// Whether it runs.
  bool Running = false;
};

/// Items start in an order that completes the groups that callers wait for.
struct WantedGroupsFirst {};
/// Items start in the order of their submissions, each as it was written: a
/// baseline.
struct ArrivalOrder {};
/// Which waiting items start first.
using ItemOrder = std::variant<WantedGroupsFirst, ArrivalOrder>;

/// @param Name a value of the setting item_order.
/// @return the order.
/// @pre the setting was checked.
ItemOrder parseItemOrder(std::string_view Name);

/// An item is to be sent to an engine.
struct StartItem {
  /// Which.
  ItemKey Key;
  /// Where.
  EndpointId Endpoint;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_ITEM_SCHEDULER_TYPE_H
