/// @file
/// The agent's guard: an intent starts once, for the boot that it names.

#ifndef CAMPHORNOTCH_CORE_CALLS_INTENT_GUARD_BASE_H
#define CAMPHORNOTCH_CORE_CALLS_INTENT_GUARD_BASE_H

#include "base/id_type.h"
#include "base/refusal_type.h"
#include "camphornotch_types.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace camphornotch {

/// Who waits for an intent's end.
struct IntentWaiter {
  /// The entry.
  HostId Peer;
  /// The entry's number for the work.
  WorkId Work;

  /// Orders by peer and work.
  auto operator<=>(const IntentWaiter &) const = default;
};

/// Decision: start it now; finish() or refuse() must follow.
struct StartIntent {};

/// Decision: it runs already; the waiter is told when it ends.
struct JoinIntent {};

/// Decision: it has ended with this answer.
struct AnswerIntent {
  /// The answer, to be sent under the waiter's own work number.
  wire::WorkFinished Answer;
};

/// Decision: it does not start here.
struct RefuseIntent {
  /// Why, and whether it ran.
  Refusal Why;
};

/// What the agent does with one StartWork of kind IntentCall.
using IntentDecision =
    std::variant<StartIntent, JoinIntent, AnswerIntent, RefuseIntent>;

/// Remembers the intents of this boot, up to a bound.
class IntentGuard {
public:
  /// @param Boot this agent's boot.
  /// @param MaxKept intents remembered after their end.
  IntentGuard(BootId Boot, size_t MaxKept);

  /// Decides on one StartWork.
  /// @param Offset the offset of the intent's record.
  /// @param Boot the boot that the intent names.
  /// @param Waiter who asks.
  /// @return what to do.
  IntentDecision admit(LogOffset Offset, BootId Boot,
                       const IntentWaiter &Waiter);

  /// The endpoint answered.
  /// @param Offset the intent.
  /// @param Answer its answer.
  /// @return who waits for it.
  std::vector<IntentWaiter> finish(LogOffset Offset, wire::WorkFinished Answer);

  /// The intent ended without an answer. State NotRun is final: the intent
  /// never starts in this boot afterwards.
  /// @param Offset the intent.
  /// @param Why the refusal that all waiters get, now and later.
  /// @return who waits for it.
  std::vector<IntentWaiter> refuse(LogOffset Offset, Refusal Why);

  /// Forgets the waiters of a process that has ended: its successor on the host
  /// uses the same work numbers for other work.
  /// @param Peer the process's host.
  void dropWaiters(const HostId &Peer);

  /// @return intents remembered.
  size_t size() const { return this->Intents.size(); }

private:
  /// One intent.
  struct IntentState {
    /// Who waits; empty once ended.
    std::vector<IntentWaiter> Waiters;
    /// The answer, once finished.
    std::optional<wire::WorkFinished> Answer;
    /// The refusal, once refused.
    std::optional<Refusal> Why;

    /// @return whether the outcome is settled.
    bool ended() const { return this->Answer || this->Why; }
  };

  /// Ends an intent.
  /// @param State the intent.
  /// @return who waited.
  std::vector<IntentWaiter> end(IntentState &State);
  /// Forgets the oldest ended intents over the bound.
  void shrink();

  /// This agent's boot.
  BootId Boot;
  /// Intents remembered after their end.
  size_t MaxKept;
  /// Ended intents among Intents.
  size_t Ended = 0;
  /// The largest offset ever forgotten.
  LogOffset HighestForgotten = NoOffset;
  /// The intents, by offset.
  std::map<LogOffset, IntentState> Intents;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CALLS_INTENT_GUARD_BASE_H
