/// @file
/// The entry's side of calls that may run at most once.

#ifndef CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H
#define CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H

#include "core/calls/call_type.h"
#include "core/fold/fold_state_type.h"
#include "core/routing/work_id_base.h"

#include <absl/container/flat_hash_set.h>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace camphornotch {

/// Records an intent before a call is sent, and answers repeats from its
/// outcome. The first intent record of a key stands for ever: an outcome with
/// NotRun ends the key, so that what the caller was told stays true.
class CallController {
public:
  /// @param Settings delays and bounds.
  /// @param WorkIds numbers for work; must outlive the controller.
  CallController(CallSettings Settings, WorkIdSource &WorkIds);

  /// @param Event what happened.
  /// @param Now the present.
  /// @return what is to be done.
  std::vector<CallAction> handle(const CallEvent &Event, Millis Now);

  /// Takes the calls over from a fold that was restored from a snapshot.
  /// @param Intents the calls known, by key.
  void load(const std::unordered_map<std::string, IntentState> &Intents);

  /// @return when handle(Tick{}, Now) is due.
  Millis nextDeadline() const;

  /// @return keys remembered.
  size_t size() const { return this->Keys.size(); }

private:
  /// Actions under construction.
  using Actions = std::vector<CallAction>;

  /// One request that waits.
  struct Waiter {
    /// Whom to answer.
    RequestHandle Request;
    /// Whether the caller never sent the key before.
    bool FirstUse = false;
  };

  /// One key.
  struct KeyState {
    /// The offset of the intent that stands; NoOffset: none read back.
    LogOffset Intent = NoOffset;
    /// The intent.
    wire::IntentRecord Record;
    /// The outcome, once read back or told by the agent.
    std::optional<wire::OutcomeRecord> Outcome;
    /// Whether an intent of this process is on its way to the log.
    bool Proposed = false;
    /// The work number under which it was sent; 0: not sent by this process.
    WorkId Work;
    /// Whether the present link to the agent carried the work.
    bool OnLink = false;
    /// When the waiters are refused.
    Millis Deadline = Never;
    /// Who waits.
    std::vector<Waiter> Waiters;
    /// The request, kept while somebody waits.
    std::optional<CallReceived> Request;
  };

  /// The known keys.
  using KeyMap = std::map<std::string, KeyState>;

  /// @name Event handlers
  /// Each takes the event, the present and receives actions.
  /// @{
  void on(const CallReceived &Event, Millis Now, Actions &Out);
  void on(const AgentPresent &Event, Millis Now, Actions &Out);
  void on(const AgentLost &Event, Millis Now, Actions &Out);
  void on(const CallFinished &Event, Millis Now, Actions &Out);
  void on(const CallRefused &Event, Millis Now, Actions &Out);
  void on(const RequestGone &Event, Millis Now, Actions &Out);
  void on(const RecordCommitted &Event, Millis Now, Actions &Out);
  void on(const LogStatus &Event, Millis Now, Actions &Out);
  void on(const Tick &Event, Millis Now, Actions &Out);
  /// @}

  /// Folds one intent: the first of its key stands.
  /// @param Offset its offset.
  /// @param Record the intent.
  /// @param Now the present.
  /// @param Out receives the dispatch.
  void foldIntent(LogOffset Offset, const wire::IntentRecord &Record,
                  Millis Now, Actions &Out);
  /// Folds one outcome: it answers or ends its key.
  /// @param Record the outcome.
  /// @param Now the present.
  /// @param Out receives answers.
  void foldOutcome(const wire::OutcomeRecord &Record, Millis Now, Actions &Out);
  /// Adds a waiter to a key, unless the request contradicts the key.
  /// @param Event the request.
  /// @param State the key's state.
  /// @param Out receives the refusal.
  /// @return whether it waits.
  bool addWaiter(const CallReceived &Event, KeyState &State, Actions &Out);
  /// Does what a key with waiters needs next.
  /// @param State the key's state.
  /// @param Now the present.
  /// @param Out receives it.
  void proceed(KeyState &State, Millis Now, Actions &Out);
  /// Appends an intent for a key that has none.
  /// @param State the key's state.
  /// @param Now the present.
  /// @param Out receives the record or refusals.
  void propose(KeyState &State, Millis Now, Actions &Out);
  /// Sends a standing intent to its agent, or tells why that cannot be.
  /// @param State the key's state.
  /// @param Now the present.
  /// @param Out receives the message or refusals.
  void dispatch(KeyState &State, Millis Now, Actions &Out);
  /// @param State a key with a standing intent and a request.
  /// @return the message that starts or joins it.
  wire::StartWork startMessage(const KeyState &State) const;
  /// Answers every waiter.
  /// @param State the key's state.
  /// @param Outcome the answer, with its body.
  /// @param Repeated whether an earlier request ran it.
  /// @param Out receives the answers.
  void answer(KeyState &State, const wire::OutcomeRecord &Outcome,
              bool Repeated, Actions &Out);
  /// Refuses every waiter.
  /// @param State the key's state.
  /// @param Why the refusal.
  /// @param Settled whether Why.State holds whatever the caller sent before;
  ///        if not, it is made truthful for each waiter.
  /// @param Out receives the refusals.
  void refuse(KeyState &State, const Refusal &Why, bool Settled, Actions &Out);
  /// @param Outcome an outcome with NotRun.
  /// @return what every request of its key is told.
  static Refusal endedRefusal(const wire::OutcomeRecord &Outcome);
  /// Appends an outcome.
  /// @param Outcome the outcome.
  /// @param Out receives the record.
  static void appendOutcome(const wire::OutcomeRecord &Outcome, Actions &Out);
  /// Notes that nobody waits for a key any more.
  /// @param State the key's state.
  void clearWaiters(KeyState &State);
  /// Forgets that a key was sent.
  /// @param State the key's state.
  void forgetWork(KeyState &State);
  /// @param Work a work number of this process.
  /// @return the state of the key sent under it, or nullptr.
  KeyState *findWork(int64_t Work);
  /// @param Key a key.
  /// @return whether its intent was forgotten, but not that there was one.
  bool forgotten(const std::string &Key) const;
  /// Reduces the oldest keys to their hashes, and forgets expired hashes.
  /// @param Newest the newest offset read.
  void shrink(LogOffset Newest);

  /// Delays and bounds.
  CallSettings Settings;
  /// Numbers for work.
  WorkIdSource &WorkIds;
  /// Whether the log answers.
  bool LogUp = true;
  /// The boots of the agents whose link works.
  std::map<HostId, BootId> Agents;
  /// The newest boot seen on a host by link or log.
  std::map<HostId, BootId> LastBoots;
  /// Known keys.
  KeyMap Keys;
  /// Keys with waiters.
  std::set<std::string> Waiting;
  /// The keys of waiting requests.
  std::map<RequestHandle, std::string> Requests;
  /// Work numbers in use.
  std::map<int64_t, std::string> Works;
  /// Keys in the order of their intents, for forgetting.
  std::deque<std::pair<LogOffset, std::string>> Order;
  /// Hashes of keys whose intents were reduced.
  absl::flat_hash_set<uint64_t> ReducedKeys;
  /// The same in the order of their intents.
  std::deque<std::pair<LogOffset, uint64_t>> ReducedOrder;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H
