/// @file
/// Start-time fair queue: waiting work of one class, fair among callers.

#ifndef CAMPHORNOTCH_CORE_AGENT_FAIR_QUEUE_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_FAIR_QUEUE_BASE_H

#include "core/agent/work_type.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace camphornotch {

/// Each caller gets the same share of tokens while it waits; a caller that
/// was idle gains no credit. A caller needs no registration and costs nothing
/// once it has nothing waiting and its share is used up.
class FairQueue {
public:
  /// Adds work at the end of its caller's line.
  /// @param Caller whom the tokens are counted for.
  /// @param Key the work.
  /// @param Tokens that it will generate.
  /// @param Cost what the caller is charged, its tokens by its weight.
  void push(std::string_view Caller, WorkKey Key, int64_t Tokens, int64_t Cost);

  /// @return the work that goes next, if any.
  [[nodiscard]] std::optional<WorkKey> front() const;

  /// Takes the work that goes next.
  /// @pre The queue is not empty.
  void pop();

  /// @param Key work to take out wherever it stands.
  void erase(WorkKey Key);

  /// @return how much work waits.
  [[nodiscard]] size_t size() const { return this->Order.size(); }

  /// @return whether none waits.
  [[nodiscard]] bool empty() const { return this->Order.empty(); }

  /// @return tokens of all waiting work.
  [[nodiscard]] int64_t tokens() const { return this->WaitingTokens; }

private:
  /// Virtual start time, then arrival, so that ties keep their order.
  using Tag = std::pair<int64_t, int64_t>;

  /// One piece of waiting work.
  struct Item {
    /// The work.
    WorkKey Key;
    /// Tokens that it will generate.
    int64_t Tokens = 0;
  };

  /// Forgets callers whose share is used up.
  void forgetIdleCallers();

  /// Waiting work by the order in which it goes.
  std::map<Tag, Item> Order;
  /// Where each piece of work stands in the order.
  absl::flat_hash_map<WorkKey, Tag> Places;
  /// Virtual time at which each caller's last work ends.
  absl::flat_hash_map<std::string, int64_t> CallerEnds;
  /// Virtual time: start of the work taken last.
  int64_t VirtualNow = 0;
  /// Arrivals so far.
  int64_t Arrivals = 0;
  /// Tokens of all waiting work.
  int64_t WaitingTokens = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_AGENT_FAIR_QUEUE_BASE_H
