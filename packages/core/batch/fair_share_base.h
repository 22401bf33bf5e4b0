/// @file
/// Work that accounts have been given, to share engines among them.

#ifndef CAMPHORNOTCH_CORE_BATCH_FAIR_SHARE_BASE_H
#define CAMPHORNOTCH_CORE_BATCH_FAIR_SHARE_BASE_H

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace camphornotch {

/// Waiting items that compete for the same engines at the same urgency. Only
/// their accounts share capacity; more urgent items go first in any case.
struct SharePool {
  /// Whether the items' groups are beyond those that callers wait for.
  bool BeyondWanted = false;
  /// 0 is the most urgent.
  int64_t Priority = 0;
  std::string Service;

  auto operator<=>(const SharePool &) const = default;
};

/// An account's place in the order of its pool; the smallest goes first.
struct SharePosition {
  /// Work given to the account divided by its weight, counted from a common
  /// start.
  double Used = 0;
  /// Number of its last start. Accounts with equal work take turns.
  uint64_t LastStart = 0;

  auto operator<=>(const SharePosition &) const = default;
};

/// Start-time fair queueing over accounts. An item is charged with its expected
/// work when it starts and corrected when its work is known. Deterministic,
/// without I/O.
///
/// Work given is compared, not work that runs: the latter would leave an
/// account with long items one engine slot beside an account with short ones.
class FairShare {
public:
  /// @param Weight the account's share relative to the others; above 0.
  ///   Accounts without one have 1.
  void setWeight(const std::string &Account, double Weight);

  /// Notes that an account has items waiting in a pool. An account that had
  /// none, or none that could start, is not owed what others used meanwhile:
  /// it competes from the present on.
  void compete(const SharePool &Pool, const std::string &Account);

  /// @pre compete() was called.
  SharePosition position(const SharePool &Pool,
                         const std::string &Account) const;

  /// Notes that an item started.
  /// @param Work its expected work.
  /// @pre compete() was called.
  void started(const SharePool &Pool, const std::string &Account, double Work);

  /// Corrects the work of an account when an item turned out to take another
  /// amount.
  /// @param Difference actual work less the work charged.
  void corrected(const SharePool &Pool, const std::string &Account,
                 double Difference);

  /// Forgets accounts that owe nothing and have no items.
  /// @param Present the accounts that have items. Their last starts are kept,
  ///   or those with equal work would no longer take turns.
  void trim(const std::set<std::string> &Present);

  /// @return the number of accounts in all pools.
  size_t size() const;

private:
  struct PoolState {
    /// Used work of the account that started last, before that start: the
    /// present.
    double Now = 0;
    std::map<std::string, SharePosition> Accounts;
  };

  double weightOf(const std::string &Account) const;

  std::map<SharePool, PoolState> Pools;
  std::map<std::string, double> Weights;
  uint64_t Starts = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_BATCH_FAIR_SHARE_BASE_H
