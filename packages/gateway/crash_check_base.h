/// @file
/// Finds out whether an endpoint that broke off an answer has crashed.

#ifndef CAMPHORNOTCH_GATEWAY_CRASH_CHECK_BASE_H
#define CAMPHORNOTCH_GATEWAY_CRASH_CHECK_BASE_H

#include "core/gateway/endpoint_pool_base.h"
#include "net/loop_base.h"

#include <functional>
#include <map>
#include <vector>

namespace camphornotch {

/// Distinguishes an endpoint that crashed within an answer from one that spoils
/// its answers and goes on: a crashed one refuses connections until it is back,
/// and has another lifetime then.
class CrashCheck {
public:
  /// Called if the endpoint has crashed.
  using Callback = std::function<void()>;

  CrashCheck(Loop &Events, const EndpointPool &Pool)
      : Events(Events), Pool(Pool) {}

  /// Begins to check an endpoint that just broke off an answer.
  void begin(const EndpointLifetime &Endpoint, Callback OnCrashed);

  /// Call after each change of the pool: finds lifetimes that have ended.
  void poolChanged();

private:
  struct Check {
    std::vector<Callback> Waiting;
    /// Whether a connection is to be made or under way.
    bool Connecting = false;
    /// When it is given up.
    Millis Until;
  };

  /// Opens a connection to the endpoint.
  void connect(const EndpointLifetime &Endpoint);
  /// Reports an endpoint as crashed.
  void crashed(const EndpointLifetime &Endpoint);
  /// Gives up checks whose time has passed.
  void expire();
  /// @return whether the lifetime is still the registered one.
  bool isCurrent(const EndpointLifetime &Endpoint) const;

  Loop &Events;
  const EndpointPool &Pool;
  std::map<EndpointLifetime, Check> Checks;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_CRASH_CHECK_BASE_H
