/// @file
/// Requests that are answered whole or streamed, and calls of our own.

#ifndef CAMPHORNOTCH_DAEMON_ROUTE_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_ROUTE_TASK_BASE_H

#include "core/routing/route_controller_base.h"
#include "daemon/caller_exchange_base.h"
#include "daemon/completion_answer_func.h"
#include "daemon/work_links_base.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace camphornotch {

/// The end of a call of our own: the answer or the refusal.
using RouteEnd = std::variant<wire::WorkFinished, Refusal>;
/// Told the end of a call of our own.
using RouteDone = std::function<void(const RouteEnd &)>;

/// One request for the route task.
struct RouteJob {
  /// What it needs; the request's number is filled in.
  RouteSpec Spec;
  /// What is sent; work number, attempt and deadline are filled in.
  wire::StartWork Work;
  /// How a completion is rendered.
  CompletionStyle Style;
  /// The caller; null for a call of our own.
  std::shared_ptr<CallerExchange> Exchange;
  /// Told the end of a call of our own.
  RouteDone Done;
};

/// Owns the route controller and the requests that it routes.
class RouteTask {
public:
  /// @param Events the loop.
  /// @param Works sends work.
  /// @param Table the endpoints.
  /// @param WorkIds numbers for attempts.
  /// @param Counters the process's metrics.
  RouteTask(Loop &Events, WorkLinks &Works, EndpointTable &Table,
            WorkIdSource &WorkIds, Metrics &Counters);

  /// Takes new rules.
  /// @param Rules the rules in force.
  void change(std::shared_ptr<const RuleSet> Rules) {
    this->Controller.change(std::move(Rules));
  }

  /// Routes a caller's completion.
  /// @param Exchange the request.
  /// @param Wanted its typed form.
  void complete(std::shared_ptr<CallerExchange> Exchange,
                const CompletionRequest &Wanted);

  /// Routes a caller's service call that may be repeated.
  /// @param Exchange the request.
  /// @param Wanted its typed form.
  void callService(std::shared_ptr<CallerExchange> Exchange,
                   const ServiceRequest &Wanted);

  /// Routes a request.
  /// @param Job the request.
  void submit(RouteJob Job);

  /// Takes an answer to work of this task.
  /// @param Event the answer.
  void take(const WorkEvent &Event);

  /// An endpoint is gone with all that ran there.
  /// @param Endpoint which.
  void endpointLost(EndpointIndex Endpoint);

  /// @return requests not yet answered.
  size_t open() const { return this->Jobs.size(); }

private:
  /// One request that is not yet answered.
  struct OpenJob {
    /// The request.
    RouteJob Job;
    /// The attempt whose output is the answer.
    WorkId Winner;
    /// Ends the request at its deadline.
    TimerId Timer;
  };

  /// Hands an event to the controller and does what it asks for.
  /// @param Event the event.
  void handle(const RouteEvent &Event);

  /// @name Actions
  /// @{
  void act(const SendRequest &Action);
  void act(const StopRequest &Action);
  void act(const UseAnswer &Action);
  void act(const RefuseRoute &Action);
  void act(const CountRouteRetry &Action);
  /// @}

  /// @name Answers of agents
  /// @{
  void on(const wire::WorkChunk &Chunk);
  void on(const wire::WorkFinished &Finished);
  void on(const wire::WorkRefused &Refused);
  /// @}

  /// Passes a part of a streamed answer on.
  /// @param Ref the request.
  /// @param Bytes the part.
  void passOn(RequestRef Ref, std::string_view Bytes);
  /// Gives the caller its whole answer and forgets the request.
  /// @param Ref the request.
  /// @param Finished the answer.
  void deliver(RequestRef Ref, const wire::WorkFinished &Finished);
  /// Gives the caller of a completion its answer.
  /// @param Job the request.
  /// @param Finished the answer.
  static void deliverCompletion(const RouteJob &Job,
                                const wire::WorkFinished &Finished);
  /// Refuses a request and forgets it.
  /// @param Ref the request.
  /// @param Why the refusal.
  void refuse(RequestRef Ref, const Refusal &Why);
  /// Forgets a request.
  /// @param Ref the request.
  /// @return it, if known.
  std::optional<OpenJob> close(RequestRef Ref);
  /// The caller went away.
  /// @param Ref its request.
  void callerGone(RequestRef Ref);
  /// The deadline has passed.
  /// @param Ref the request.
  void deadlinePassed(RequestRef Ref);
  /// Plans the controller's next tick.
  void planTick();

  /// The loop.
  Loop &Events;
  /// Sends work.
  WorkLinks &Works;
  /// The endpoints.
  EndpointTable &Table;
  /// The process's metrics.
  Metrics &Counters;
  /// Decides.
  RouteController Controller;
  /// Requests not yet answered.
  std::map<RequestRef, OpenJob> Jobs;
  /// The request of each attempt that is out.
  std::map<WorkId, RequestRef> Attempts;
  /// The last request's number.
  int64_t LastRef = 0;
  /// The controller's next tick.
  TimerId Tick;
  /// When it is planned.
  Millis TickAt = Never;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_ROUTE_TASK_BASE_H
