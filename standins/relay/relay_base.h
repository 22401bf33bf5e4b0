/// @file
/// Relays TCP connections with a delay, in a thread of its own.

#ifndef CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H
#define CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H

#include "standins/relay/relay_type.h"

#include <deque>
#include <memory>
#include <mutex>
#include <sys/epoll.h>
#include <thread>

namespace camphornotch::standin {

/// The relay. Its thread owns all sockets; orders reach it as messages.
class Relay {
public:
  /// Opens all ports and starts the thread.
  /// @param Given the routes.
  explicit Relay(std::vector<Route> Given);
  /// Ends the thread.
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// @param Order a fault to inject.
  void order(const LineOrder &Order);

  /// @return what passed over each line.
  LineTable counts();

private:
  /// Bytes on their way.
  struct Parcel {
    /// When they arrive, in microseconds.
    int64_t DueMicros = 0;
    /// The bytes; none: the sender closed its side.
    std::string Bytes;
  };

  struct Pair;

  /// One socket of a relayed connection.
  struct Side {
    /// The socket.
    int Socket = -1;
    /// The connection that it belongs to.
    Pair *Owner = nullptr;
    /// Which of the two sockets of the connection.
    int Which = 0;
    /// Bytes on their way to this socket.
    std::deque<Parcel> Incoming;
    /// Their number.
    size_t IncomingBytes = 0;
    /// Whether the socket can take no more bytes for now.
    bool Blocked = false;
    /// Whether nothing more will be read from the socket.
    bool ReadEnded = false;
    /// Whether the end was passed on to the socket.
    bool WriteEnded = false;
    /// Whether reading rests, since too much is on its way.
    bool Resting = false;
  };

  /// One relayed connection.
  struct Pair {
    /// Its route.
    const Route *Path = nullptr;
    /// The accepted and the connected socket.
    Side Sides[2];
    /// Whether it went silent for good.
    bool Silent = false;
    /// When a reset reaches the other end, in microseconds; 0: there is none.
    int64_t ResetAtMicros = 0;
    /// Whether it is over.
    bool Dead = false;
  };

  /// Runs the thread.
  void run();
  /// @param Event what happened to a socket.
  void dispatch(const epoll_event &Event);
  /// Opens the port of a route.
  /// @param Path the route.
  void listen(const Route &Path);
  /// Takes a new connection.
  /// @param Listener the listening socket.
  /// @param Path its route.
  void accept(int Listener, const Route &Path);
  /// Reads what a socket has.
  /// @param From the socket.
  void read(Side &From);
  /// Writes what is due to a socket.
  /// @param To the socket.
  void write(Side &To);
  /// Writes all that is due.
  void writeDue();
  /// Sets what a socket is watched for.
  /// @param Watched the socket.
  void watch(Side &Watched);
  /// Ends a connection.
  /// @param Over the connection.
  /// @param Reset whether its ends see a reset.
  void close(Pair &Over, bool Reset);
  /// Forgets connections that are over.
  void sweep();
  /// Carries out the orders.
  void takeOrders();
  /// @param Order an order.
  void carryOut(const LineOrder &Order);
  /// @param Path a route.
  /// @return whether its line is cut now.
  bool isCut(const Route &Path) const;
  /// Sets the timer to when the next bytes are due.
  void armTimer();

  /// The routes.
  std::vector<Route> Routes;
  /// The epoll descriptor.
  int Poll = -1;
  /// Wakes the thread for orders.
  int Wake = -1;
  /// Fires when bytes are due.
  int Timer = -1;
  /// Route of each listening socket.
  std::map<int, const Route *> Listeners;
  /// The connections.
  std::vector<std::unique_ptr<Pair>> Pairs;
  /// The side of each connected socket.
  std::map<int, Side *> Sockets;
  /// Until when each line is cut, in microseconds.
  std::map<std::string, int64_t> CutUntil;
  /// Guards the two members below.
  std::mutex Shared;
  /// Orders not carried out.
  std::vector<LineOrder> Orders;
  /// What passed over each line.
  LineTable Counts;
  /// Whether the thread is to end.
  bool Ending = false;
  /// The thread; last, since it uses the rest.
  std::thread Worker;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H
