/// @file
/// Finds connections on which the head of a request arrives too slowly.

#ifndef CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H
#define CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H

#include "base/millis_type.h"
#include "net/h2o_internal.h"

#include <map>
#include <memory>

namespace camphornotch {

/// Knows the open connections of one server. h2o has one limit for the head of
/// a request and for an idle connection; this is the limit of the head alone.
class HeadWatch {
public:
  /// @param Limit the longest time for a head; 0: no limit.
  void setLimit(Millis Limit) { this->Limit = Limit; }

  /// Watches a connection until it is closed.
  /// @param Socket an accepted connection.
  void add(h2o_socket_t *Socket);

  /// Shuts connections down whose heads are late; h2o closes them.
  /// @param Now the present.
  /// @return how many were shut down.
  int look(Millis Now);

private:
  /// One connection.
  struct Connection {
    /// Whose connection it is.
    HeadWatch *Watch = nullptr;
    /// The connection.
    h2o_socket_t *Socket = nullptr;
    /// When part of a head was first seen; Never: there is none.
    Millis PartSince = Never;
  };

  /// h2o tells that a connection is closed.
  /// @param Data the connection.
  static void onClosed(void *Data);

  /// The longest time for a head; 0: no limit.
  Millis Limit{0};
  /// The connections.
  std::map<h2o_socket_t *, std::unique_ptr<Connection>> Open;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_HEAD_WATCH_INTERNAL_H
