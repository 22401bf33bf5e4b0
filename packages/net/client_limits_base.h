/// @file
/// Applies the limits on what clients make the process hold.

#ifndef CAMPHORNOTCH_NET_CLIENT_LIMITS_BASE_H
#define CAMPHORNOTCH_NET_CLIENT_LIMITS_BASE_H

#include "core/limits/limit_controller_base.h"
#include "net/http_type.h"
#include "net/loop_base.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace camphornotch {

/// The limits of one process, shared by its servers and clients. Ends the
/// connections that the controller chooses.
class ClientLimits {
public:
  /// What a connection does when the limits ask for it.
  struct ConnectionHandlers {
    /// Ends the connection at once.
    std::function<void(LimitReason)> End;
    /// Takes up its reads again.
    /// @return whether it could; if not, it is asked again.
    std::function<bool()> Resume;
  };

  ClientLimits(Loop &Events, const LimitRules &Rules);
  ClientLimits(const ClientLimits &) = delete;
  ClientLimits &operator=(const ClientLimits &) = delete;

  const LimitController &controller() const { return this->Controller; }
  void setRules(const LimitRules &Rules) { this->Controller.setRules(Rules); }

  /// Asks for a new connection; may end another one.
  /// @param Address its client's numeric address.
  /// @return its id; 0: it is not admitted.
  ConnectionId open(ClientPort Port, uint32_t Address,
                    ConnectionHandlers Handlers);
  void close(ConnectionId Id);

  /// Asks the connection in the next turn to take up its reads.
  void resumeLater(ConnectionId Id);

  void requestBegan(ConnectionId Id) { this->Controller.requestBegan(Id); }
  void requestEnded(ConnectionId Id, int64_t InputBytes);

  /// Reports what a connection holds of requests; may end connections, also
  /// this one.
  void input(ConnectionId Id, int64_t Bytes, bool IsProgress);

  /// Reports a change of what a connection holds of responses.
  /// @param Added negative: fewer bytes.
  /// @param IsProgress whether the client has read some.
  void unread(ConnectionId Id, int64_t Added, bool IsProgress);

  void multiplexes(ConnectionId Id) { this->Controller.multiplexes(Id); }

  /// Ends the connections whose request arrives too slowly.
  void endSlow();

  /// Holds bytes if they fit, or ends others until they do.
  /// @return whether they are held.
  bool reserve(int64_t Bytes);

  /// Holds bytes that are there already, or releases them, if negative.
  void hold(int64_t Bytes);

  /// Holds bytes as soon as they fit, in the order of the calls.
  /// @param Granted called in a later turn with the bytes held.
  /// @return the number of the wait, for stopWaiting().
  uint64_t wait(int64_t Bytes, std::function<void()> Granted);
  /// @param Wait ignored if it was granted.
  void stopWaiting(uint64_t Wait);

  /// @return whether a complete request may be handled; counts a refusal.
  bool mayHandle();

private:
  struct Waiter {
    uint64_t Id;
    int64_t Bytes;
    std::function<void()> Granted;
  };

  void resumeAll();
  /// Ends connections until the bytes fit.
  /// @return whether they do.
  bool makeRoom(int64_t Needed);
  void end(const EndConnection &Victim);
  /// Grants the waits that fit, in a later turn.
  void scheduleGrants();
  void grant();

  Loop &Events;
  LimitController Controller;
  std::unordered_map<ConnectionId, ConnectionHandlers> Handlers;
  /// Connections to ask in the next turn.
  std::vector<ConnectionId> Resuming;
  std::deque<Waiter> Waiters;
  uint64_t LastWait = 0;
  uint64_t LastConnection = 0;
  bool IsGrantScheduled = false;
  /// When the next log line about ended connections may be written.
  Millis NextLogAt{0};
  int64_t Unlogged = 0;
};

/// Makes the allocator give large blocks back to the system when they are
/// freed, and the HTTP library keep its buffers out of temporary files, which
/// may be in memory. To be called before any body arrives.
void returnFreedMemory();

/// Bytes held under the limits of a process; releases them at its end.
class HeldBytes {
public:
  HeldBytes() = default;
  ~HeldBytes() { this->set(0); }
  HeldBytes(const HeldBytes &) = delete;
  HeldBytes &operator=(const HeldBytes &) = delete;

  /// @param Limits where the bytes count; null: nowhere.
  void attach(std::shared_ptr<ClientLimits> Limits) {
    this->Limits = std::move(Limits);
  }
  /// Changes how many bytes are held.
  void set(int64_t Bytes) {
    if (this->Limits != nullptr && Bytes != this->Bytes)
      this->Limits->hold(Bytes - this->Bytes);
    this->Bytes = Bytes;
  }
  /// Takes over bytes that ClientLimits holds already.
  void adopt(int64_t Held) { this->Bytes += Held; }
  int64_t bytes() const { return this->Bytes; }

private:
  std::shared_ptr<ClientLimits> Limits;
  int64_t Bytes = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_CLIENT_LIMITS_BASE_H
