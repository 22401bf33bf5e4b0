/// @file
/// Decides which connections and requests of clients fit into the memory and
/// the descriptors of the process.

#ifndef CAMPHORNOTCH_CORE_LIMITS_LIMIT_CONTROLLER_BASE_H
#define CAMPHORNOTCH_CORE_LIMITS_LIMIT_CONTROLLER_BASE_H

#include "core/limits/limit_type.h"

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphornotch {

/// Keeps the account of all bytes held for clients. A connection is idle, has
/// an incomplete request (bytes received, none of its requests open), or has
/// open requests. Events take constant time and allocate nothing, except for
/// new connections; only the choice of a connection to end looks at all that
/// are not idle.
class LimitController {
public:
  explicit LimitController(LimitRules Rules) : Rules(Rules) {}

  const LimitRules &rules() const { return this->Rules; }
  void setRules(const LimitRules &Changed) { this->Rules = Changed; }

  /// What to do about a new connection.
  struct OpenDecision {
    /// The connection to end first; nothing: none.
    std::optional<EndConnection> End;
    /// Whether the new connection is admitted. If not, it is not known here.
    bool IsAdmitted = true;
  };

  /// Decides about a new connection.
  /// @param Address the numeric address of the client.
  OpenDecision open(ConnectionId Id, ClientPort Port, uint32_t Address,
                    Millis Now);

  /// A connection was closed; the bytes of its input are released.
  /// @param Id ignored if it is not known.
  void close(ConnectionId Id);

  /// The unhandled input of a connection changed.
  /// @param Bytes what it holds now; with an open request, bytes after it.
  /// @param IsProgress whether bytes have arrived.
  void input(ConnectionId Id, int64_t Bytes, bool IsProgress, Millis Now);

  /// A complete request of the connection is being handled.
  void requestBegan(ConnectionId Id);

  /// A request of the connection has been answered completely, or given up.
  /// @param InputBytes what the connection holds of later requests.
  void requestEnded(ConnectionId Id, int64_t InputBytes, Millis Now);

  /// The bytes of responses that the client has not read changed.
  /// @param Added negative: fewer.
  /// @param IsProgress whether the client has read some.
  void unread(ConnectionId Id, int64_t Added, bool IsProgress, Millis Now);

  /// The connection carries several requests at a time: it counts as one with
  /// an incomplete request while it has input, whatever else it has.
  void multiplexes(ConnectionId Id);

  /// Bytes not tied to a connection are held (released, if negative): bodies of
  /// complete requests, responses being collected.
  void hold(int64_t Bytes) {
    this->Held += Bytes;
    this->Highest = std::max(this->Highest, this->Held);
  }

  /// @return whether the bytes may be held without ending anything.
  bool fits(int64_t Bytes) const {
    return this->Rules.HeldBytes == 0 ||
           this->Held + Bytes <= this->Rules.HeldBytes;
  }

  /// Chooses what to end while more is held than allowed: incomplete requests
  /// first, those longest without progress, then the largest; then responses
  /// that their clients do not read. Complete requests are never ended.
  /// @param Needed bytes to be held in addition.
  /// @return nothing if the bytes fit or nothing can be ended.
  std::optional<EndConnection> nextToEnd(int64_t Needed, Millis Now) const;

  /// @return the connections whose request arrives too slowly.
  std::vector<ConnectionId> slow(Millis Now) const;

  /// Counts something that was ended or refused.
  void count(LimitReason Reason) {
    ++this->Counts[static_cast<size_t>(Reason)];
  }
  int64_t count(LimitReason Reason) const {
    return this->Counts[static_cast<size_t>(Reason)];
  }

  bool isKnown(ConnectionId Id) const { return this->Known.contains(Id); }
  int64_t held() const { return this->Held; }
  /// @return the most that was held so far.
  int64_t highest() const { return this->Highest; }
  int64_t connections(ClientPort Port) const {
    return this->Open[static_cast<size_t>(Port)];
  }

private:
  using IdList = std::list<ConnectionId>;

  /// The connections from one address to one kind of port.
  struct Client {
    int64_t Open = 0;
    /// Longest idle first.
    IdList Idle;
  };
  using ClientKey = std::pair<ClientPort, uint32_t>;

  struct Connection {
    ClientKey From;
    /// Bytes of incomplete and pipelined requests.
    int64_t Input = 0;
    int64_t Unread = 0;
    int OpenRequests = 0;
    /// When the incomplete request began to arrive.
    Millis Since{0};
    Millis InputAt{0};
    Millis ReadAt{0};
    bool IsMultiplexed = false;
    /// The list that it is in: Client::Idle, Receiving or Serving.
    IdList *State = nullptr;
    IdList::iterator Place;
  };

  Connection *find(ConnectionId Id);
  /// Moves the connection to the list of its state.
  void classify(Connection &Of);
  void setInput(Connection &Of, int64_t Bytes);
  /// @return the idle connection to end for a new one.
  std::optional<ConnectionId> idleVictim(ClientPort Port) const;

  LimitRules Rules;
  std::unordered_map<ConnectionId, Connection> Known;
  std::map<ClientKey, Client> Clients;
  /// Connections with an incomplete request.
  IdList Receiving;
  /// Other connections with open requests.
  IdList Serving;
  std::array<int64_t, ClientPortCount> Open{};
  std::array<int64_t, LimitReasonCount> Counts{};
  int64_t Held = 0;
  int64_t Highest = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_LIMITS_LIMIT_CONTROLLER_BASE_H
