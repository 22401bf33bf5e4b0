/// @file
/// Relays TCP connections with a delay, in a separate thread.

#ifndef CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H
#define CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H

#include "standins/relay/relay_type.h"

#include <deque>
#include <memory>
#include <mutex>
#include <sys/epoll.h>
#include <thread>

namespace camphornotch::standin {

/// The relay. Its thread owns all sockets and takes requests from a queue.
class Relay {
public:
  /// Listens on all ports and starts the thread.
  explicit Relay(std::vector<Route> InitialRoutes);
  /// Stops the thread.
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Queues a fault for the relay thread. Thread-safe.
  void inject(const FaultRequest &Request);

  /// @return the traffic of each line. Thread-safe.
  LineTable counts();

private:
  /// Delayed bytes.
  struct Chunk {
    /// When they are written, on the steady clock.
    int64_t DueMicros = 0;
    /// If empty, the sender closed its side.
    std::string Bytes;
  };

  struct RelayedConnection;

  /// One socket of a relayed connection.
  struct Side {
    int Socket = -1;
    RelayedConnection *Owner = nullptr;
    /// Position in Sides of the connection.
    int Index = 0;
    /// Delayed bytes to be written to this socket.
    std::deque<Chunk> PendingChunks;
    /// Bytes in the chunks above.
    size_t PendingBytes = 0;
    /// Whether writes wait for EPOLLOUT.
    bool WriteBlocked = false;
    /// Whether the socket reached its end or failed.
    bool ReadEnded = false;
    /// Whether the socket was shut down for writing.
    bool WriteEnded = false;
    /// Whether reads pause until the other side has fewer pending bytes.
    bool ReadPaused = false;
  };

  /// One relayed connection.
  struct RelayedConnection {
    const Route *Path = nullptr;
    /// The accepted and the connected socket.
    Side Sides[2];
    /// Whether it passes no bytes any more.
    bool Silent = false;
    /// When the connection is reset, on the steady clock; 0 if no reset is due.
    int64_t ResetAtMicros = 0;
    /// Whether its sockets are closed and it is to be removed.
    bool Closed = false;
  };

  /// The loop of the thread.
  void run();
  /// Handles an epoll event.
  void dispatch(const epoll_event &Event);
  /// Listens on the port of a route; exits the process if it is taken.
  void listen(const Route &Path);
  /// Accepts the new connections of a route and connects them to its target.
  void accept(int Listener, const Route &Path);
  /// Reads available bytes and queues them at the other side with the delay.
  void read(Side &Source);
  /// Writes the chunks of a socket that are due.
  void write(Side &Destination);
  /// Writes all chunks that are due, and closes connections that ended.
  void writeDue();
  /// Updates the epoll events of a socket.
  void updateEvents(Side &Watched);
  /// Closes both sockets.
  /// @param Reset whether to send a TCP reset.
  void close(RelayedConnection &Connection, bool Reset);
  /// Removes closed connections.
  void removeClosed();
  /// Applies the queued faults.
  void runFaultRequests();
  void applyFault(const FaultRequest &Request);
  /// @return whether the line of the route is cut now.
  bool isCut(const Route &Path) const;
  /// Sets the timer to the time of the next write or reset.
  void armTimer();

  std::vector<Route> Routes;
  int EpollFd = -1;
  /// An eventfd that wakes the thread.
  int WakeFd = -1;
  /// A timerfd.
  int TimerFd = -1;
  /// Routes by listening socket.
  std::map<int, const Route *> Listeners;
  std::vector<std::unique_ptr<RelayedConnection>> Connections;
  /// Sides by socket.
  std::map<int, Side *> Sockets;
  /// End of the cut of each line, in microseconds of the steady clock.
  std::map<std::string, int64_t> CutUntil;
  /// Guards FaultRequests, Counts and Stopping.
  std::mutex Mutex;
  /// Faults that the thread has not applied yet.
  std::vector<FaultRequest> FaultRequests;
  /// Traffic by line.
  LineTable Counts;
  bool Stopping = false;
  /// The last member, because the thread uses the others.
  std::thread Worker;
};

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_RELAY_RELAY_BASE_H
