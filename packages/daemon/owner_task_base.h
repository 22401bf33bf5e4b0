/// @file
/// Brings requests to the entry that owns their shard.

#ifndef CAMPHORNOTCH_DAEMON_OWNER_TASK_BASE_H
#define CAMPHORNOTCH_DAEMON_OWNER_TASK_BASE_H

#include "core/claims/claim_base.h"
#include "daemon/caller_exchange_base.h"
#include "daemon/link_task_base.h"
#include "daemon/log_task_base.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace camphornotch {

/// Serves a request here, where its shard is owned.
using ServeHere = std::function<void(const std::shared_ptr<CallerExchange> &)>;

/// What the owner task tells.
struct OwnerTaskEvents {
  /// This entry owns a shard from now on.
  std::function<void(const ShardGained &)> Gained;
  /// This entry owns a shard no longer.
  std::function<void(const ShardLost &)> Lost;
  /// All shards are released.
  std::function<void()> Released;
  /// Another entry forwarded a request to this one.
  std::function<void(std::shared_ptr<CallerExchange>)> Forwarded;
};

/// Owns the claim controller, the requests that wait for an owner and those
/// that were forwarded.
class OwnerTask {
public:
  /// @param Events the loop.
  /// @param Links carries the messages.
  /// @param Log takes records.
  /// @param Settings the common settings.
  /// @param Boot this process's boot.
  /// @param Counters the process's metrics.
  OwnerTask(Loop &Events, LinkTask &Links, LogTask &Log,
            const CommonSettings &Settings, BootId Boot, Metrics &Counters);

  /// @param Tell what to tell.
  void start(OwnerTaskEvents Tell) { this->Tell = std::move(Tell); }

  /// Brings a request to the owner of its shard; waits if there is none.
  /// @param Shard the shard.
  /// @param Exchange the request.
  /// @param Serve serves it if the owner is here.
  void route(const ShardId &Shard,
             const std::shared_ptr<CallerExchange> &Exchange,
             const ServeHere &Serve);

  /// Takes a request that another entry forwarded.
  /// @param Peer the other entry.
  /// @param Request the request.
  void takeForward(const HostId &Peer, const wire::ForwardRequest &Request);

  /// Takes the answer to a request that was forwarded.
  /// @param Reply the answer.
  void takeReply(const wire::ForwardReply &Reply);

  /// A peer is gone with the requests that were forwarded to it.
  /// @param Peer the peer.
  void linkDown(const HostId &Peer);

  /// A peer is linked on a new connection: what was forwarded may be lost.
  /// @param Up the event.
  void linkUp(const LinkUp &Up);

  /// Hands an event to the claim controller and does what it asks for.
  /// @param Event the event.
  void handle(const ClaimEvent &Event);

  /// Takes the claims over from the fold after a snapshot.
  void reload();

  /// @return the claim controller, for the status.
  const ClaimController &claims() const { return this->Controller; }

private:
  /// A request on its way to its owner.
  struct Routed {
    /// The shard.
    ShardId Shard;
    /// The request.
    std::shared_ptr<CallerExchange> Exchange;
    /// Serves it here.
    ServeHere Serve;
    /// Until when it is tried.
    Millis Until;
    /// To whom it was forwarded; empty: to nobody.
    HostId Peer;
  };

  /// @name Actions
  /// @{
  void act(const AppendRecord &Action);
  void act(const ShardGained &Action);
  void act(const ShardLost &Action);
  void act(const StopReady &Action);
  /// @}

  /// Serves, forwards or keeps a request.
  /// @param Request the request.
  void advance(Routed Request);
  /// Sends a request to its owner.
  /// @param Request the request.
  /// @param Owner the owner.
  /// @return whether it was sent.
  bool forward(Routed &Request, const HostId &Owner);
  /// Tries waiting requests again.
  void retryWaiting();
  /// Brings what was forwarded to a peer on its way again.
  /// @param Peer the peer.
  void recall(const HostId &Peer);
  /// Plans the controller's next tick.
  void planTick();

  /// The loop.
  Loop &Events;
  /// Carries the messages.
  LinkTask &Links;
  /// Takes records.
  LogTask &Log;
  /// The common settings.
  const CommonSettings &Settings;
  /// The process's metrics.
  Metrics &Counters;
  /// What to tell.
  OwnerTaskEvents Tell;
  /// Decides who owns what.
  ClaimController Controller;
  /// Requests whose shard has no owner yet.
  std::deque<Routed> Waiting;
  /// Requests at other entries, by forward number.
  std::map<int64_t, Routed> Forwarded;
  /// The last forward number.
  int64_t LastForward = 0;
  /// The next look at waiting requests.
  TimerId RetryTimer;
  /// Whether it is planned.
  bool RetryPlanned = false;
  /// The controller's next tick.
  TimerId TickTimer;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_OWNER_TASK_BASE_H
