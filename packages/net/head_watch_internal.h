/// @file
/// Timeout for the headers of a request, and the end of idle connections.

#ifndef CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H
#define CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H

#include "base/millis_type.h"
#include "net/h2o_internal.h"
#include "net/limited_connection_internal.h"

#include <map>
#include <memory>
#include <unordered_set>

namespace camphornotch {

/// Watches the connections of a server. Limits the time in which the head of a
/// request must arrive on each; h2o has one limit for request heads and idle
/// connections together. Closes the idle ones of a server that stops.
class HeadWatch {
public:
  /// @param Limit time from the first byte of a head to its last; 0: no limit.
  void setLimit(Millis Limit) { this->Limit = Limit; }

  /// Watches an accepted connection until it is closed.
  /// @param Limited its part under the limits of the process; may be null.
  void add(h2o_socket_t *Socket, std::unique_ptr<LimitedConnection> Limited);

  /// @return the part of a connection under the limits of the process; null if
  ///   it has none or is closed.
  LimitedConnection *limited(h2o_socket_t *Socket) const;
  /// @param Socket a connection that some HeadWatch watches.
  static LimitedConnection *limitedOf(h2o_socket_t *Socket);

  /// Shuts down the connections whose heads are over the limit; h2o then closes
  /// them. The limit is exact only to the interval between two calls.
  /// @return how many were shut down.
  int closeLate(Millis Now);

  /// Shuts down the connections on which no request is open and no byte of the
  /// next one has arrived.
  /// @param Busy those with an open request.
  /// @return how many were shut down.
  int closeIdle(const std::unordered_set<h2o_socket_t *> &Busy);

private:
  struct Connection {
    HeadWatch *Owner = nullptr;
    h2o_socket_t *Socket = nullptr;
    /// When an incomplete head was first seen; Never: there is none.
    Millis PartialSince = Never;
    /// Whether it was shut down; h2o closes it when it reads the end.
    bool ShutDown = false;
    std::unique_ptr<LimitedConnection> Limited;
  };

  /// h2o's callback when a connection is closed.
  /// @param Data its Connection.
  static void onClosed(void *Data);

  Millis Limit{0};
  std::map<h2o_socket_t *, std::unique_ptr<Connection>> Connections;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H
