/// @file
/// Counts the requests of client accounts at a gateway and sends the counts to
/// the holder of the usage duty.

#ifndef CAMPHORNOTCH_GATEWAY_USAGE_TASK_BASE_H
#define CAMPHORNOTCH_GATEWAY_USAGE_TASK_BASE_H

#include "base/settings_type.h"
#include "core/duties/true_time_base.h"
#include "core/duties/usage_counter_base.h"
#include "gateway/forward_task_base.h"
#include "net/loop_base.h"

#include <functional>
#include <string>

namespace camphornotch {

/// The gateway's part of the usage duty. Without an interface for duties in the
/// settings it does nothing.
class UsageTask {
public:
  /// Sends a message to a peer.
  using Sender = std::function<void(const HostId &, const wire::PeerMessage &)>;

  UsageTask(Loop &Events, const CommonSettings &Settings, Sender Send);

  /// @return whether there is an interface for duties.
  bool enabled() const { return this->Enabled; }

  /// Sets the callbacks that count a request.
  /// @param Account the request's account; empty: it is not counted.
  void count(const std::string &Account, ForwardCallbacks &Callbacks);

  /// Notes a peer's wall clock.
  void onWallClock(const HostId &Peer, int64_t WallMs);

  /// Forgets the clock of a peer whose link is lost.
  void onLinkDown(const HostId &Peer);

  /// Sends all counts to a holder that is new, or the changes to a known one.
  void onHolder(const HostId &Peer, const wire::DutyHolderPush &Holder);

private:
  Millis trueNow() const;
  /// Plans a push to the holder, unless one is planned.
  void schedulePush();
  void push();

  Loop &Events;
  bool Enabled;
  std::string Host;
  /// Distinguishes this process from earlier ones of the host.
  int64_t Boot;
  Sender Send;
  TrueTime Clock;
  UsageCounter Counter;
  /// The holder and its fencing number; empty: none is known.
  HostId Holder;
  int64_t HolderFence = 0;
  /// The newest window that the holder says is settled; -1: none.
  int64_t SettledWindow = -1;
  bool PushScheduled = false;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_USAGE_TASK_BASE_H
