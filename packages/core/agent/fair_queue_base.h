/// @file
/// The order of waiting work of one class: fair among callers, but a trainer's
/// step that is nearly whole goes before one that is not.

#ifndef CAMPHORNOTCH_CORE_AGENT_FAIR_QUEUE_BASE_H
#define CAMPHORNOTCH_CORE_AGENT_FAIR_QUEUE_BASE_H

#include "core/agent/work_type.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace camphornotch {

/// Start-time fair queueing: each caller gets the same share of tokens while
/// it waits; a caller that was idle gains no credit. A caller needs no
/// registration and costs nothing once it has nothing waiting and its share is
/// used up.
///
/// Work that belongs to a step is served by the least remaining step first,
/// since steps that share engines evenly all finish late. Every FairEvery-th
/// start goes by the fair order, so that no step starves.
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
    /// Whose it is.
    std::string Caller;
    /// The work.
    WorkKey Key;
    /// Tokens that it will generate.
    int64_t Tokens = 0;
  };

  /// Waiting work of one caller's steps.
  struct StepLine {
    /// Tokens until the step is whole, as its newest work said.
    int64_t Remaining = 0;
    /// Its places in the order.
    std::set<Tag> Places;
  };

  /// Starts of which one goes by the fair order.
  static constexpr int64_t FairEvery = 8;

  /// @return the place of the work that goes next.
  /// @pre The queue is not empty.
  [[nodiscard]] Tag nextPlace() const;

  /// Takes a place out of its caller's step.
  /// @param Caller whose place.
  /// @param Place the place.
  void eraseFromStep(const std::string &Caller, Tag Place);

  /// Forgets callers whose share is used up.
  void forgetIdleCallers();

  /// Waiting work by the order in which it goes.
  std::map<Tag, Item> Order;
  /// Work that belongs to steps, by caller.
  std::map<std::string, StepLine> Steps;
  /// Starts so far.
  int64_t Starts = 0;
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
