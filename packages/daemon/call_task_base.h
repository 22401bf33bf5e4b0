/// @file
/// Calls that may run at most once.

#ifndef CAMPHORNOTCH_DAEMON_CALL_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_CALL_TASK_BASE_H

#include "core/calls/call_base.h"
#include "core/routing/choice_func.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"
#include "daemon/waiting_requests_base.h"
#include "daemon/work_links_base.h"

namespace camphornotch {

/// Owns the call controller.
class CallTask {
public:
  /// @param Events the loop.
  /// @param Works sends work.
  /// @param Log takes records.
  /// @param Table the endpoints.
  /// @param Links knows the agents' boots.
  /// @param WorkIds numbers for work.
  CallTask(Loop &Events, WorkLinks &Works, LogTask &Log, EndpointTable &Table,
           const LinkTask &Links, WorkIdSource &WorkIds);

  /// Takes a caller's call.
  /// @param Exchange the request.
  /// @param Wanted its typed form.
  void call(const std::shared_ptr<CallerExchange> &Exchange,
            const ServiceRequest &Wanted);

  /// Takes an answer to work of this task.
  /// @param Event the answer.
  void take(const WorkEvent &Event);

  /// Hands an event to the controller and does what it asks for.
  /// @param Event the event.
  void handle(const CallEvent &Event);

  /// Takes the known calls over from a fold restored from a snapshot.
  void reload() { this->Controller.load(this->Log.fold().intents()); }

  /// @return requests that wait.
  size_t open() const { return this->Waiting.size(); }

private:
  /// @name Actions
  /// @{
  void act(const AppendRecord &Action);
  void act(const SendIntent &Action);
  void act(const AckIntent &Action);
  void act(const AnswerCall &Action);
  void act(const RefuseRequest &Action);
  /// @}

  /// @param Service a service.
  /// @return the agent that a new intent would name.
  std::optional<CallTarget> targetFor(const std::string &Service);
  /// Plans the controller's next tick.
  void planTick();

  /// The loop.
  Loop &Events;
  /// Sends work.
  WorkLinks &Works;
  /// Takes records.
  LogTask &Log;
  /// The endpoints.
  EndpointTable &Table;
  /// Knows the agents' boots.
  const LinkTask &Links;
  /// Decides.
  CallController Controller;
  /// Requests that wait.
  WaitingRequests Waiting;
  /// How an endpoint is chosen.
  ChoicePolicy Choice = ProbingPolicy{};
  /// Random choices.
  RandomSource Random;
  /// The controller's next tick.
  TimerId TickTimer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_CALL_TASK_BASE_H
