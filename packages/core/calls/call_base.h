/// @file
/// The entry's side of calls that may run at most once.

#ifndef CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H
#define CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H

#include "core/calls/call_type.h"

#include <deque>
#include <map>
#include <set>

namespace camphornotch {

/// Records an intent before a call is sent, and answers repeats from its
/// outcome. The first intent record of a key stands until an outcome with
/// NotRun closes it.
class CallController {
public:
  /// @param Settings delays and bounds.
  /// @param FirstWork work numbers start here; unique for this process.
  CallController(CallSettings Settings, WorkId FirstWork);

  /// @param Event what happened.
  /// @param Now the present.
  /// @return what is to be done.
  std::vector<CallAction> handle(const CallEvent &Event, Millis Now);

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
  /// Folds one outcome: it answers or reopens its key.
  /// @param Record the outcome.
  /// @param Out receives answers.
  void foldOutcome(const wire::OutcomeRecord &Record, Actions &Out);
  /// Appends an intent for a key that has none.
  /// @param Key the key.
  /// @param State its state.
  /// @param Now the present.
  /// @param Out receives the record or refusals.
  void propose(const std::string &Key, KeyState &State, Millis Now,
               Actions &Out);
  /// Sends a standing intent to its agent, or tells why that cannot be.
  /// @param Key the key.
  /// @param State its state.
  /// @param Now the present.
  /// @param Out receives the message or refusals.
  void dispatch(const std::string &Key, KeyState &State, Millis Now,
                Actions &Out);
  /// Answers every waiter from a known outcome.
  /// @param Key the key.
  /// @param State its state.
  /// @param Repeated whether an earlier request ran it.
  /// @param Out receives the answers.
  void answer(const std::string &Key, KeyState &State, bool Repeated,
              Actions &Out);
  /// Refuses every waiter.
  /// @param State the key's state.
  /// @param Why the refusal; its state is made truthful for each waiter.
  /// @param Settled whether Why.State holds whatever the caller sent before.
  /// @param Out receives the refusals.
  static void refuse(KeyState &State, const Refusal &Why, bool Settled,
                     Actions &Out);
  /// @param Work a work number of this process.
  /// @return the key sent under it, or the end of Keys.
  std::map<std::string, KeyState>::iterator findWork(int64_t Work);
  /// Notes that nobody waits for a key any more, and forgets old keys.
  /// @param Key the key.
  void retire(const std::string &Key);

  /// Delays and bounds.
  CallSettings Settings;
  /// The next work number.
  WorkId NextWork;
  /// Whether the log answers.
  bool LogUp = true;
  /// The boots of the agents whose link works.
  std::map<HostId, BootId> Agents;
  /// The newest boot ever seen on a host.
  std::map<HostId, BootId> LastBoots;
  /// Known keys.
  std::map<std::string, KeyState> Keys;
  /// Work numbers in use.
  std::map<int64_t, std::string> Works;
  /// Keys in the order in which their outcome came, for forgetting.
  std::deque<std::string> Finished;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_CALLS_CALL_BASE_H
